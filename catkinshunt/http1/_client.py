"""Client side of an HTTP/1.1 connection."""

import asyncio
import collections
import re
import select
import socket
import struct

import attrs
import httptools

from catkinshunt.http1 import _messages
from catkinshunt.http1 import _read_buffer

#: Bytes buffered ahead of the task that relays a reply; beyond them reading
#: is paused.
READ_AHEAD_BYTES = 64 * 1024
#: Bytes that a buffered part of a body takes beside its data.
PART_BYTES = 128
#: Longest head or trailer section of a reply, and longest framing between two
#: parts of a body.
MAX_HEAD_BYTES = 64 * 1024
#: Most interim (1xx) heads before a reply.
MAX_INTERIM_HEADS = 8
#: Statuses of replies that are not interim.
FINAL_STATUSES = range(200, 600)
#: Most replies to other requests that are skipped before the awaited one.
MAX_SKIPPED = 1
#: Value of SO_LINGER (on, 0 s) with which closing a socket resets the
#: connection.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_HTTP_NAME = b'HTTP/'
_STATUS_LINE = re.compile(rb'HTTP/\d\.\d \d\d\d')
#: Length of what `_STATUS_LINE` matches.
MAX_STATUS_LINE_BYTES = len('HTTP/1.1 200')


class InvalidReplyError(Exception):
    """What the peer sent is not the reply to the request that waits."""


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
        is_invalid: whether this process ended it, as the peer sent what is no
            valid reply to the request.
    """

    reason: str
    orderly: bool = False
    is_invalid: bool = False


class ClientConnection(_read_buffer.BufferedReader):
    """Sends one request at a time and yields the parts of its reply.

    The parts are a `ReplyHead`, any number of `BodyPart` and an
    `EndOfReply`; a `ConnectionLost` replaces the parts that are missing.

    A peer may answer a request twice, or break off a late reply and send the
    next one behind it. So each reply is read by a parser of its own, a head
    that holds another status line is invalid, and the connection ends once
    data arrives while no reply is awaited. A reply to another request is
    skipped if it is whole.

    Args:
        clock: function that returns seconds on the monotonic clock.
        on_invalid: called with a text when the peer sends what belongs to no
            request or is no valid reply.

    Attributes:
        opened_at: when it was opened, in seconds on the monotonic clock.
        requests: number of requests sent on it.
        skipped: number of replies to other requests that were skipped.
        on_paused: function that is called when the limit of what is read
            ahead is reached, or None.
        is_end_doubtful: whether data that begins no reply followed the end of
            a reply, so that its length may be wrong.
    """

    def __init__(self, clock, on_invalid=None):
        self.clock = clock
        self.on_invalid = on_invalid
        self.transport = None
        self.opened_at = clock()
        self.idle_since = self.opened_at
        self.idle_limit_s = None
        self.reusable = True
        self.requests = 0
        self.skipped = 0
        self.on_paused = None
        self.is_end_doubtful = False
        self._parts = collections.deque()
        self._arrived = asyncio.Event()
        self._buffered_bytes = 0
        self._lost = None
        #: Whether the end of a reply is awaited.
        self._is_awaiting = False
        self._in_body = False
        self._ends_at_close = False
        #: Whether the end of the reply depends on a length in its head.
        self._has_length = False
        self._is_foreign = None
        self._is_head = False
        #: End of the data of the reply that is skipped, or None.
        self._skipped_tail = None
        self._parser = None
        #: Bytes of the head, or of framing since the last data of the body.
        self._overhead_bytes = 0
        self._interim_heads = 0
        #: Whether the last data hold more than the end of the reply.
        self._has_excess = False
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
        """See `_read_buffer.BufferedReader`."""
        if self._lost is not None:
            return
        if not self._is_awaiting:
            self.is_end_doubtful = self._has_length and not _begins_reply(data)
            self._reject(
                f'{len(data)} bytes were received while no reply was awaited'
            )
            return
        self._overhead_bytes += len(data)
        self._has_excess = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject('the peer switched protocols')
        except httptools.HttpParserError as exc:
            self._reject_malformed(exc)
        else:
            if self._has_excess:
                self._reject('data was received after the end of the reply')
            elif self._overhead_bytes > MAX_HEAD_BYTES:
                self._reject('malformed reply: head or framing is too long')

    # httptools

    def on_message_begin(self):
        """Start a head."""
        if not self._is_awaiting:
            self._has_excess = True
        self._items = []
        self._reason = b''

    def on_status(self, text):
        """Add a part of the reason phrase."""
        self._check_awaited()
        self._reason += text

    def on_header(self, name, value):
        """Add one header field."""
        _check_single_head(value)
        self._items.append((name.decode('latin-1'), value.decode('latin-1')))

    def on_headers_complete(self):
        """Pass on the head, except that of an interim (1xx) reply.

        Raises:
            InvalidReplyError: it is not the head of the awaited reply.
        """
        self._check_awaited()
        _check_single_head(self._reason)
        status = self._parser.get_status_code()
        if 100 <= status < 200:
            self._interim_heads += 1
            if self._interim_heads > MAX_INTERIM_HEADS:
                raise InvalidReplyError('too many interim heads')
            return
        if status not in FINAL_STATUSES:
            raise InvalidReplyError(f'status {status}')
        self._in_body = True
        headers = _messages.Headers(self._items)
        bodiless = self._is_head or status in (204, 304)
        if status == 204 and _states_body(headers):
            raise InvalidReplyError('a length in a reply that has no body')
        framed = bodiless or self._is_framed(headers)
        reason = self._reason.decode('latin-1')
        head = _messages.ReplyHead(status, headers, bodiless, reason)
        if self._is_foreign is not None and self._is_foreign(head):
            self._begin_skipping(framed)
            return
        self._ends_at_close = not framed
        self._has_length = headers.get('content-length') is not None
        if not self._parser.should_keep_alive() or not framed:
            self.reusable = False
        self.idle_limit_s = _idle_limit_s(headers)
        self._put(head)
        if self._is_head:
            # The parser awaits the body that the head describes.
            self._end_reply()

    def on_body(self, data):
        """Pass on a part of the body; pause reading at the limit."""
        self._overhead_bytes = 0
        if self._skipped_tail is not None:
            self._skip(data)
            return
        if not self._is_awaiting:
            self._has_excess = True
            return
        self._buffered_bytes += len(data) + PART_BYTES
        self._put(BodyPart(data))
        if self._buffered_bytes > READ_AHEAD_BYTES:
            self.transport.pause_reading()
            if self.on_paused is not None:
                self.on_paused()

    def on_message_complete(self):
        """Pass on the end of the reply."""
        status = self._parser.get_status_code()
        if 100 <= status < 200:
            return
        if self._skipped_tail is not None:
            self._skipped_tail = None
            self._in_body = False
            self._overhead_bytes = 0
            return
        if self._is_awaiting:
            self._end_reply()

    # Called by the task that sends the request.

    @property
    def buffered_bytes(self):
        """Bytes of the reply that are read ahead."""
        return self._buffered_bytes

    @property
    def is_open(self):
        """Whether another request can be sent."""
        return (
            self._lost is None
            and self.reusable
            and not self._is_awaiting
            and not self._parts
            and not self.transport.is_closing()
        )

    def has_unread_data(self):
        """Whether data, or the end of the connection, was not read yet.

        While the event loop is busy, data may have arrived that it did not
        pass to `data_received` yet.
        """
        sock = self.transport.get_extra_info('socket')
        poll = select.poll()
        poll.register(sock, select.POLLIN)
        return bool(poll.poll(0))

    def send(self, head, body=b'', is_foreign=None, is_head=False):
        """Send a request; `read_part` returns its reply.

        Args:
            head: encoded head of the request.
            body: its body.
            is_foreign: function of a `ReplyHead` that returns whether it
                replies to another request; None if replies do not tell.
            is_head: whether its method is HEAD, so that its reply has no
                body.
        """
        self.requests += 1
        self._is_foreign = is_foreign
        self._is_head = is_head
        self._is_awaiting = True
        self._in_body = False
        self._ends_at_close = False
        self._parser = httptools.HttpResponseParser(self)
        # Otherwise it does not tell what follows a reply that announces the
        # close of its connection.
        self._parser.set_dangerous_leniencies(lenient_keep_alive=True)
        self._overhead_bytes = 0
        self._interim_heads = 0
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
            self._buffered_bytes -= len(part.data) + PART_BYTES
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

    def _end_reply(self):
        self._is_awaiting = False
        # It refers to the request, whose body may be long.
        self._is_foreign = None
        self._put(EndOfReply())

    def _put(self, part):
        self._parts.append(part)
        self._arrived.set()

    def _end_input(self, reason, orderly=False, is_invalid=False):
        if self._lost is not None:
            return
        if orderly and self._is_awaiting and self._ends_at_close:
            # A reply without a length is complete when its connection is
            # closed in order; a reset leaves it incomplete.
            self._put(EndOfReply(at_close=True))
        self._lost = ConnectionLost(reason, orderly, is_invalid)
        self.reusable = False
        self._arrived.set()
        if self.transport is not None and not self.transport.is_closing():
            self.transport.close()

    def _check_awaited(self):
        """Raise if no reply is awaited."""
        if not self._is_awaiting:
            raise InvalidReplyError('another reply')

    def _begin_skipping(self, is_framed):
        """Skip the reply to another request, whose head was read."""
        self.skipped += 1
        self.reusable = False
        # It may have a body though the awaited one has none.
        if not is_framed or self._is_head or self.skipped > MAX_SKIPPED:
            raise InvalidReplyError('a reply to another request')
        self._skipped_tail = b''
        if self.on_invalid is not None:
            self.on_invalid('a reply to another request')

    def _skip(self, data):
        """Drop a part of a body, unless it holds the awaited reply.

        The skipped reply may be cut off in its body. The next reply would
        then be dropped as the rest of it.
        """
        data = self._skipped_tail + data
        if _STATUS_LINE.search(data):
            raise InvalidReplyError('a head within a body that is skipped')
        self._skipped_tail = data[-MAX_STATUS_LINE_BYTES:]

    def _reject_malformed(self, exc):
        """End the connection after data that the parser does not accept."""
        if self._is_awaiting:
            cause = exc.__context__ or exc
            self._reject(f'malformed reply: {cause}')
            return
        if not isinstance(exc.__context__, InvalidReplyError):
            self.is_end_doubtful = self._has_length
        self._reject('data was received after the end of the reply')

    def _reject(self, reason):
        """End the connection, as the peer sent what belongs to no reply."""
        self._end_input(reason, is_invalid=True)
        if self.on_invalid is not None:
            self.on_invalid(reason)

    def _is_framed(self, headers):
        encoding = headers.get('transfer-encoding') or ''
        if 'chunked' in encoding.lower():
            return True
        return headers.get('content-length') is not None


def _states_body(headers):
    """Return whether the fields of a head say that a body follows."""
    return (
        headers.get('content-length', '0') != '0'
        or headers.get('transfer-encoding') is not None
    )


def _begins_reply(data):
    """Return whether `data` may be the begin of a reply."""
    return data[: len(_HTTP_NAME)] == _HTTP_NAME[: len(data)]


def _check_single_head(text):
    """Raise if a part of a head holds the begin of another head.

    Args:
        text: a reason phrase, or the value of a header field.

    Raises:
        InvalidReplyError: it holds a status line.
    """
    if _HTTP_NAME in text and _STATUS_LINE.search(text):
        raise InvalidReplyError('a head within a head')


def _idle_limit_s(headers):
    """Return the timeout in the peer's Keep-Alive header, or None."""
    for word in (headers.get('keep-alive') or '').split(','):
        name, _, value = word.strip().partition('=')
        if name.lower() == 'timeout' and value.strip().isdigit():
            return float(value)
    return None
