"""Asks other sidecars for chunks, over HTTP."""

from catkinshunt import errors
from catkinshunt import http1
from catkinshunt import logs
from catkinshunt.spread import _chunk_store
from catkinshunt.spread import _chunk_server
from catkinshunt.spread import _wait_graph

#: Seconds within which a connection must be made. The first packets wait
#: behind all else on a link between regions, over 0.6 s after a cold start.
CONNECT_S = 1.5

_log = logs.get_logger('chunks')


class PeerClient:
    """Asks other sidecars for chunks.

    Args:
        port: port of all sidecars.
        clock: gives seconds on the steady clock.
        timeout_s: seconds after which a request is given up.
        name: of the member that asks.
    """

    def __init__(self, port, clock, timeout_s=3.0, name=''):
        self.name = name
        self.port = port
        self.clock = clock
        self.timeout_s = timeout_s
        self._pools = {}
        self._shares = {}

    def share(self, peer, model, version):
        """Return the share of a version that a peer had, or None.

        As its last reply told it.
        """
        return self._shares.get((peer, model, version))

    async def chunk(self, peer, model, version, indices, relays=False):
        """Return (index, bytes) of one of these chunks, unchecked.

        Args:
            peer: address of the sidecar.
            model: name of the model.
            version: its version.
            indices: chunks, any of which will do.
            relays: whether others wait for this member to pass them on.

        Raises:
            errors.SourceUnableError: the peer will not have it soon.
            errors.SourceBusyError: the peer does not have it yet.
            errors.TransferError: the peer gave no answer.
        """
        items = [(_chunk_server.RELAY, '1')] if relays else []
        if self.name:
            items.append((_chunk_server.ASKER, self.name))
        return await self._fetch(peer, model, version, indices, items)

    async def spare_chunk(self, peer, model, version, indices):
        """Return (index, bytes) of one of these if the peer is idle.

        Raises:
            errors.SourceBusyError: it has none, or gives to others.
            errors.TransferError: the peer gave no answer.
        """
        items = [(_chunk_server.SPARE, '1')]
        return await self._fetch(peer, model, version, indices, items)

    async def _fetch(self, peer, model, version, indices, items):
        pool = self._pools.get(peer)
        if pool is None:
            pool = http1.Pool(peer, self.port, self.clock, connect_s=CONNECT_S)
            self._pools[peer] = pool
        names = ','.join(map(str, indices[: _chunk_server.MOST_NAMED]))
        target = f'/chunks/{model}/{version}/{names}'
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
        if head.headers.get(_chunk_server.UNABLE):
            raise errors.SourceUnableError(
                'will not have it soon', step='fetch chunk', peer=peer
            )
        if head.status != 200:
            raise errors.SourceBusyError(
                'not there yet',
                step='fetch chunk',
                peer=peer,
                chains=_read_chains(head, peer),
            )
        share = head.headers.get(_chunk_server.SHARE, '')
        if share.isdigit():
            self._shares[(peer, model, version)] = int(share) / 1000
        index = head.headers.get(_chunk_server.INDEX, '')
        if not index.removeprefix('-').isdigit() or int(index) not in indices:
            raise errors.TransferError(
                f'sent chunk {index!r}', step='fetch chunk', peer=peer
            )
        return int(index), body

    async def manifest(self, peer, model, version):
        """Return the bytes of the manifest."""
        indices = [_chunk_store.MANIFEST_INDEX]
        _, body = await self.chunk(peer, model, version, indices)
        return body


def _read_chains(head, peer):
    """Return the chains that a reply tells; none where they are unreadable."""
    text = head.headers.get(_chunk_server.CHAINS)
    if not text:
        return {}
    try:
        return _wait_graph.load_chains(text)
    except ValueError as exc:
        _log.warning('Left aside what {} waits for: {}.', peer, exc)
        return {}
