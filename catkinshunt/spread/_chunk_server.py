"""Gives chunks to other sidecars, over HTTP."""

import asyncio
import heapq

from catkinshunt import http1
from catkinshunt import logs
from catkinshunt.spread import _wait_graph
from catkinshunt.spread import base

#: Seconds for which a request for a chunk may wait until the chunk is here.
MAX_WAIT_S = 1.0
#: Bytes that are written at once. An event of a stream on the same link waits
#: for as long as they take.
SLICE_BYTES = 4096
#: Pause between looks whether a version has become known, in seconds.
POLL_S = 0.05
#: Share of the link that chunks may take; the rest is for live answers. Many
#: senders share the way into a receiver, and near its full speed requests and
#: events wait there for several chunks.
LINK_SHARE = 0.9
#: Bytes of heads and packets beside a slice.
PROTOCOL_OVERHEAD = 1.04
#: Header that names the chunk in a reply.
INDEX_HEADER = 'Chunk-Index'
#: Header of a request by one who passes the chunk on to others.
RELAY_HEADER = 'Chunk-Relay'
#: Header of a request that is not to wait until one of the chunks is here.
IDLE_ONLY_HEADER = 'Chunk-Spare'
#: Header of a reply: share of the version that is here, in thousandths.
SHARE_HEADER = 'Chunk-Share'
#: Header of a request: the member that asks.
REQUESTER_HEADER = 'Chunk-Asker'
#: Header of a reply without a chunk: whom its sender waits for.
WAIT_CHAINS_HEADER = 'Chunk-Chains'
#: Header of a reply by one that will not have what is missing soon.
UNAVAILABLE_HEADER = 'Chunk-Unable'
#: Seconds for which a request waits until its version is fetched here. Whoever
#: is asked for a new version hears of it by that, and begins at once; one that
#: has to end an older transfer first says so, instead of being waited for.
START_WAIT_S = 0.3
#: Chunks that one request may name.
MAX_INDICES = 64

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


class PriorityLock:
    """Lets one at a time go on, those of a lower rank first."""

    def __init__(self):
        self._busy = False
        self._waiting = []
        self._count = 0

    @property
    def is_free(self):
        """Whether nobody has the turn."""
        return not self._busy

    async def acquire(self, priority):
        """Wait for the turn; `release` gives it to the next."""
        if not self._busy:
            self._busy = True
            return
        self._count += 1
        fut = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (priority, self._count, fut))
        try:
            await fut
        except asyncio.CancelledError:
            if fut.done() and not fut.cancelled():
                self.release()
            raise

    def release(self):
        """Give the turn to the next who still waits."""
        while self._waiting:
            _, _, fut = heapq.heappop(self._waiting)
            if not fut.done():
                fut.set_result(None)
                return
        self._busy = False


class ChunkServer:
    """Gives chunks to other sidecars, one after the other.

    Args:
        shelf: `VersionStore` with what is here.
        clock: gives seconds on the steady clock.
        link_mbps: speed of the instance's link.
        counter: counts bytes given.
        on_request: called with the model and version of each request.
    """

    def __init__(
        self, version_store, clock, link_mbps, byte_counter, on_request
    ):
        self.version_store = version_store
        self.on_request = on_request
        self.clock = clock
        self.byte_counter = byte_counter
        self._send_lock = PriorityLock()
        self._pacer = Pacer(
            link_mbps * base.BYTES_PER_MBIT * LINK_SHARE / PROTOCOL_OVERHEAD
        )
        self._listener = http1.Listener(self._session, clock)

    async def start(self, host, port):
        """Listen on an address; returns self."""
        await self._listener.start(host, port)
        return self

    @property
    def port(self):
        """The port that is listened on."""
        return self._listener.port

    async def _session(self, conn):
        while True:
            req = await conn.read_request()
            if req is None or isinstance(req, http1.BadRequestError):
                return
            await self._serve(conn, req)
            conn.begin_idle()

    async def _serve(self, conn, req):
        path = req.path
        found = _parse_path(path)
        if found is None:
            _log.warning('Left aside a request for {}.', path[:100])
            conn.write(http1.dump_reply(404, []))
            return
        model, version, indices = found
        self.on_request(model, version)
        if req.headers.get(IDLE_ONLY_HEADER):
            chunk_store = self.version_store.find(model, version)
            may_serve = self._send_lock.is_free
        else:
            self._note_requester(req.headers.get(REQUESTER_HEADER), found)
            chunk_store = await self._wait_for(model, version, indices)
            may_serve = True
        if (
            not may_serve
            or chunk_store is None
            or not chunk_store.find_any(indices)
        ):
            conn.write(
                http1.dump_reply(
                    503, _unavailable_headers(chunk_store, indices)
                )
            )
            return
        # Chunks go out one after the other: the one that is sent is whole
        # soon and can be passed on, where ten at once would all be late.
        # Those who pass it on to others go first, so that all links are soon
        # busy.
        await self._send_lock.acquire(
            0 if req.headers.get(RELAY_HEADER) else 1
        )
        try:
            # A newer version may have taken its place meanwhile.
            data = chunk_store.find_any(indices)
            if data is None:
                conn.write(
                    http1.dump_reply(
                        503, _unavailable_headers(chunk_store, indices)
                    )
                )
            else:
                chunk_store.count_served(data[0])
                await self._send(conn, *data, 1 - chunk_store.missing_share)
        finally:
            self._send_lock.release()

    def _note_requester(self, requester, request):
        model, version, indices = request
        chunk_store = self.version_store.find(model, version)
        if chunk_store is None or not requester:
            return
        for index in indices:
            chunk_store.wait_graph.note_requester(
                index, requester, self.clock()
            )

    async def _wait_for(self, model, version, indices):
        """Return the `ChunkStore` once one of the chunks is here, or None."""
        end_at = self.clock() + MAX_WAIT_S
        begin_at = self.clock() + START_WAIT_S
        chunk_store = self.version_store.find(model, version)
        while (
            not _can_serve_soon(chunk_store, indices)
            and self.clock() < begin_at
        ):
            await asyncio.sleep(POLL_S)
            chunk_store = self.version_store.find(model, version)
        if chunk_store is not None:
            wait_s = max(0.0, end_at - self.clock())
            await chunk_store.wait_for_any(indices, wait_s)
        return chunk_store

    async def _send(self, conn, index, data, share):
        items = [
            (INDEX_HEADER, str(index)),
            (SHARE_HEADER, str(round(1000 * share))),
            ('Content-Length', str(len(data))),
        ]
        conn.write(http1.dump_head(http1.status_line(200), items))
        for offset in range(0, len(data), SLICE_BYTES):
            piece = data[offset : offset + SLICE_BYTES]
            await asyncio.sleep(self._pacer.delay_s(len(piece), self.clock()))
            conn.write(piece)
            await conn.drain()
        self.byte_counter.add('given', amount=len(data))


def _unavailable_headers(chunk_store, indices):
    """Return the headers of a reply without a chunk."""
    if chunk_store is not None and (
        chunk_store.is_expecting(indices) or chunk_store.is_complete
    ):
        chains = chunk_store.wait_graph.chains(indices)
        return (
            [(WAIT_CHAINS_HEADER, _wait_graph.dump_chains(chains))]
            if chains
            else []
        )
    return [(UNAVAILABLE_HEADER, '1')]


def _can_serve_soon(chunk_store, indices):
    """Return whether a holding has or gets one of the chunks."""
    if chunk_store is None:
        return False
    return (
        chunk_store.is_expecting(indices)
        or chunk_store.find_any(indices) is not None
    )


def _parse_path(path):
    """Return (model, version, indices) of a request, or None."""
    parts = path.strip('/').split('/')
    if len(parts) != 4 or parts[0] != 'chunks':
        return None
    try:
        indices = [int(word) for word in parts[3].split(',')]
        return parts[1], int(parts[2]), indices[:MAX_INDICES]
    except ValueError:
        return None
