"""Client side of an HTTP/1.1 connection."""

import asyncio
import collections
import socket
import struct

import attrs
import httptools

from catkinshunt.http1 import _messages

#: Bytes buffered ahead of the task that relays a reply; beyond them reading
#: is paused.
READ_AHEAD_BYTES = 256 * 1024
#: Value of SO_LINGER (on, 0 s) with which closing a socket resets the
#: connection.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


@attrs.frozen
class BodyPart:
    """A part of a reply body."""

    data: bytes


@attrs.frozen
class EndOfReply:
    """The reply has ended.

    Attributes:
        at_close: whether the reply is delimited by the close of its
            connection, as it has neither a length nor chunks (RFC 9112,
            section 6.3). The connection of a crashed peer is closed in the
            same way, so the reply may be incomplete.
    """

    at_close: bool = False


@attrs.frozen
class ConnectionLost:
    """The connection ended; nothing further can be read.

    Attributes:
        reason: why the connection ended.
        orderly: whether the peer closed it without a reset.
    """

    reason: str
    orderly: bool = False


class ClientConnection(asyncio.Protocol):
    """Sends one request at a time and yields the parts of its reply.

    The parts are a `ReplyHead`, any number of `BodyPart` and an
    `EndOfReply`; a `ConnectionLost` replaces the parts that are missing.

    Args:
        clock: function that returns seconds on the monotonic clock.

    Attributes:
        opened_at: when it was opened, in seconds on the monotonic clock.
        requests: number of requests sent on it.
    """

    def __init__(self, clock):
        self.clock = clock
        self.transport = None
        self.opened_at = clock()
        self.idle_since = self.opened_at
        self.idle_limit_s = None
        self.reusable = True
        self.requests = 0
        self._parts = collections.deque()
        self._arrived = asyncio.Event()
        self._buffered_bytes = 0
        self._lost = None
        self._in_reply = False
        self._ends_at_close = False
        self._parser = httptools.HttpResponseParser(self)
        self._items = []
        self._reason = b''

    # asyncio.Protocol

    def connection_made(self, transport):
        """See `asyncio.Protocol`."""
        self.transport = transport

    def connection_lost(self, exc):
        """See `asyncio.Protocol`."""
        if exc is None:
            # If the peer had closed it, `eof_received` would have been called
            # before.
            self._end_input('closed by this process')
        else:
            self._end_input(f'{type(exc).__name__}: {exc}')

    def eof_received(self):
        """See `asyncio.Protocol`."""
        self._end_input('closed by the peer', orderly=True)
        return False

    def data_received(self, data):
        """See `asyncio.Protocol`."""
        if self._lost is not None:
            return
        if not self.requests:
            self._end_input('data was received before any request')
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._end_input('the peer switched protocols')
        except httptools.HttpParserError as exc:
            self._end_input(f'malformed reply: {exc}')

    # httptools

    def on_message_begin(self):
        """Start a reply."""
        self._items = []
        self._reason = b''
        self._in_reply = True
        self._ends_at_close = False

    def on_status(self, text):
        """Add a part of the reason phrase."""
        self._reason += text

    def on_header(self, name, value):
        """Add one header field."""
        self._items.append((name.decode('latin-1'), value.decode('latin-1')))

    def on_headers_complete(self):
        """Pass on the head, except that of an interim (1xx) reply."""
        status = self._parser.get_status_code()
        if 100 <= status < 200:
            return
        headers = _messages.Headers(self._items)
        bodiless = status in (204, 304)
        framed = bodiless or self._is_framed(headers)
        self._ends_at_close = not framed
        if not self._parser.should_keep_alive() or not framed:
            self.reusable = False
        self.idle_limit_s = _idle_limit_s(headers)
        reason = self._reason.decode('latin-1')
        self._put(_messages.ReplyHead(status, headers, bodiless, reason))

    def on_body(self, data):
        """Pass on a part of the body; pause reading at the limit."""
        self._buffered_bytes += len(data)
        if self._buffered_bytes > READ_AHEAD_BYTES:
            self.transport.pause_reading()
        self._put(BodyPart(data))

    def on_message_complete(self):
        """Pass on the end of the reply."""
        status = self._parser.get_status_code()
        if 100 <= status < 200:
            return
        self._in_reply = False
        self._put(EndOfReply())

    # Called by the task that sends the request.

    @property
    def is_open(self):
        """Whether another request can be sent."""
        return (
            self._lost is None
            and self.reusable
            and not self._parts
            and not self.transport.is_closing()
        )

    def send(self, head, body=b''):
        """Send a request; `read_part` returns its reply."""
        self.requests += 1
        self.transport.write(head + body)

    @property
    def is_fully_sent(self):
        """Whether no byte of the request is still buffered."""
        return self.transport.get_write_buffer_size() == 0

    @property
    def has_part(self):
        """Whether `read_part` returns at once."""
        return bool(self._parts) or self._lost is not None

    async def wait_for_part(self):
        """Wait until `read_part` returns at once."""
        while not self.has_part:
            self._arrived.clear()
            await self._arrived.wait()

    async def read_part(self):
        """Return the next part of the reply."""
        await self.wait_for_part()
        if not self._parts:
            return self._lost
        part = self._parts.popleft()
        if isinstance(part, BodyPart):
            self._buffered_bytes -= len(part.data)
            if self._buffered_bytes <= READ_AHEAD_BYTES:
                self.transport.resume_reading()
        return part

    def close(self):
        """Close at once; unread replies are discarded."""
        self.reusable = False
        if self.transport is not None:
            self.transport.abort()

    def reset(self):
        """Reset the connection, so that undelivered bytes are discarded.

        Bytes sent to a paused instance, or over a partitioned network, are
        delivered on recovery, after the caller has gone. With an orderly
        close the upstream would execute a request that nobody waits for.
        """
        sock = self.transport.get_extra_info('socket')
        if sock is not None and not self.transport.is_closing():
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        self.close()

    def _put(self, part):
        self._parts.append(part)
        self._arrived.set()

    def _end_input(self, reason, orderly=False):
        if self._lost is not None:
            return
        if orderly and self._in_reply and self._ends_at_close:
            # A reply without a length is complete when its connection is
            # closed in order; a reset leaves it incomplete.
            self._put(EndOfReply(at_close=True))
        self._lost = ConnectionLost(reason, orderly)
        self.reusable = False
        self._arrived.set()
        if self.transport is not None and not self.transport.is_closing():
            self.transport.close()

    def _is_framed(self, headers):
        encoding = headers.get('transfer-encoding') or ''
        if 'chunked' in encoding.lower():
            return True
        return headers.get('content-length') is not None


def _idle_limit_s(headers):
    """Return the timeout in the peer's Keep-Alive header, or None."""
    for word in (headers.get('keep-alive') or '').split(','):
        name, _, value = word.strip().partition('=')
        if name.lower() == 'timeout' and value.strip().isdigit():
            return float(value)
    return None
