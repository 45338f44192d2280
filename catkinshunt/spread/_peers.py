"""Chunks between sidecars, over HTTP."""

import asyncio

from catkinshunt import errors
from catkinshunt import http1
from catkinshunt import logs
from catkinshunt.spread import _holding

#: Seconds for which a request for a chunk may wait until the chunk is here.
LONGEST_WAIT_S = 1.0
#: Bytes that are written at once; at 3.65 Mbit/s they take 9 ms, so that an
#: event of a stream on the same link waits no longer than that.
SLICE_BYTES = 4096
#: Share of the link that chunks may take; the rest is for live answers.
LINK_SHARE = 0.9
#: Bytes of heads and packets beside a slice.
OVERHEAD = 1.06
_MBIT = 1e6 / 8

_log = logs.get_logger('chunks')


class Pacer:
    """Spreads writes over time so that they take a share of the link.

    Args:
        bytes_per_s: bytes a second that are allowed.

    Examples:
        >>> pacer = Pacer(bytes_per_s=1000.0)
        >>> pacer.delay_s(500, now=0.0), pacer.delay_s(500, now=0.0)
        (0.0, 0.5)
    """

    def __init__(self, bytes_per_s):
        self.bytes_per_s = bytes_per_s
        self._free_at = 0.0

    def delay_s(self, size, now):
        """Return the seconds to wait before `size` bytes are written."""
        begin = max(now, self._free_at)
        self._free_at = begin + size / self.bytes_per_s
        return begin - now


class ChunkServer:
    """Gives chunks to other sidecars, one after the other.

    Args:
        shelf: `Shelf` with what is here.
        clock: gives seconds on the steady clock.
        link_mbps: speed of the instance's link.
        counter: counts bytes given.
        on_asked: called with the model and version of each request.
    """

    def __init__(self, shelf, clock, link_mbps, counter, on_asked):
        self.shelf = shelf
        self.on_asked = on_asked
        self.clock = clock
        self.counter = counter
        self._pacer = Pacer(link_mbps * _MBIT * LINK_SHARE / OVERHEAD)
        self._listener = http1.Listener(self._session, clock)

    async def start(self, host, port):
        """Listen on an address; returns self."""
        await self._listener.start(host, port)
        return self

    async def _session(self, conn):
        while True:
            req = await conn.read_request()
            if req is None or isinstance(req, http1.BadRequestError):
                return
            data = await self._find(req.path)
            if data is None:
                conn.write(http1.dump_reply(503, []))
            else:
                await self._send(conn, data)
            conn.begin_idle()

    async def _find(self, path):
        words = path.strip('/').split('/')
        try:
            kind, model, version, index = words
            version, index = int(version), int(index)
        except ValueError:
            _log.warning('Left aside a request for {}.', path[:100])
            return None
        if kind != 'chunks':
            return None
        self.on_asked(model, version)
        end_at = self.clock() + LONGEST_WAIT_S
        holding = self.shelf.find(model, version)
        while holding is None and self.clock() < end_at:
            await asyncio.sleep(0.1)
            holding = self.shelf.find(model, version)
        if holding is None:
            return None
        return await holding.wait_for(index, max(0, end_at - self.clock()))

    async def _send(self, conn, data):
        conn.write(
            http1.dump_head(
                http1.status_line(200), [('Content-Length', str(len(data)))]
            )
        )
        for at in range(0, len(data), SLICE_BYTES):
            part = data[at : at + SLICE_BYTES]
            await asyncio.sleep(self._pacer.delay_s(len(part), self.clock()))
            conn.write(part)
            await conn.drain()
        self.counter.add('given', amount=len(data))


class PeerClient:
    """Asks other sidecars for chunks.

    Args:
        port: port of all sidecars.
        clock: gives seconds on the steady clock.
        timeout_s: seconds after which a request is given up.
    """

    def __init__(self, port, clock, timeout_s=3.0):
        self.port = port
        self.clock = clock
        self.timeout_s = timeout_s
        self._pools = {}

    async def chunk(self, peer, model, version, index):
        """Return the bytes of a chunk, unchecked, or of the manifest.

        Raises:
            errors.SourceBusyError: the peer does not have it yet.
            errors.TransferError: the peer gave no answer.
        """
        pool = self._pools.get(peer)
        if pool is None:
            pool = http1.Pool(peer, self.port, self.clock)
            self._pools[peer] = pool
        target = f'/chunks/{model}/{version}/{index}'
        try:
            head, body = await http1.exchange(
                pool, 'GET', target, timeout_s=self.timeout_s
            )
        except errors.RequestError as exc:
            raise errors.TransferError(
                exc.message, step='fetch chunk', peer=peer
            ) from exc
        if head.status != 200:
            raise errors.SourceBusyError(
                'not there yet', step='fetch chunk', peer=peer
            )
        return body

    async def manifest(self, peer, model, version):
        """Return the bytes of the manifest."""
        return await self.chunk(peer, model, version, _holding.MANIFEST)
