"""The WSGI application that serves entries, peers and the engine."""

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
#: Threads reserved for rejections and chunks when the concurrency limit and
#: the queue are full; a request without a thread cannot even be rejected.
_RESERVED_THREADS = 8


class SidecarApp(base.ParamsMixin):
    """Forwards requests to the upstream and serves weights to the engine.

    Args:
        cfg: `settings.SidecarSettings`.
        placement: `Placement`, which serves weights and chunks.
    """

    def __init__(self, cfg, placement):
        self.cfg = cfg
        self.placement = placement
        self._seen_attempts = claims.SeenAttempts()
        queue_limit = max(1, cfg.threads - cfg.concurrency - _RESERVED_THREADS)
        self.admission = limits.Admission(
            limits.FairQueue(queue_limit), cfg.concurrency
        )
        self._forwarder = _forward.Forwarder(
            cfg, self.admission, placement.upstream_status
        )
        self._leaving = False

    def __call__(self, environ, start_response):
        """Serve one request."""
        try:
            resp = self._handle(environ)
        except errors.RequestError as exc:
            request_id = environ.get('HTTP_CATKINSHUNT_REQUEST_ID', '')
            _log.info(
                'Request failed with {code} (ran: {ran}): {cause}.',
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
        """Reject new requests from now on."""
        self._leaving = True
        self.admission.leave()

    def _make_status_headers(self, environ):
        """Return the headers with the status of this instance."""
        served = self.placement.report()['served']
        upstream = self.placement.upstream_status
        leaving = self._leaving or upstream.is_leaving
        return (
            (headers.STATE, 'leaving' if leaving else 'serving'),
            (
                headers.BACK_OFF_S,
                f'{upstream.back_off_s(time.monotonic()):.3f}',
            ),
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
        raise errors.InvalidRequestError(f'unknown path {path}', step='read')

    def _check_key(self, environ):
        given = environ.get('HTTP_CATKINSHUNT_KEY', '').encode()
        if not hmac.compare_digest(given, self.cfg.deployment_key.encode()):
            raise errors.InvalidRequestError(
                'invalid deployment key', step='authenticate'
            )

    def _check_attempt(self, req):
        """Reject a repeated attempt at a non-idempotent request."""
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
        """Reject a request for a version that the engine does not serve.

        A new instance is listed before its engine has its weights. The error
        of the engine would be final for the caller, although another
        instance could serve the request.
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
