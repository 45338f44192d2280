"""The WSGI application that entries, peers and the engine meet."""

import hmac
import time

from catkinshunt import base
from catkinshunt import claims
from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt.httpio import headers
from catkinshunt import limits
from catkinshunt import logs
from catkinshunt.sidecar import _forward
from catkinshunt.sidecar import _request

_UPSTREAM_PREFIX = '/upstream'
_log = logs.get_logger('sidecar')
#: Threads left for refusals and chunks when all places and the queue are
#: taken; a request that found no thread could not even be refused.
_RESERVED_THREADS = 8


class SidecarApp(base.ParamsMixin):
    """Passes requests to the upstream, and weights to the engine.

    Args:
        cfg: `settings.SidecarSettings`.
        placement: holds the weights; see `SidecarProcess`.
    """

    def __init__(self, cfg, placement):
        self.cfg = cfg
        self.placement = placement
        self._seen_attempts = claims.SeenAttempts()
        queue_limit = max(1, cfg.threads - cfg.concurrency - _RESERVED_THREADS)
        self.admission = limits.Admission(
            limits.FairQueue(queue_limit), cfg.concurrency
        )
        self._forwarder = _forward.Forwarder(cfg, self.admission)
        self._leaving = False

    def __call__(self, environ, start_response):
        """Answer one request."""
        try:
            resp = self._handle(environ)
        except errors.RequestError as exc:
            request_id = environ.get('HTTP_CATKINSHUNT_REQUEST_ID', '')
            _log.info(
                'Ended as {code}, ran {ran}: {cause}.',
                request_id=request_id,
                code=exc.code,
                ran=exc.ran,
                cause=exc,
            )
            response_headers = (
                *self._make_status_headers(environ),
                (headers.ERROR, exc.code),
            )
            resp = httpio.error_response(exc, request_id, response_headers)
        return resp.send(start_response)

    def leave(self):
        """Refuse new requests from now on."""
        self._leaving = True
        self.admission.leave()

    def _make_status_headers(self, environ):
        """Return the headers that tell an entry of this instance."""
        served = self.placement.report()['served']
        return (
            (headers.STATE, 'leaving' if self._leaving else 'serving'),
            (headers.LOAD, str(self.admission.load)),
            (
                headers.SERVED,
                ','.join(
                    headers.encode_text('/'.join(item))
                    for item in served.items()
                ),
            ),
            (
                headers.EXCHANGE_ID,
                environ.get('HTTP_CATKINSHUNT_EXCHANGE_ID', ''),
            ),
        )

    def _handle(self, environ):
        path = environ['PATH_INFO']
        if path.startswith('/weights/'):
            return self.placement.serve(path)
        self._check_key(environ)
        if path.startswith('/chunks/'):
            return self.placement.serve_chunks(environ)
        if path.startswith(_UPSTREAM_PREFIX + '/'):
            return self._forward(environ, path[len(_UPSTREAM_PREFIX) :])
        raise errors.InvalidRequestError(f'no such path {path}', step='read')

    def _check_key(self, environ):
        given = environ.get('HTTP_CATKINSHUNT_KEY', '').encode()
        if not hmac.compare_digest(given, self.cfg.deployment_key.encode()):
            raise errors.InvalidRequestError('wrong key', step='authenticate')

    def _check_attempt(self, req):
        """Let an attempt at a request that is not idempotent pass once."""
        if req.attempt_id:
            self._seen_attempts.check(
                req.attempt_id, req.not_after, time.time()
            )

    def _forward(self, environ, path):
        req = _request.ForwardedRequest.from_environ(
            environ, path, time.monotonic()
        )
        self._check_attempt(req)
        self._check_served(req)
        resp = self._forwarder.forward(req)
        return resp.with_headers(*self._make_status_headers(environ))

    def _check_served(self, req):
        """Refuse a request for what the engine does not serve.

        A new instance is listed before its engine has its weights. The
        engine's own answer would reach the caller as final, although
        another instance could have served the request.
        """
        if not self.cfg.is_engine or not req.model:
            return
        version = self.placement.report()['served'].get(req.model)
        if version is None or req.version not in ('', version):
            raise errors.RefusedError(
                f'{req.model} {req.version} is not served here',
                step='admit',
                retry_after_s=_forward.RETRY_AFTER_S,
            )
