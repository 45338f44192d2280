"""HTTP clients for chunks and manifests: peers, weight store and origin."""

import contextlib
import http.client
import time

import attrs

from catkinshunt import errors
from catkinshunt.httpio import headers

PIECE_BYTES = 256 * 1024
#: Bitmap of the chunks that the replying sidecar has, in hexadecimal.
BITMAP_HEADER = 'Catkinshunt-Holdings'
#: Number of copies that the replying sidecar has sent.
UPLOADED_COPIES_HEADER = 'Catkinshunt-Uploaded-Copies'
_PEER_STATUSES = (
    http.client.OK,
    http.client.NO_CONTENT,
    http.client.NOT_FOUND,
    http.client.SERVICE_UNAVAILABLE,
)
_FAILURES = (OSError, http.client.HTTPException)


@attrs.frozen
class PeerReply:
    """State of the peer, and the chunk if the reply contains it."""

    bitmap = attrs.field()
    uploaded_copies = attrs.field()
    data = attrs.field(default=None, repr=False)


class PeerSource:
    """Client of other sidecars.

    Args:
        key: deployment key.
        pool: `httpio.ConnectionPool`; its timeout applies to each read.
        pacer: `LinkPacer` of the incoming direction.
    """

    def __init__(self, key, pool, pacer):
        self.key = key
        self.pool = pool
        self.pacer = pacer

    def fetch(self, address, manifest, index, timeout_s):
        """Request one chunk; the `PeerReply` may come without it.

        Raises:
            TransferError: the peer cannot be used.
        """
        first, end = manifest.chunk_range(index)
        path = chunk_path(manifest.model, manifest.version, index)
        deadline = time.monotonic() + timeout_s
        with self._exchange(address, path) as resp:
            data = None
            if resp.status == http.client.OK:
                data = read_body(resp, end - first, self.pacer, deadline)
            else:
                resp.read_whole()
            return _peer_reply(resp, address, data)

    def fetch_state(self, address, manifest):
        """Return the `PeerReply` of a peer without a chunk."""
        path = chunk_path(manifest.model, manifest.version, 'holdings')
        with self._exchange(address, path) as resp:
            resp.read_whole()
            return _peer_reply(resp, address, None)

    def fetch_manifest(self, address, model, version):
        """Return the manifest as bytes, or None if the peer has none."""
        with self._exchange(
            address, chunk_path(model, version, 'manifest')
        ) as resp:
            body = resp.read_whole()
            return body if resp.status == http.client.OK else None

    def _exchange(self, address, path):
        fields = {headers.DEPLOYMENT_KEY: self.key}
        return exchange(self.pool, address, path, fields, 'pull chunk')


class OriginSource:
    """Client of the weight store, with the origin as fallback.

    Args:
        origin: `httpio.Address` of the origin.
        weight_store: `httpio.Address` of the weight store, or None.
        pool: `httpio.ConnectionPool`.
        pacer: `LinkPacer` of the incoming direction.
        wait_for_store: do not fall back to the origin while the store is
            only busy.
    """

    def __init__(
        self, origin, pool, pacer, weight_store=None, wait_for_store=False
    ):
        self.origin = origin
        self.pool = pool
        self.pacer = pacer
        self.weight_store = weight_store
        self.wait_for_store = wait_for_store
        self.store_bytes = 0
        self.origin_bytes = 0

    def fetch(self, manifest, index, timeout_s):
        """Return one unverified chunk.

        Raises:
            SourceBusyError: the source is busy; retry later.
            TransferError: no source returned the chunk.
        """
        if self.weight_store is not None:
            try:
                data = self._fetch(
                    self.weight_store, manifest, index, timeout_s
                )
                self.store_bytes += len(data)
                return data
            except errors.SourceBusyError:
                if self.wait_for_store:
                    raise
            except errors.TransferError:
                # If the store is down or lacks the version, the origin is
                # used: the transfer must complete.
                pass
        data = self._fetch(self.origin, manifest, index, timeout_s)
        self.origin_bytes += len(data)
        return data

    def fetch_manifest(self, model, version):
        """Return the manifest from the origin as bytes."""
        path = f'/models/{model}/{version}/manifest'
        with exchange(
            self.pool, self.origin, path, {}, 'read manifest'
        ) as resp:
            body = resp.read_whole()
            self._check(resp, self.origin, http.client.OK, 'read manifest')
            return body

    def _fetch(self, address, manifest, index, timeout_s):
        first, end = manifest.chunk_range(index)
        path = f'/models/{manifest.model}/{manifest.version}/weights'
        fields = {'Range': f'bytes={first}-{end - 1}'}
        deadline = time.monotonic() + timeout_s
        with exchange(self.pool, address, path, fields, 'draw chunk') as resp:
            if resp.status != http.client.PARTIAL_CONTENT:
                resp.read_whole()
            self._check(
                resp, address, http.client.PARTIAL_CONTENT, 'draw chunk'
            )
            return read_body(resp, end - first, self.pacer, deadline)

    def _check(self, resp, address, wanted, step):
        if resp.status == wanted:
            return
        busy = (
            http.client.TOO_MANY_REQUESTS,
            http.client.SERVICE_UNAVAILABLE,
        )
        error_class = errors.TransferError
        extra = {}
        if resp.status in busy:
            error_class = errors.SourceBusyError
            extra['retry_after_s'] = _retry_after_s(resp)
        raise error_class(
            f'status {resp.status}', step=step, peer=str(address), **extra
        )


def chunk_path(model, version, resource):
    """Return the path at which a sidecar serves `resource`."""
    return f'/chunks/{model}/{version}/{resource}'


@contextlib.contextmanager
def exchange(pool, address, path, fields, step):
    """Yield the response to a GET; a fully read connection is reused.

    Raises:
        TransferError: connection failure, timeout or truncated response.
    """
    conn, _ = pool.acquire(address)
    try:
        conn.request('GET', path, headers=fields)
        resp = conn.getresponse()
        if not resp.is_delimited:
            raise errors.TransferError(
                'reply without a length', step=step, peer=str(address)
            )
        yield resp
        read_whole = resp.isclosed()
    except _FAILURES as exc:
        conn.close()
        raise errors.TransferError(
            repr(exc), step=step, peer=str(address)
        ) from exc
    except BaseException:
        conn.close()
        raise
    if read_whole:
        pool.release(address, conn)
    else:
        conn.close()


def read_body(resp, size_bytes, pacer, deadline):
    """Return a body of exactly `size_bytes`, paced by `pacer`.

    Raises:
        TransferError: wrong length, or incomplete at `deadline`. Without
            it, a peer that sends very slowly would block the chunk for ever.
    """
    if resp.length != size_bytes:
        raise errors.TransferError(
            f'Content-Length is {resp.length}, not {size_bytes}', step='read'
        )
    data = bytearray()
    while len(data) < size_bytes:
        piece = resp.read(min(PIECE_BYTES, size_bytes - len(data)))
        if not piece:
            raise errors.TransferError('truncated body', step='read')
        data += piece
        now = time.monotonic()
        if now > deadline:
            raise errors.TransferError('deadline exceeded', step='read')
        time.sleep(pacer.reserve(len(piece), now))
    resp.read()
    return bytes(data)


def _peer_reply(resp, address, data):
    if resp.status not in _PEER_STATUSES:
        raise errors.TransferError(
            f'status {resp.status}', step='pull chunk', peer=str(address)
        )
    try:
        bitmap = int(resp.getheader(BITMAP_HEADER, ''), 16)
        copies = float(resp.getheader(UPLOADED_COPIES_HEADER, ''))
    except ValueError:
        bitmap = copies = -1
    if bitmap < 0 or not copies >= 0:
        raise errors.TransferError(
            f'status {resp.status} without valid chunk state headers',
            step='pull chunk',
            peer=str(address),
        )
    return PeerReply(bitmap, copies, data)


def _retry_after_s(resp):
    try:
        return max(0.0, float(resp.getheader('Retry-After', '')))
    except ValueError:
        return None
