"""Chunks and manifests over HTTP, from peers, store and origin."""

import contextlib
import http.client
import time

import attrs

from catkinshunt import errors
from catkinshunt.httpio import headers

PIECE_BYTES = 256 * 1024
#: Chunks that the replying sidecar holds, as a hexadecimal number.
HOLDINGS = 'Catkinshunt-Holdings'
#: Copies that the replying sidecar has sent.
UPLOADED = 'Catkinshunt-Uploaded-Copies'
_PEER_STATUSES = (
    http.client.OK,
    http.client.NO_CONTENT,
    http.client.NOT_FOUND,
    http.client.SERVICE_UNAVAILABLE,
)
_FAILURES = (OSError, http.client.HTTPException)


@attrs.frozen
class PeerReply:
    """What a peer's reply carried: of itself, and the chunk if it gave it."""

    bitmap = attrs.field()
    uploaded_copies = attrs.field()
    data = attrs.field(default=None, repr=False)


class PeerSource:
    """Other sidecars.

    Args:
        key: the deployment's key.
        pool: `httpio.ConnectionPool`; its timeout bounds each silence.
        share: `LinkPacer` of the incoming direction.
    """

    def __init__(self, key, pool, share):
        self.key = key
        self.pool = pool
        self.share = share

    def fetch(self, address, manifest, index, timeout_s):
        """Ask for one chunk; the reply may come without it.

        Raises:
            TransferError: the peer cannot be used.
        """
        first, end = manifest.chunk_range(index)
        path = chunk_path(manifest.model, manifest.version, index)
        deadline = time.monotonic() + timeout_s
        with self._exchange(address, path) as resp:
            data = None
            if resp.status == http.client.OK:
                data = read_body(resp, end - first, self.share, deadline)
            else:
                resp.read()
            return _peer_reply(resp, address, data)

    def ask(self, address, manifest):
        """Ask what the peer holds."""
        path = chunk_path(manifest.model, manifest.version, 'holdings')
        with self._exchange(address, path) as resp:
            resp.read()
            return _peer_reply(resp, address, None)

    def fetch_manifest(self, address, model, version):
        """Return the manifest's bytes, or None if the peer has none."""
        with self._exchange(
            address, chunk_path(model, version, 'manifest')
        ) as resp:
            body = resp.read()
            return body if resp.status == http.client.OK else None

    def _exchange(self, address, path):
        fields = {headers.DEPLOYMENT_KEY: self.key}
        return exchange(self.pool, address, path, fields, 'pull chunk')


class OriginSource:
    """The weight store, then the origin.

    Args:
        origin: `httpio.Address` of the origin.
        weight_store: `httpio.Address` of the weight store, or None.
        pool: `httpio.ConnectionPool`.
        share: `LinkPacer` of the incoming direction.
        wait_for_store: leave the origin alone while the store only says
            that it is busy.
    """

    def __init__(
        self, origin, pool, share, weight_store=None, wait_for_store=False
    ):
        self.origin = origin
        self.pool = pool
        self.share = share
        self.weight_store = weight_store
        self.wait_for_store = wait_for_store
        self.store_bytes = 0
        self.origin_bytes = 0

    def fetch(self, manifest, index, timeout_s):
        """Return one chunk, not yet verified.

        Raises:
            SourceBusyError: try again later.
            TransferError: no source could give it.
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
                # A store that is down or lacks the version costs origin
                # bytes, but the version must arrive.
                pass
        data = self._fetch(self.origin, manifest, index, timeout_s)
        self.origin_bytes += len(data)
        return data

    def fetch_manifest(self, model, version):
        """Return the manifest's bytes from the origin."""
        path = f'/models/{model}/{version}/manifest'
        with exchange(
            self.pool, self.origin, path, {}, 'read manifest'
        ) as resp:
            body = resp.read()
            self._check(resp, self.origin, http.client.OK, 'read manifest')
            return body

    def _fetch(self, address, manifest, index, timeout_s):
        first, end = manifest.chunk_range(index)
        path = f'/models/{manifest.model}/{manifest.version}/weights'
        fields = {'Range': f'bytes={first}-{end - 1}'}
        deadline = time.monotonic() + timeout_s
        with exchange(self.pool, address, path, fields, 'draw chunk') as resp:
            if resp.status != http.client.PARTIAL_CONTENT:
                resp.read()
            self._check(
                resp, address, http.client.PARTIAL_CONTENT, 'draw chunk'
            )
            return read_body(resp, end - first, self.share, deadline)

    def _check(self, resp, address, wanted, step):
        if resp.status == wanted:
            return
        busy = (
            http.client.TOO_MANY_REQUESTS,
            http.client.SERVICE_UNAVAILABLE,
        )
        kind = errors.TransferError
        extra = {}
        if resp.status in busy:
            kind = errors.SourceBusyError
            extra['retry_after_s'] = _retry_after_s(resp)
        raise kind(
            f'status {resp.status}', step=step, peer=str(address), **extra
        )


def chunk_path(model, version, what):
    """Return the path below which a sidecar serves `what`."""
    return f'/chunks/{model}/{version}/{what}'


@contextlib.contextmanager
def exchange(pool, address, path, fields, step):
    """Yield the reply to a GET; the connection is kept if all was read.

    Raises:
        TransferError: no connection, silence, or a reply cut short.
    """
    conn, _ = pool.acquire(address)
    try:
        conn.request('GET', path, headers=fields)
        resp = conn.getresponse()
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


def read_body(resp, size_bytes, share, deadline):
    """Return a body of exactly `size_bytes`, paced by `share`.

    Raises:
        TransferError: another length, or not whole by `deadline`. A peer
            that trickles bytes would else hold the chunk for ever.
    """
    if resp.length != size_bytes:
        raise errors.TransferError(
            f'{resp.length} bytes announced, not {size_bytes}', step='read'
        )
    data = bytearray()
    while len(data) < size_bytes:
        piece = resp.read(min(PIECE_BYTES, size_bytes - len(data)))
        if not piece:
            raise errors.TransferError('body cut short', step='read')
        data += piece
        now = time.monotonic()
        if now > deadline:
            raise errors.TransferError('too slow', step='read')
        time.sleep(share.reserve(len(piece), now))
    resp.read()
    return bytes(data)


def _peer_reply(resp, address, data):
    if resp.status not in _PEER_STATUSES:
        raise errors.TransferError(
            f'status {resp.status}', step='pull chunk', peer=str(address)
        )
    try:
        bitmap = int(resp.getheader(HOLDINGS, ''), 16)
        copies = float(resp.getheader(UPLOADED, ''))
    except ValueError:
        bitmap = copies = -1
    if bitmap < 0 or not copies >= 0:
        raise errors.TransferError(
            f'status {resp.status} without holdings',
            step='pull chunk',
            peer=str(address),
        )
    return PeerReply(bitmap, copies, data)


def _retry_after_s(resp):
    try:
        return max(0.0, float(resp.getheader('Retry-After', '')))
    except ValueError:
        return None
