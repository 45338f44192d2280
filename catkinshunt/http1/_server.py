"""Server side of an HTTP/1.1 connection."""

import array
import asyncio
import collections
import fcntl
import termios

import attrs

from catkinshunt import callers
from catkinshunt.http1 import _read_buffer
from catkinshunt.http1 import _request_parser
from catkinshunt import logs

#: Bytes that may be buffered for a slow caller before `drain` waits.
HIGH_WATER_BYTES = 64 * 1024
#: Delay before closing a connection whose request was rejected unread.
#: Unread bytes cause a reset, by which the caller could lose the rejection.
LINGER_S = 0.2
#: Requests that may wait for their turn on a connection, and bytes that they
#: may take; beyond them reading is paused.
MAX_WAITING_REQUESTS = 8
MAX_WAITING_BYTES = 64 * 1024
#: Bytes that one connection may have parsed before others have their turn,
#: but for bodies whose length is stated.
TURN_BYTES = 4 * 1024
#: A change of what a connection holds that it reports to the budget.
REPORT_BYTES = callers.UNREPORTED_BYTES
#: Seconds between two looks at what a paused connection holds.
HOLDING_POLL_S = 0.25
#: Longest wait before the limits in force are read again.
MAX_WAIT_S = 5.0

_log = logs.get_logger('http')


@attrs.define
class Limits:
    """Limits on the size and duration of requests.

    Attributes:
        header_bytes: maximum size of a request head, of a trailer section, and
            of the framing between two parts of a body.
        body_bytes: maximum size of a request body.
        header_s: seconds within which a request must be received.
        idle_s: idle timeout of a connection, in seconds.
    """

    header_bytes: int = 64 * 1024
    body_bytes: int = 8 * 1024 * 1024
    header_s: float = 10.0
    idle_s: float = 60.0


class ServerConnection(_read_buffer.BufferedReader, callers.BaseHolder):
    """Reads the requests of one caller, one at a time.

    Args:
        clock: function that returns seconds on the monotonic clock.
        limits: function that returns the `Limits` in force.
        on_connected: called with the connection once it is open.
        budget: `CallerBudget` of the process.
    """

    def __init__(self, clock, limits, on_connected, budget):
        self.clock = clock
        self.limits = limits
        self.on_connected = on_connected
        self.budget = budget
        self.transport = None
        self.closed = asyncio.get_running_loop().create_future()
        self.idle_since = clock()
        #: Requests that wait, each with the bytes that it takes.
        self._requests = collections.deque()
        self._waiting_bytes = 0
        self._arrived = asyncio.Event()
        self._parser = _request_parser.RequestParser(
            clock, limits, self._on_head, self._on_request
        )
        #: What was received and is not parsed yet, and where that begins.
        self._received = b''
        self._parsed = 0
        self._next_turn = None
        #: Since when reading is paused as requests wait, or None.
        self._paused_since = None
        #: Bytes that the kernel had for this process at the last look.
        self._kernel_bytes = 0
        self._holding_poll = None
        #: Relays of upstream replies that hold a part of one for the caller.
        self._relays = set()
        #: What it held when it last reported to the budget.
        self._reported_bytes = 0
        self._writable = asyncio.Event()
        self._writable.set()
        #: Whether a request was returned whose reply may not be whole.
        self._is_answering = False
        self._answering_bytes = 0
        #: Whether nothing more is read, after a bad request.
        self._is_rejected = False

    # asyncio.Protocol

    def connection_made(self, transport):
        """See `asyncio.Protocol`."""
        self.transport = transport
        transport.set_write_buffer_limits(high=HIGH_WATER_BYTES)
        if not self.budget.open(self):
            transport.abort()
            return
        self.on_connected(self)

    def connection_lost(self, exc):
        """See `asyncio.Protocol`."""
        self.budget.close(self)
        self._free()
        for handle in (self._next_turn, self._holding_poll):
            if handle is not None:
                handle.cancel()
        self._mark_closed()

    def eof_received(self):
        """See `asyncio.Protocol`; a half-closed connection is closed."""
        self._mark_closed()
        return False

    def pause_writing(self):
        """See `asyncio.Protocol`."""
        self._writable.clear()
        self.update_budget()
        self._start_poll()

    def resume_writing(self):
        """See `asyncio.Protocol`."""
        self._writable.set()

    def data_received(self, data):
        """See `_read_buffer.BufferedReader`."""
        if self._is_rejected or self.closed.done():
            # Discarded, so that the caller can read the rejection.
            return
        if self._unparsed_bytes:
            data = self._received[self._parsed :] + bytes(data)
        self._received = data
        self._parsed = 0
        self._parse()
        if self._unparsed_bytes:
            # The buffer is used for other connections before the next turn.
            self._received = bytes(self._received[self._parsed :])
            self._parsed = 0

    # Called by the task of the connection.

    async def read_request(self):
        """Return the next `Request`, a `BadRequestError`, or None at the end.

        An idle connection ends after `Limits.idle_s`; a request that takes
        longer than `Limits.header_s` is returned as an error with status
        408.
        """
        self._end_answer()
        if self._requests:
            # Requests sent early may all be rejected without a wait, and
            # would keep the event loop from all other connections.
            await asyncio.sleep(0)
        while not self._requests:
            wait_s = self._wait_s()
            if self.closed.done():
                return None
            if wait_s <= 0 and self._parser.since is None:
                return None
            if wait_s <= 0:
                return _request_parser.BadRequestError(
                    408, 'the request took too long'
                )
            await self._await_input(wait_s)
        return self._begin_answer()

    def _begin_answer(self):
        """Return the first request that waits, or why it is rejected."""
        req, size = self._requests.popleft()
        self._waiting_bytes -= size
        self._is_answering = True
        if isinstance(req, _request_parser.BadRequestError):
            self._resume()
            return req
        if not self.budget.has_room(self, size):
            exc = self._no_memory_error()
            self._reject(exc)
            return exc
        self._answering_bytes = size
        self._go_on()
        return req

    def _end_answer(self):
        self._is_answering = False
        self._answering_bytes = 0
        self._send_continue()
        self._go_on()

    def _go_on(self):
        """Parse what had to wait for the request in progress."""
        if self._unparsed_bytes or self._paused_since is not None:
            self._parse()
        else:
            self.update_budget()

    def _wait_s(self):
        limits = self.limits()
        if self._parser.since is None:
            return self.idle_since + limits.idle_s - self.clock()
        return self._parser.since + limits.header_s - self.clock()

    async def _await_input(self, wait_s):
        self._arrived.clear()
        try:
            async with asyncio.timeout(min(wait_s, MAX_WAIT_S)):
                await self._arrived.wait()
        except TimeoutError:
            # `read_request` checks the time and the limits in force again.
            return

    @property
    def is_idle(self):
        """Whether no part of a request arrived since the last reply."""
        return (
            self._parser.since is None
            and not self._requests
            and not self._unparsed_bytes
        )

    def begin_idle(self):
        """Start the idle timeout, after a reply was sent."""
        self.idle_since = self.clock()

    def write(self, data):
        """Send `data` unless the connection is closing."""
        if self.transport.is_closing():
            return
        self.transport.write(data)
        if self.unsent_bytes:
            self.update_budget()

    def add_relay(self, relay):
        """Count what `relay` holds; it has a property `held_bytes`."""
        self._relays.add(relay)

    def remove_relay(self, relay):
        """Count no more what `relay` holds."""
        self._relays.discard(relay)

    def may_buffer(self):
        """Return whether there is room for more of a reply."""
        self.update_budget()
        return not self.budget.is_short

    @property
    def unsent_bytes(self):
        """Bytes in the write buffer."""
        return self.transport.get_write_buffer_size()

    @property
    def is_drained(self):
        """Whether `drain` returns at once."""
        return self._writable.is_set()

    async def drain(self):
        """Wait until the write buffer is below its limit."""
        if not self._writable.is_set():
            await self._writable.wait()

    def close(self):
        """Close after sending what was written."""
        if self.transport is not None:
            self.transport.close()

    def abort(self):
        """Close at once, so that the caller sees a reply as incomplete."""
        if self.transport is not None:
            self.transport.abort()

    # callers.BaseHolder

    @property
    def peer(self):
        """See `callers.BaseHolder`."""
        address = self.transport.get_extra_info('peername')
        return address[0] if address else '?'

    def measure(self):
        """See `callers.BaseHolder`."""
        reclaimable = self._reclaimable_bytes()
        active = self._answering_bytes
        for relay in self._relays:
            # What is relayed to a caller that reads is not held for long.
            if self.is_drained:
                active += relay.held_bytes
            else:
                reclaimable += relay.held_bytes
        return callers.Holding(reclaimable, active)

    def _reclaimable_bytes(self):
        """Return what it holds, but for what is relayed to it."""
        return (
            len(self._received)
            - self._parsed
            + self._kernel_bytes
            + self._waiting_bytes
            + self._parser.held_bytes
            + self.transport.get_write_buffer_size()
        )

    @property
    def is_unused(self):
        """See `callers.BaseHolder`."""
        return self.is_idle and not self._is_answering

    @property
    def may_close(self):
        """See `callers.BaseHolder`.

        A request whose reply the caller does not read is in progress for
        nobody.
        """
        is_waiting = self._is_answering or self._requests
        return not is_waiting or not self.is_drained

    def reclaim(self):
        """See `callers.BaseHolder`.

        Requests that have not begun are rejected. If there are none, or the
        caller sends on or does not read, the connection is closed.
        """
        has_requests = self._reclaimable_bytes() > self.unsent_bytes
        if self._is_rejected or not has_requests or not self.is_drained:
            self._free()
            self._relays.clear()
            self.abort()
            return
        self._requests.clear()
        self._waiting_bytes = 0
        self._reject(self._no_memory_error())

    @property
    def _unparsed_bytes(self):
        return len(self._received) - self._parsed

    def _start_poll(self):
        if self._holding_poll is None:
            loop = asyncio.get_running_loop()
            self._holding_poll = loop.call_later(
                HOLDING_POLL_S, self._poll_holding
            )

    def _poll_holding(self):
        """Note what a connection holds that is paused, now and then."""
        self._holding_poll = None
        if self.closed.done():
            return
        self._kernel_bytes = 0
        if self._paused_since is not None:
            sock = self.transport.get_extra_info('socket')
            self._kernel_bytes = _count_unread_bytes(sock)
        self.update_budget()
        if self._paused_since is not None or not self.is_drained:
            self._start_poll()

    def update_budget(self):
        """Report what it holds now."""
        size = self._reclaimable_bytes()
        now = self.clock()
        self.note_reclaimable(size, now)
        size += self._answering_bytes
        if abs(size - self._reported_bytes) >= REPORT_BYTES or self._relays:
            self._reported_bytes = size
            self.budget.update(self, now)

    # Parsing.

    def _parse(self):
        """Parse what was received, up to the bounds of one turn."""
        if self._next_turn is not None:
            self._next_turn.cancel()
            self._next_turn = None
        was_reading = self._parser.since is not None
        left_bytes = TURN_BYTES
        try:
            while self._unparsed_bytes and left_bytes > 0:
                if self._is_ahead():
                    break
                left_bytes -= self._parse_slice()
        except _request_parser.BadRequestError as exc:
            self._reject(exc)
        if self._parser.since is not None and not was_reading:
            self._arrived.set()
        self.update_budget()
        self._control_reading()

    def _parse_slice(self):
        """Parse one slice; return the bytes that count for the turn."""
        end = self._parsed + self._parser.next_bytes
        with memoryview(self._received)[self._parsed : end] as data:
            self._parsed += len(data)
            self._parser.feed(data)
            return min(len(data), _request_parser.SLICE_BYTES)

    def _control_reading(self):
        """Read on once all is parsed, unless requests wait."""
        if self._is_rejected or self.closed.done():
            return
        if self._is_ahead():
            self._pause()
        elif self._unparsed_bytes:
            self._pause()
            loop = asyncio.get_running_loop()
            self._next_turn = loop.call_soon(self._parse)
        else:
            self._drop_unparsed()
            self._resume()

    def _is_ahead(self):
        """Return whether enough was read beside the request in progress."""
        if not self._requests and not self._is_answering:
            return False
        if len(self._requests) >= MAX_WAITING_REQUESTS:
            return True
        size = self._waiting_bytes + self._parser.held_bytes
        return size > MAX_WAITING_BYTES

    def _pause(self):
        if self._paused_since is None:
            self._paused_since = self.clock()
            self.transport.pause_reading()
            self._start_poll()

    def _resume(self):
        if self._paused_since is None:
            return
        if self._parser.since is not None:
            # The caller could not send the rest of the request meanwhile.
            began = max(self._paused_since, self._parser.since)
            self._parser.since += self.clock() - began
        self._paused_since = None
        self._kernel_bytes = 0
        self.transport.resume_reading()

    def _on_head(self):
        """Check whether there is room for a body of stated length."""
        size = self._parser.stated_bytes
        if size > self.limits().body_bytes:
            raise _request_parser.BadRequestError(413, 'the body is too long')
        if size and not self.budget.has_room(
            self, size * _request_parser.BODY_COPIES
        ):
            raise self._no_memory_error()
        self._send_continue()

    def _on_request(self, req, size):
        self._requests.append((req, size))
        self._waiting_bytes += size
        self._arrived.set()

    def _send_continue(self):
        """Send 100 Continue, unless it would come within another reply."""
        if not self._parser.expects_continue:
            return
        if not (self._is_answering or self._requests):
            self._parser.expects_continue = False
            self.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def _reject(self, exc):
        """Parse nothing more; `read_request` returns `exc` at the end.

        Further data are discarded: unread data would reset the connection, and
        with it the rejection.
        """
        self._is_rejected = True
        self._drop_unparsed()
        self._parser.clear()
        if self._is_answering or self._requests:
            self._pause()
        self._requests.append((exc, 0))
        self._arrived.set()

    def _free(self):
        """Drop all that it holds.

        Connection and parser refer to each other, so they stay in memory for
        a while after the end.
        """
        self._drop_unparsed()
        self._parser.clear()
        self._requests.clear()
        self._waiting_bytes = 0

    def _drop_unparsed(self):
        self._received, self._parsed = b'', 0

    def _no_memory_error(self):
        return _request_parser.BadRequestError(
            503, 'no memory for the request', self.budget.retry_after_s
        )

    def _mark_closed(self):
        self._writable.set()
        self._arrived.set()
        if not self.closed.done():
            self.closed.set_result(None)


def _count_unread_bytes(sock):
    """Return the bytes that a socket has received and not passed on."""
    count = array.array('i', [0])
    try:
        fcntl.ioctl(sock.fileno(), termios.FIONREAD, count)
    except OSError as exc:
        _log.warning('Unread bytes of a socket are not known: {}.', exc)
        return 0
    return count[0]
