"""The WSGI application that entries, peers and the engine meet."""

import hmac
import http.client
import time

from catkinshunt import base
from catkinshunt import claims
from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt.httpio import headers

_PIECE_BYTES = 64 * 1024
RETRY_AFTER_S = 1.0
_PREFIX = '/upstream'
_PASSED_ON = ('Content-Type', 'Content-Length', 'Model-Version')


class SidecarApp(base.ParamsMixin):
    """Passes requests to the upstream, and weights to the engine.

    Args:
        cfg: `settings.SidecarSettings`.
        placement: holds the weights; see `SidecarProcess`.
    """

    def __init__(self, cfg, placement):
        self.cfg = cfg
        self.placement = placement
        self._seen = claims.SeenAttempts()
        self._pool = httpio.ConnectionPool(timeout_s=30.0)
        self._upstream = httpio.Address.parse(cfg.upstream)

    def __call__(self, environ, start_response):
        """Answer one request."""
        try:
            resp = self._handle(environ)
        except errors.RequestError as exc:
            state = (headers.STATE, 'serving')
            request_id = environ.get('HTTP_CATKINSHUNT_REQUEST_ID', '')
            resp = httpio.error_response(exc, request_id, (state,))
        return resp.send(start_response)

    def _handle(self, environ):
        path = environ['PATH_INFO']
        if path.startswith('/weights/'):
            return self.placement.serve(path)
        self._check_key(environ)
        if path.startswith(_PREFIX + '/'):
            self._check_model(environ)
            return self._forward(environ, path[len(_PREFIX) :])
        raise errors.InvalidRequestError(f'no such path {path}', step='read')

    def _check_key(self, environ):
        given = environ.get('HTTP_CATKINSHUNT_KEY', '').encode()
        if not hmac.compare_digest(given, self.cfg.deployment_key.encode()):
            raise errors.InvalidRequestError('wrong key', step='authenticate')

    def _check_model(self, environ):
        """Refuse a request for a model that the engine does not serve yet.

        A new instance is listed before its engine has its weights. The
        engine's own answer would reach the caller as final, although
        another instance could have served the request.
        """
        model = environ.get('HTTP_CATKINSHUNT_MODEL', '')
        if not self.cfg.is_engine or not model:
            return
        if model not in self.placement.report()['served']:
            raise errors.RefusedError(
                f'{model} is not served here yet',
                step='admit',
                retry_after_s=RETRY_AFTER_S,
            )

    def _check_attempt(self, environ):
        """Let an attempt at a request that is not idempotent pass once."""
        attempt = environ.get('HTTP_CATKINSHUNT_ATTEMPT_ID', '')
        not_after = environ.get('HTTP_CATKINSHUNT_NOT_AFTER', '')
        if not attempt and not not_after:
            return
        try:
            expires_at = float(not_after)
        except ValueError as exc:
            raise errors.InvalidRequestError(
                f'{headers.NOT_AFTER} must be a number', step='read'
            ) from exc
        self._seen.check(attempt, expires_at, time.time())

    def _forward(self, environ, path):
        query = environ.get('QUERY_STRING')
        if query:
            path = f'{path}?{query}'
        body = httpio.read_body(environ)
        self._check_attempt(environ)
        # A kept connection may be closed by the upstream at any time, and
        # a request lost on it cannot be told from one that ran.
        conn = http.client.HTTPConnection(
            self._upstream.host, self._upstream.port, timeout=30.0
        )
        peer = str(self._upstream)
        try:
            conn.connect()
        except OSError as exc:
            raise errors.RefusedError(
                f'no connection: {exc}', step='connect', peer=peer
            ) from exc
        try:
            content_type = environ.get('CONTENT_TYPE', '')
            conn.request(
                environ['REQUEST_METHOD'],
                path,
                body,
                {'Content-Type': content_type},
            )
            resp = conn.getresponse()
        except (OSError, http.client.HTTPException) as exc:
            conn.close()
            raise errors.OutcomeUnknownError(
                f'no reply: {exc!r}', step='exchange', peer=peer
            ) from exc
        passed = tuple(
            (name, value)
            for name in _PASSED_ON
            if (value := resp.getheader(name)) is not None
        )
        return httpio.Response(resp.status, _pieces(conn, resp), passed)


def _pieces(conn, resp):
    """Yield the upstream's body as it comes."""
    try:
        while piece := resp.read1(_PIECE_BYTES):
            yield piece
    finally:
        conn.close()
