"""WSGI application from which peers pull chunks."""

import hmac
import time

from catkinshunt import base
from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt.weights import _sources

PREFIX = '/chunks/'


class ChunkApp(base.ParamsMixin):
    """Serves the verified chunks of the agent's version.

    Each reply has the chunk bitmap and the copies sent in its headers, so
    that peers need no separate request for them.

    Args:
        agent: `TransferAgent`.
        key: deployment key.
        pacer: `LinkPacer` of the outgoing direction.
    """

    def __init__(self, agent, key, pacer):
        self.agent = agent
        self.key = key
        self.pacer = pacer

    def __repr__(self):
        # Excludes the key, which must not be logged.
        return f'ChunkApp(agent={self.agent!r})'

    def __call__(self, environ, start_response):
        """Handle one request."""
        try:
            resp = self.handle(environ)
        except errors.RequestError as exc:
            resp = httpio.error_response(exc)
        return resp.send(start_response)

    def handle(self, environ):
        """Return the `httpio.Response` for one request.

        Raises:
            InvalidRequestError: invalid key or path.
        """
        given = environ.get('HTTP_CATKINSHUNT_KEY', '').encode()
        if not hmac.compare_digest(given, self.key.encode()):
            raise errors.InvalidRequestError(
                'invalid deployment key', step='authenticate'
            )
        parts = environ['PATH_INFO'].removeprefix(PREFIX).split('/')
        if len(parts) != 3:
            raise errors.InvalidRequestError('unknown path', step='read')
        model, version, resource = parts
        transfer = self.agent.transfer(model, version)
        if transfer is None:
            return httpio.Response(404, (), (('Content-Length', '0'),))
        if resource == 'manifest':
            return self._manifest(transfer)
        return self._chunk(transfer, resource)

    def _manifest(self, transfer):
        body = transfer.manifest.dumps()
        length = ('Content-Length', str(len(body)))
        return httpio.Response(200, [body], (length,))

    def _chunk(self, transfer, resource):
        now = time.monotonic()
        if resource == 'holdings':
            return self._reply(transfer, 204, now)
        if not resource.isdecimal():
            raise errors.InvalidRequestError(
                'invalid chunk index', step='read'
            )
        data = transfer.store.get(int(resource))
        if data is None:
            return self._reply(transfer, 404, now)
        if not transfer.upload_limiter.begin(len(data), now):
            return self._reply(transfer, 503, now)
        body = _Upload(data, transfer.upload_limiter, self.pacer)
        return self._reply(transfer, 200, now, body, len(data))

    def _reply(self, transfer, status, now, body=(), size_bytes=0):
        copies = transfer.upload_limiter.uploaded_copies(now)
        fields = (
            (_sources.BITMAP_HEADER, f'{transfer.store.bitmap:x}'),
            (_sources.UPLOADED_COPIES_HEADER, f'{copies:.4f}'),
        )
        if status != 204:
            fields += (('Content-Length', str(size_bytes)),)
        return httpio.Response(status, body, fields)


class _Upload:
    """Paced body of one chunk; releases its upload when closed."""

    def __init__(self, data, upload_limiter, pacer):
        self._data = memoryview(data)
        self._upload_limiter = upload_limiter
        self._pacer = pacer
        self._sent = 0
        self._open = True

    def __iter__(self):
        step = _sources.PIECE_BYTES
        for at in range(0, len(self._data), step):
            piece = bytes(self._data[at : at + step])
            time.sleep(self._pacer.reserve(len(piece), time.monotonic()))
            self._sent += len(piece)
            yield piece

    def close(self):
        """Called by the server at the end, also if the peer disconnected."""
        if self._open:
            self._open = False
            self._upload_limiter.end(len(self._data) - self._sent)
