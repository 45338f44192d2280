"""The WSGI application from which peers pull chunks."""

import hmac
import time

from catkinshunt import base
from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt.weights import _sources

PREFIX = '/chunks/'


class ChunkApp(base.ParamsMixin):
    """Serves verified chunks of the version that the agent holds.

    Each reply says what is held and how much was sent, so that peers learn
    both without calls of their own.

    Args:
        agent: `TransferAgent`.
        key: the deployment's key.
        share: `LinkPacer` of the outgoing direction.
    """

    def __init__(self, agent, key, share):
        self.agent = agent
        self.key = key
        self.share = share

    def __repr__(self):
        # The key must not reach a log through repr.
        return f'ChunkApp(agent={self.agent!r})'

    def __call__(self, environ, start_response):
        """Answer one request."""
        try:
            resp = self.handle(environ)
        except errors.RequestError as exc:
            resp = httpio.error_response(exc)
        return resp.send(start_response)

    def handle(self, environ):
        """Return the `httpio.Response` to one request.

        Raises:
            InvalidRequestError: wrong key or path.
        """
        given = environ.get('HTTP_CATKINSHUNT_KEY', '').encode()
        if not hmac.compare_digest(given, self.key.encode()):
            raise errors.InvalidRequestError('wrong key', step='authenticate')
        parts = environ['PATH_INFO'].removeprefix(PREFIX).split('/')
        if len(parts) != 3:
            raise errors.InvalidRequestError('no such path', step='read')
        model, version, what = parts
        transfer = self.agent.transfer(model, version)
        if transfer is None:
            return httpio.Response(404, (), (('Content-Length', '0'),))
        if what == 'manifest':
            return self._manifest(transfer)
        return self._chunk(transfer, what)

    def _manifest(self, transfer):
        body = transfer.manifest.dumps()
        length = ('Content-Length', str(len(body)))
        return httpio.Response(200, [body], (length,))

    def _chunk(self, transfer, what):
        now = time.monotonic()
        if what == 'holdings':
            return self._reply(transfer, 204, now)
        if not what.isdecimal():
            raise errors.InvalidRequestError('no such chunk', step='read')
        data = transfer.store.get(int(what))
        if data is None:
            return self._reply(transfer, 404, now)
        if not transfer.upload_limiter.begin(len(data), now):
            return self._reply(transfer, 503, now)
        body = _Upload(data, transfer.upload_limiter, self.share)
        return self._reply(transfer, 200, now, body, len(data))

    def _reply(self, transfer, status, now, body=(), size_bytes=0):
        copies = transfer.upload_limiter.uploaded_copies(now)
        fields = (
            (_sources.HOLDINGS, f'{transfer.store.bitmap:x}'),
            (_sources.UPLOADED, f'{copies:.4f}'),
        )
        if status != 204:
            fields += (('Content-Length', str(size_bytes)),)
        return httpio.Response(status, body, fields)


class _Upload:
    """Body of one chunk, paced; gives its place back when closed."""

    def __init__(self, data, upload_limiter, share):
        self._data = memoryview(data)
        self._gate = upload_limiter
        self._share = share
        self._sent = 0
        self._open = True

    def __iter__(self):
        step = _sources.PIECE_BYTES
        for at in range(0, len(self._data), step):
            piece = bytes(self._data[at : at + step])
            time.sleep(self._share.reserve(len(piece), time.monotonic()))
            self._sent += len(piece)
            yield piece

    def close(self):
        """Called by the server at the end, also when the peer went away."""
        if self._open:
            self._open = False
            self._gate.end(len(self._data) - self._sent)
