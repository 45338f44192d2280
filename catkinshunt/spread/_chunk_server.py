"""Serves chunks to other sidecars over HTTP."""

import asyncio
import heapq

from catkinshunt import http1
from catkinshunt import logs
from catkinshunt.spread import _wait_graph
from catkinshunt.spread import base

#: Longest wait of a request until one of its chunks arrives.
MAX_WAIT_S = 1.0
#: Size of one write. Events of streams on the same link are delayed by the
#: time that one write takes.
SLICE_BYTES = 4096
#: Polling interval while a request waits until its transfer starts.
POLL_S = 0.05
#: Share of the link for chunks; the rest is for live responses. Several
#: senders share a receiver's link, and near its full speed requests and events
#: are queued behind several chunks.
LINK_SHARE = 0.9
#: Bytes on the link, with headers, per byte of payload.
PROTOCOL_OVERHEAD = 1.04
#: Reply header: index of the chunk.
INDEX_HEADER = 'Chunk-Index'
#: Request header: the requester relays the chunk to members of its data
#: centre.
RELAY_HEADER = 'Chunk-Relay'
#: Request header: reply at once, and with a chunk only if idle.
IDLE_ONLY_HEADER = 'Chunk-Spare'
#: Reply header: present share of the version, in thousandths.
SHARE_HEADER = 'Chunk-Share'
#: Request header: name of the requesting member.
REQUESTER_HEADER = 'Chunk-Asker'
#: Header of a reply without a chunk: wait chains of its sender.
WAIT_CHAINS_HEADER = 'Chunk-Chains'
#: Header of a reply without a chunk: it will not be available soon.
UNABLE_HEADER = 'Chunk-Unable'
#: Longest wait of a request until the transfer of its version starts. The
#: request itself reveals a new version; a member that finishes an older
#: transfer first replies that it is unable, so that no requests wait for it.
START_WAIT_S = 0.3
#: Limit of chunk indices in one request.
MAX_INDICES = 64

_log = logs.get_logger('chunks')


class Pacer:
    """Limits the rate of writes.

    Args:
        bytes_per_s: rate limit in bytes per second.

    Examples:
        >>> pacer = Pacer(bytes_per_s=1000.0)
        >>> pacer.delay_s(500, now=0.0), pacer.delay_s(500, now=0.0)
        (0.0, 0.5)
    """

    def __init__(self, bytes_per_s):
        self.bytes_per_s = bytes_per_s
        self._free_at = 0.0

    def delay_s(self, size, now):
        """Reserve `size` bytes; return the seconds to wait before writing."""
        begin = max(now, self._free_at)
        self._free_at = begin + size / self.bytes_per_s
        return begin - now


class PriorityLock:
    """A lock for tasks that is granted to lower priority values first."""

    def __init__(self):
        self._busy = False
        self._waiting = []
        self._count = 0

    @property
    def is_free(self):
        """Whether no task holds the lock."""
        return not self._busy

    async def acquire(self, priority):
        """Acquire the lock, in order of arrival within one priority."""
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
        """Release the lock and grant it to the next waiting task."""
        while self._waiting:
            _, _, fut = heapq.heappop(self._waiting)
            if not fut.done():
                fut.set_result(None)
                return
        self._busy = False


class ChunkServer:
    """Serves chunks to other sidecars, one chunk at a time.

    Args:
        version_store: `VersionStore`.
        clock: returns seconds on the monotonic clock.
        link_mbps: speed of the instance's link.
        byte_counter: counts bytes by source, or 'given': sent to peers.
        on_request: called with the model and version of each request.
        budget: `callers.CallerBudget` of the process; None for no bound.
    """

    def __init__(
        self,
        version_store,
        clock,
        link_mbps,
        byte_counter,
        on_request,
        budget=None,
    ):
        self.version_store = version_store
        self.on_request = on_request
        self.clock = clock
        self.byte_counter = byte_counter
        self._send_lock = PriorityLock()
        self._pacer = Pacer(
            link_mbps * base.BYTES_PER_MBIT * LINK_SHARE / PROTOCOL_OVERHEAD
        )
        self._listener = http1.Listener(self._session, clock, budget=budget)

    async def start(self, host, port):
        """Listen on an address; return self."""
        await self._listener.start(host, port)
        return self

    @property
    def port(self):
        """The port of the listening socket."""
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
        request = _parse_path(path)
        if request is None:
            _log.warning('Rejected request for unknown path {}.', path[:100])
            conn.write(http1.dump_reply(404, []))
            return
        model, version, indices = request
        self.on_request(model, version)
        if req.headers.get(IDLE_ONLY_HEADER):
            chunk_store = self.version_store.find(model, version)
            may_serve = self._send_lock.is_free
        else:
            self._note_requester(req.headers.get(REQUESTER_HEADER), request)
            chunk_store = await self._wait_for_chunk(model, version, indices)
            may_serve = True
        if (
            not may_serve
            or chunk_store is None
            or not chunk_store.find_any(indices)
        ):
            conn.write(
                http1.dump_reply(503, _no_chunk_headers(chunk_store, indices))
            )
            return
        # One chunk at a time: its receiver can relay it early, while ten
        # concurrent ones would all finish late. Members that relay the chunk
        # have priority, so that all links are in use soon.
        await self._send_lock.acquire(
            0 if req.headers.get(RELAY_HEADER) else 1
        )
        try:
            # Uploads may have been disabled, or the manifest dropped, while
            # the task waited.
            data = chunk_store.find_any(indices)
            if data is None:
                conn.write(
                    http1.dump_reply(
                        503, _no_chunk_headers(chunk_store, indices)
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

    async def _wait_for_chunk(self, model, version, indices):
        """Wait for one of the chunks; return the `ChunkStore` or None."""
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

    async def _send(self, conn, index, data, present_share):
        items = [
            (INDEX_HEADER, str(index)),
            (SHARE_HEADER, str(round(1000 * present_share))),
            ('Content-Length', str(len(data))),
        ]
        conn.write(http1.dump_head(http1.status_line(200), items))
        for offset in range(0, len(data), SLICE_BYTES):
            piece = data[offset : offset + SLICE_BYTES]
            await asyncio.sleep(self._pacer.delay_s(len(piece), self.clock()))
            conn.write(piece)
            await conn.drain()
        self.byte_counter.add('given', amount=len(data))


def _no_chunk_headers(chunk_store, indices):
    """Return the headers of a reply without a chunk.

    Wait chains, if any, if the requester should retry here; otherwise
    `UNABLE_HEADER`, after which it uses another source. A complete version
    may have the chunk but refuse an idle-only request while another chunk is
    sent.
    """
    if chunk_store is not None and (
        chunk_store.is_expecting(indices) or chunk_store.is_complete
    ):
        chains = chunk_store.wait_graph.chains(indices)
        return (
            [(WAIT_CHAINS_HEADER, _wait_graph.dump_chains(chains))]
            if chains
            else []
        )
    return [(UNABLE_HEADER, '1')]


def _can_serve_soon(chunk_store, indices):
    """Return whether one of the chunks is present or expected."""
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
