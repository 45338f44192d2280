"""Gives chunks to other sidecars, over HTTP."""

import asyncio
import heapq

from catkinshunt import http1
from catkinshunt import logs
from catkinshunt.spread import _wait_graph
from catkinshunt.spread import base

#: Seconds for which a request for a chunk may wait until the chunk is here.
LONGEST_WAIT_S = 1.0
#: Bytes that are written at once. An event of a stream on the same link waits
#: for as long as they take.
SLICE_BYTES = 4096
#: Pause between looks whether a version has become known, in seconds.
LOOK_S = 0.05
#: Share of the link that chunks may take; the rest is for live answers. Many
#: senders share the way into a receiver, and near its full speed requests and
#: events wait there for several chunks.
LINK_SHARE = 0.9
#: Bytes of heads and packets beside a slice.
OVERHEAD = 1.04
#: Header that names the chunk in a reply.
INDEX = 'Chunk-Index'
#: Header of a request by one who passes the chunk on to others.
RELAY = 'Chunk-Relay'
#: Header of a request that is not to wait until one of the chunks is here.
SPARE = 'Chunk-Spare'
#: Header of a reply: share of the version that is here, in thousandths.
SHARE = 'Chunk-Share'
#: Header of a request: the member that asks.
ASKER = 'Chunk-Asker'
#: Header of a reply without a chunk: whom its sender waits for.
CHAINS = 'Chunk-Chains'
#: Header of a reply by one that will not have what is missing soon.
UNABLE = 'Chunk-Unable'
#: Seconds for which a request waits until its version is fetched here. Whoever
#: is asked for a new version hears of it by that, and begins at once; one that
#: has to end an older transfer first says so, instead of being waited for.
BEGIN_S = 0.3
#: Chunks that one request may name.
MOST_NAMED = 64

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

    async def take(self, rank):
        """Wait for the turn; `leave` gives it to the next."""
        if not self._busy:
            self._busy = True
            return
        self._count += 1
        turn = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (rank, self._count, turn))
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.leave()
            raise

    def leave(self):
        """Give the turn to the next who still waits."""
        while self._waiting:
            _, _, turn = heapq.heappop(self._waiting)
            if not turn.done():
                turn.set_result(None)
                return
        self._busy = False


class ChunkServer:
    """Gives chunks to other sidecars, one after the other.

    Args:
        shelf: `VersionStore` with what is here.
        clock: gives seconds on the steady clock.
        link_mbps: speed of the instance's link.
        counter: counts bytes given.
        on_asked: called with the model and version of each request.
    """

    def __init__(self, version_store, clock, link_mbps, counter, on_asked):
        self.version_store = version_store
        self.on_asked = on_asked
        self.clock = clock
        self.counter = counter
        self._turns = PriorityLock()
        self._pacer = Pacer(
            link_mbps * base.BYTES_PER_MBIT * LINK_SHARE / OVERHEAD
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
            await self._answer(conn, req)
            conn.begin_idle()

    async def _answer(self, conn, req):
        path = req.path
        found = _read_path(path)
        if found is None:
            _log.warning('Left aside a request for {}.', path[:100])
            conn.write(http1.dump_reply(404, []))
            return
        model, version, indices = found
        self.on_asked(model, version)
        if req.headers.get(SPARE):
            chunk_store = self.version_store.find(model, version)
            gives = self._turns.is_free
        else:
            self._note_asker(req.headers.get(ASKER), found)
            chunk_store = await self._wait_for(model, version, indices)
            gives = True
        if (
            not gives
            or chunk_store is None
            or not chunk_store.find_any(indices)
        ):
            conn.write(http1.dump_reply(503, _refusal(chunk_store, indices)))
            return
        # Chunks go out one after the other: the one that is sent is whole
        # soon and can be passed on, where ten at once would all be late.
        # Those who pass it on to others go first, so that all links are soon
        # busy.
        await self._turns.take(0 if req.headers.get(RELAY) else 1)
        try:
            # A newer version may have taken its place meanwhile.
            data = chunk_store.find_any(indices)
            if data is None:
                conn.write(
                    http1.dump_reply(503, _refusal(chunk_store, indices))
                )
            else:
                chunk_store.note_given(data[0])
                await self._send(conn, *data, 1 - chunk_store.left_share)
        finally:
            self._turns.leave()

    def _note_asker(self, asker, wanted):
        model, version, indices = wanted
        chunk_store = self.version_store.find(model, version)
        if chunk_store is None or not asker:
            return
        for index in indices:
            chunk_store.waits.note_asker(index, asker, self.clock())

    async def _wait_for(self, model, version, indices):
        """Return the `ChunkStore` once one of the chunks is here, or None."""
        end_at = self.clock() + LONGEST_WAIT_S
        begin_at = self.clock() + BEGIN_S
        chunk_store = self.version_store.find(model, version)
        while not _is_of_use(chunk_store, indices) and self.clock() < begin_at:
            await asyncio.sleep(LOOK_S)
            chunk_store = self.version_store.find(model, version)
        if chunk_store is not None:
            wait_s = max(0.0, end_at - self.clock())
            await chunk_store.wait_for_any(indices, wait_s)
        return chunk_store

    async def _send(self, conn, index, data, share):
        items = [
            (INDEX, str(index)),
            (SHARE, str(round(1000 * share))),
            ('Content-Length', str(len(data))),
        ]
        conn.write(http1.dump_head(http1.status_line(200), items))
        for at in range(0, len(data), SLICE_BYTES):
            part = data[at : at + SLICE_BYTES]
            await asyncio.sleep(self._pacer.delay_s(len(part), self.clock()))
            conn.write(part)
            await conn.drain()
        self.counter.add('given', amount=len(data))


def _refusal(chunk_store, indices):
    """Return the headers of a reply without a chunk."""
    if chunk_store is not None and (
        chunk_store.awaits(indices) or chunk_store.is_complete
    ):
        chains = chunk_store.waits.chains(indices)
        return [(CHAINS, _wait_graph.dump_chains(chains))] if chains else []
    return [(UNABLE, '1')]


def _is_of_use(chunk_store, indices):
    """Return whether a holding has or gets one of the chunks."""
    if chunk_store is None:
        return False
    return (
        chunk_store.awaits(indices)
        or chunk_store.find_any(indices) is not None
    )


def _read_path(path):
    """Return (model, version, indices) of a request, or None."""
    words = path.strip('/').split('/')
    if len(words) != 4 or words[0] != 'chunks':
        return None
    try:
        indices = [int(word) for word in words[3].split(',')]
        return words[1], int(words[2]), indices[:MOST_NAMED]
    except ValueError:
        return None
