"""Replies that are read strictly.

`http.client` accepts a head without its end, fields that are no fields, and
framing that is stated twice. It takes the end of a connection for the end of
a head, of a chunk size and of a trailer.
"""

import contextlib
import http.client
import io
import re
import time

import attrs

from catkinshunt.httpio import _body
from catkinshunt import logs

#: Longest head of a reply, and longest trailer.
MAX_HEAD_BYTES = 64 * 1024
#: Most interim (1xx) heads before a reply.
MAX_INTERIM_HEADS = 8
#: Longest body that is read whole, and longest time that reading it takes.
MAX_REPLY_BYTES = 64 * 1024 * 1024
MAX_REPLY_S = 120.0

_STATUS_LINE = re.compile(
    rb'HTTP/1\.([01]) ([1-5][0-9]{2})(?: ([^\r\n\0]*))?\r?\n'
)
_FIELD = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([^\r\n\0]*)\r?\n")
_JOINED_HEAD = re.compile(rb'HTTP/[0-9]\.[0-9] [0-9]{3}')
_LENGTH = re.compile(rb'[0-9]{1,18}')
_CHUNK_SIZE = re.compile(rb'([0-9A-Fa-f]{1,15})[ \t]*(?:;[^\r\n]*)?\r?\n')
_BODILESS = (http.client.NO_CONTENT, http.client.NOT_MODIFIED)
_BLANK_LINES = (b'\r\n', b'\n')
_CRLF = b'\r\n'
_log = logs.get_logger('http')


class InvalidReplyError(http.client.HTTPException):
    """What the peer sent is not the reply to the request."""


@attrs.frozen
class _Head:
    """A head that is well-formed.

    Attributes:
        version: of the protocol; 10 for HTTP/1.0, 11 for HTTP/1.1.
        status: the status code.
        reason: the reason phrase.
        headers: the fields.
        length: length of the body, or None.
        is_chunked: whether the body consists of chunks.
    """

    version: int
    status: int
    reason: str
    headers: http.client.HTTPMessage
    length: int | None
    is_chunked: bool


class StrictResponse(http.client.HTTPResponse):
    """A reply that is read whole, or fails.

    Args:
        sock: the socket that it is read from.
        args: see `http.client.HTTPResponse`.
        kwargs: see `http.client.HTTPResponse`.
    """

    def __init__(self, sock, *args, **kwargs):
        super().__init__(sock, *args, **kwargs)
        self._raw = _TimedRaw(self.fp.detach(), sock)
        self._reader = self.fp = _Reader(self._raw, sock)

    @property
    def is_delimited(self):
        """Whether the body has a length or chunks.

        Any other body ends with its connection, and one that was cut off can
        look the same.
        """
        return self.chunked or self.length is not None

    @property
    def has_excess(self):
        """Whether data followed the reply, up to the time it was closed."""
        return self._reader.has_excess

    def begin(self):
        """Read the head.

        Raises:
            InvalidReplyError: it is malformed, or the heads of two replies
                are joined in it.
            http.client.IncompleteRead: the connection ended in it.
            http.client.RemoteDisconnected: it ended before the first byte.
            TimeoutError: it was not read within the time-out of the socket.
        """
        if self.headers is not None:
            return
        with self._raw.limit():
            head = self._read_final_head()
        is_bodiless = head.status in _BODILESS or self._method == 'HEAD'
        self.code = self.status = head.status
        self.reason = head.reason
        self.version = head.version
        self.headers = self.msg = head.headers
        self.chunked = head.is_chunked and not is_bodiless
        self.chunk_left = None
        self.length = 0 if is_bodiless else head.length
        self.will_close = self._check_close() or not self.is_delimited

    def read_whole(self):
        """Return the body of a reply of which no more is relayed.

        Raises:
            InvalidReplyError: it does not end within `MAX_REPLY_BYTES` and
                `MAX_REPLY_S`.
            http.client.IncompleteRead: the connection ended in it.
        """
        parts = []
        size = 0
        until = time.monotonic() + MAX_REPLY_S
        while part := self.read1(_body.PIECE_BYTES):
            parts.append(part)
            size += len(part)
            if size > MAX_REPLY_BYTES or time.monotonic() > until:
                raise InvalidReplyError(
                    f'the reply does not end after {size} bytes'
                )
        if self.length:
            raise http.client.IncompleteRead(b''.join(parts), self.length)
        if not self.isclosed():
            # `read1` does not notice the end of a body with a length.
            self._close_conn()
        return b''.join(parts)

    def _read_final_head(self):
        """Return the first `_Head` that is not interim."""
        if not self.fp.peek(1):
            raise http.client.RemoteDisconnected(
                'connection closed without a reply'
            )
        for _ in range(MAX_INTERIM_HEADS + 1):
            head = _parse_head(_read_lines(self.fp))
            if head.status == http.client.SWITCHING_PROTOCOLS:
                raise InvalidReplyError('the peer switched protocols')
            if head.status >= http.client.OK:
                return head
        raise InvalidReplyError('too many interim heads')

    def _get_chunk_left(self):
        """Return what is left of the present or the next chunk, or None.

        Replaces the method of `http.client`, which checks neither what it
        takes for the end of a chunk nor the digits of a size, and whose
        trailer has no bound.
        """
        left = self.chunk_left
        if left:
            return left
        if left == 0 and self.fp.read(len(_CRLF)) != _CRLF:
            raise InvalidReplyError('a chunk does not end at its size')
        match = _CHUNK_SIZE.fullmatch(self.fp.readline(MAX_HEAD_BYTES))
        if match is None:
            raise InvalidReplyError('invalid chunk size')
        left = int(match[1], 16)
        if left == 0:
            for line in _read_lines(self.fp)[:-1]:
                _check_field(line)
            self._close_conn()
            left = None
        self.chunk_left = left
        return left


class _TimedRaw(io.RawIOBase):
    """Reads from a socket, and limits the time that a head takes.

    The time-out of a socket starts anew with each byte.

    Args:
        raw: raw stream of the socket.
        sock: the socket.
    """

    def __init__(self, raw, sock):
        self._raw = raw
        self._sock = sock
        self._until = None

    @contextlib.contextmanager
    def limit(self):
        """Let the time-out of the socket start now, for all that is read."""
        timeout_s = self._sock.gettimeout()
        if timeout_s is None:
            yield
            return
        self._until = time.monotonic() + timeout_s
        try:
            yield
        finally:
            self._until = None
            self._sock.settimeout(timeout_s)

    def readable(self):
        """See `io.RawIOBase`."""
        return True

    def readinto(self, buffer):
        """See `io.RawIOBase`.

        Raises:
            TimeoutError: the time has passed.
        """
        if self._until is not None:
            left_s = self._until - time.monotonic()
            if left_s <= 0:
                raise TimeoutError('the head of the reply does not end')
            self._sock.settimeout(left_s)
        return self._raw.readinto(buffer)

    def close(self):
        """See `io.RawIOBase`."""
        self._raw.close()
        super().close()


class _Reader(io.BufferedReader):
    """Notes when it is closed whether data are left over.

    Args:
        raw: see `io.BufferedReader`.
        sock: the socket that `raw` reads from.
    """

    def __init__(self, raw, sock):
        super().__init__(raw)
        self.sock = sock
        self.has_excess = False

    def close(self):
        """Close it; data that were received are lost with its buffer."""
        if not self.closed:
            self.has_excess = self._has_data()
        super().close()

    def _has_data(self):
        try:
            timeout_s = self.sock.gettimeout()
            self.sock.settimeout(0)
            try:
                return bool(self.peek(1))
            finally:
                self.sock.settimeout(timeout_s)
        except (OSError, ValueError) as exc:
            _log.debug('A connection ended before its reply: {!r}.', exc)
            return True


def _read_lines(reader):
    """Return the lines of a head or trailer, with its blank line.

    Raises:
        InvalidReplyError: it is longer than `MAX_HEAD_BYTES`.
        http.client.IncompleteRead: the connection ended in it.
    """
    lines = []
    left = MAX_HEAD_BYTES
    while left > 0:
        line = reader.readline(left)
        lines.append(line)
        if line in _BLANK_LINES:
            return lines
        left -= len(line)
        if left > 0 and not line.endswith(b'\n'):
            raise http.client.IncompleteRead(line)
    raise InvalidReplyError(f'a head is longer than {MAX_HEAD_BYTES} bytes')


def _parse_head(lines):
    """Return the `_Head` in the lines of a head.

    Raises:
        InvalidReplyError: it is malformed.
    """
    first, *fields, _ = lines
    match = _STATUS_LINE.fullmatch(first)
    if match is None:
        raise InvalidReplyError(f'invalid status line: {first[:40]!r}')
    minor, status, reason = match.groups(b'')
    _check_single_head(reason)
    framing = {b'content-length': [], b'transfer-encoding': []}
    headers = http.client.HTTPMessage()
    for line in fields:
        name, value = _check_field(line)
        value = value.strip(b' \t')
        headers[name.decode('latin-1')] = value.decode('latin-1')
        lowered = name.lower()
        if lowered in framing:
            framing[lowered].append(value)
    lengths, encodings = framing.values()
    _check_framing(lengths, encodings, is_chunkable=minor == b'1')
    return _Head(
        version=10 + int(minor),
        status=int(status),
        reason=reason.decode('latin-1').strip(),
        headers=headers,
        length=int(lengths[0]) if lengths else None,
        is_chunked=bool(encodings),
    )


def _check_field(line):
    match = _FIELD.fullmatch(line)
    if match is None:
        raise InvalidReplyError(f'invalid field: {line[:40]!r}')
    _check_single_head(match[2])
    return match.groups()


def _check_single_head(text):
    """Raise if a reason phrase or a value holds another status line.

    A late reply may be cut off in its head, with the next one behind it.
    """
    if _JOINED_HEAD.search(text):
        raise InvalidReplyError('a head within a head')


def _check_framing(lengths, encodings, is_chunkable):
    """Raise unless the end of the body is stated once, or not at all."""
    if len(lengths) + len(encodings) > 1:
        raise InvalidReplyError('the length is stated more than once')
    if lengths and not _LENGTH.fullmatch(lengths[0]):
        raise InvalidReplyError(f'invalid length: {lengths[0][:40]!r}')
    if not encodings:
        return
    if encodings[0].lower() != b'chunked' or not is_chunkable:
        raise InvalidReplyError(f'unknown encoding: {encodings[0][:40]!r}')
