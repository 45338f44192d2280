"""Server side of an HTTP/1.1 connection."""

import asyncio
import collections

import attrs
import httptools

from catkinshunt.http1 import _messages

#: Bytes that may be buffered for a slow caller before `drain` waits.
HIGH_WATER_BYTES = 64 * 1024
#: Delay before closing a connection whose request was rejected unread.
#: Unread bytes cause a reset, by which the caller could lose the rejection.
LINGER_S = 0.2
#: Requests that may wait for their turn on a connection; beyond them reading
#: is paused.
MAX_WAITING_REQUESTS = 8
#: Longest wait before the limits in force are read again.
MAX_WAIT_S = 5.0


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


class BadRequestError(Exception):
    """A malformed request; `status` is the status of the reply."""

    def __init__(self, status, message):
        super().__init__(message)
        self.status = status


class ServerConnection(asyncio.Protocol):
    """Reads the requests of one caller, one at a time.

    Args:
        clock: function that returns seconds on the monotonic clock.
        limits: function that returns the `Limits` in force.
        on_connected: called with the connection once it is open.
    """

    def __init__(self, clock, limits, on_connected):
        self.clock = clock
        self.limits = limits
        self.on_connected = on_connected
        self.transport = None
        self.closed = asyncio.get_running_loop().create_future()
        self.reading_since = None
        self._requests = collections.deque()
        self._arrived = asyncio.Event()
        self._parser = httptools.HttpRequestParser(self)
        self._writable = asyncio.Event()
        self._writable.set()
        #: Whether a request was returned whose reply may not be whole.
        self._is_answering = False
        #: Whether nothing more is read, after a bad request.
        self._is_rejected = False
        #: Whether the caller waits for 100 Continue.
        self._owes_continue = False
        self._begin_request()

    # asyncio.Protocol

    def connection_made(self, transport):
        """See `asyncio.Protocol`."""
        self.transport = transport
        transport.set_write_buffer_limits(high=HIGH_WATER_BYTES)
        self.on_connected(self)

    def connection_lost(self, exc):
        """See `asyncio.Protocol`."""
        self._mark_closed()

    def eof_received(self):
        """See `asyncio.Protocol`; a half-closed connection is closed."""
        self._mark_closed()
        return False

    def pause_writing(self):
        """See `asyncio.Protocol`."""
        self._writable.clear()

    def resume_writing(self):
        """See `asyncio.Protocol`."""
        self._writable.set()

    def data_received(self, data):
        """See `asyncio.Protocol`."""
        if self.reading_since is None:
            self.reading_since = self.clock()
            self._arrived.set()
        self._overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
            self._check_sizes()
        except httptools.HttpParserUpgrade:
            self._reject(400, 'upgrades are not supported')
        except httptools.HttpParserError as exc:
            cause = exc.__context__
            if isinstance(cause, BadRequestError):
                self._reject(cause.status, str(cause))
            else:
                self._reject(400, 'the request could not be parsed')
        except BadRequestError as exc:
            self._reject(exc.status, str(exc))

    # httptools

    def on_url(self, url):
        """Add a part of the request target."""
        self._target += url

    def on_header(self, name, value):
        """Add one header field."""
        self._items.append((name.decode('latin-1'), value.decode('latin-1')))

    def on_headers_complete(self):
        """Send 100 Continue if the caller expects it."""
        headers = _messages.Headers(self._items)
        if (headers.get('expect') or '').lower() == '100-continue':
            self._owes_continue = True
            self._send_continue()

    def on_body(self, data):
        """Add a part of the body; reject a body over the limit."""
        self._overhead_bytes = 0
        self._body += data
        if len(self._body) > self.limits().body_bytes:
            raise BadRequestError(413, 'the body is too long')

    def on_message_complete(self):
        """Enqueue the request and start the next."""
        req = _messages.Request(
            self._parser.get_method().decode('latin-1'),
            self._target.decode('latin-1'),
            _messages.Headers(self._items),
            bytes(self._body),
            self.clock(),
            self._parser.should_keep_alive(),
        )
        self._begin_request()
        self._requests.append(req)
        self._arrived.set()
        if len(self._requests) >= MAX_WAITING_REQUESTS:
            self.transport.pause_reading()

    # Called by the task of the connection.

    async def read_request(self):
        """Return the next `Request`, a `BadRequestError`, or None at the end.

        An idle connection ends after `Limits.idle_s`; a request that takes
        longer than `Limits.header_s` is returned as an error with status
        408.
        """
        self._is_answering = False
        self._send_continue()
        while not self._requests:
            wait_s = self._wait_s()
            if self.closed.done():
                return None
            if wait_s <= 0 and self.reading_since is None:
                return None
            if wait_s <= 0:
                return BadRequestError(408, 'the request took too long')
            await self._await_input(wait_s)
        self._is_answering = True
        if not self._is_rejected:
            self.transport.resume_reading()
        return self._requests.popleft()

    def _wait_s(self):
        limits = self.limits()
        if self.reading_since is None:
            return self.idle_since + limits.idle_s - self.clock()
        return self.reading_since + limits.header_s - self.clock()

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
        return self.reading_since is None and not self._requests

    def begin_idle(self):
        """Start the idle timeout, after a reply was sent."""
        self.idle_since = self.clock()

    def write(self, data):
        """Send `data` unless the connection is closing."""
        if not self.transport.is_closing():
            self.transport.write(data)

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

    # Internals.

    def _send_continue(self):
        """Send 100 Continue, unless it would come within another reply."""
        if self._owes_continue and not (self._is_answering or self._requests):
            self._owes_continue = False
            self.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def _begin_request(self):
        self._owes_continue = False
        self._target = b''
        self._items = []
        self._body = bytearray()
        self._overhead_bytes = 0
        self.reading_since = None
        self.idle_since = self.clock()

    def _check_sizes(self):
        if self.reading_since is None:
            return
        if self._overhead_bytes > self.limits().header_bytes:
            raise BadRequestError(431, 'head or framing is too long')

    def _reject(self, status, message):
        self._is_rejected = True
        self._requests.append(BadRequestError(status, message))
        self._arrived.set()
        self.transport.pause_reading()

    def _mark_closed(self):
        self._writable.set()
        self._arrived.set()
        if not self.closed.done():
            self.closed.set_result(None)
