"""Requests chunks from other sidecars over HTTP."""

from catkinshunt import errors
from catkinshunt import http1
from catkinshunt import logs
from catkinshunt.spread import _chunk_server
from catkinshunt.spread import _chunk_store
from catkinshunt.spread import _wait_graph

#: The first packets are queued on a link between regions, for over 0.6 s after
#: a cold start.
CONNECT_TIMEOUT_S = 1.5

_log = logs.get_logger('chunks')


class PeerClient:
    """Client of the `ChunkServer` of other sidecars.

    Args:
        port: port of all sidecars.
        clock: returns seconds on the monotonic clock.
        timeout_s: timeout of a request in seconds.
        name: name of the requesting member.
    """

    def __init__(self, port, clock, timeout_s=3.0, name=''):
        self.name = name
        self.port = port
        self.clock = clock
        self.timeout_s = timeout_s
        self._pools = {}
        self._reported_shares = {}

    def reported_share(self, peer, model, version):
        """Return the present share in the peer's last reply, or None."""
        return self._reported_shares.get((peer, model, version))

    async def chunk(self, peer, model, version, indices, relay=False):
        """Return (index, bytes) of one of these chunks, not verified.

        Args:
            peer: address of the sidecar.
            model: name of the model.
            version: its version.
            indices: acceptable chunks.
            relay: whether this member relays the chunk to others.

        Raises:
            errors.SourceUnableError: no chunk will be available soon.
            errors.SourceBusyError: no chunk is available yet.
            errors.TransferError: the peer did not answer.
        """
        items = [(_chunk_server.RELAY_HEADER, '1')] if relay else []
        if self.name:
            items.append((_chunk_server.REQUESTER_HEADER, self.name))
        return await self._fetch(peer, model, version, indices, items)

    async def chunk_if_idle(self, peer, model, version, indices):
        """Return (index, bytes) of one of these chunks if the peer is idle.

        Raises:
            errors.SourceUnableError: no chunk will be available soon; a
                subclass of `SourceBusyError`.
            errors.SourceBusyError: the peer has none, or is sending another.
            errors.TransferError: the peer did not answer.
        """
        items = [(_chunk_server.IDLE_ONLY_HEADER, '1')]
        return await self._fetch(peer, model, version, indices, items)

    async def _fetch(self, peer, model, version, indices, items):
        pool = self._pools.get(peer)
        if pool is None:
            pool = http1.Pool(
                peer, self.port, self.clock, connect_s=CONNECT_TIMEOUT_S
            )
            self._pools[peer] = pool
        index_list = ','.join(map(str, indices[: _chunk_server.MAX_INDICES]))
        target = f'/chunks/{model}/{version}/{index_list}'
        try:
            head, body = await http1.exchange(
                pool,
                'GET',
                target,
                items,
                timeout_s=self.timeout_s,
            )
        except errors.RequestError as exc:
            raise errors.TransferError(
                exc.message, step='fetch chunk', peer=peer
            ) from exc
        if head.headers.get(_chunk_server.UNABLE_HEADER):
            raise errors.SourceUnableError(
                'chunk will not be available soon',
                step='fetch chunk',
                peer=peer,
            )
        if head.status != 200:
            raise errors.SourceBusyError(
                f'reply without a chunk, status {head.status}',
                step='fetch chunk',
                peer=peer,
                chains=_read_chains(head, peer),
            )
        share = head.headers.get(_chunk_server.SHARE_HEADER, '')
        if share.isdigit():
            self._reported_shares[(peer, model, version)] = int(share) / 1000
        index = head.headers.get(_chunk_server.INDEX_HEADER, '')
        if not index.removeprefix('-').isdigit() or int(index) not in indices:
            raise errors.TransferError(
                f'unexpected chunk {index!r}', step='fetch chunk', peer=peer
            )
        return int(index), body

    async def manifest(self, peer, model, version):
        """Return the encoded manifest, not verified."""
        indices = [_chunk_store.MANIFEST_INDEX]
        _, body = await self.chunk(peer, model, version, indices)
        return body


def _read_chains(head, peer):
    """Return the wait chains of a reply; {} if they are invalid."""
    text = head.headers.get(_chunk_server.WAIT_CHAINS_HEADER)
    if not text:
        return {}
    try:
        return _wait_graph.load_chains(text)
    except ValueError as exc:
        _log.warning('Ignored invalid wait chains of {}: {}.', peer, exc)
        return {}
