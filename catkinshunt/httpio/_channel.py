"""Subclasses of the task and channel classes of waitress."""

import time

import waitress.channel
import waitress.task

from catkinshunt import callers
from catkinshunt import logs

#: Memory of a request beside its fields and its body, and of a field beside
#: its text.
REQUEST_BYTES = 2048
FIELD_BYTES = 300
_NO_MEMORY = (
    b'HTTP/1.1 503 Service Unavailable\r\nRetry-After: %d\r\n'
    b'Connection: close\r\nContent-Length: 0\r\n\r\n'
)

_log = logs.get_logger('http')


class Task(waitress.task.WSGITask):
    """One request; keeps the connection alive after a chunked reply.

    waitress closes the connection after each chunked reply, although the
    last chunk marks its end. Each streamed reply would then cost a new
    connection at each process.
    """

    def set_close_on_finish(self):
        """Close unless the reply is chunked and the client keeps alive."""
        asked = self.request.headers.get('CONNECTION', '').lower() == 'close'
        if self.chunked_response and not asked:
            return
        super().set_close_on_finish()

    def write(self, data):
        """Send the head together with the first part of the body."""
        if self.wrote_header or not data:
            super().write(data)
            return
        channel = self.channel
        self.channel = buffer = _BufferingChannel(channel)
        try:
            super().write(data)
        finally:
            self.channel = channel
        channel.write_soon(b''.join(buffer.parts))


class Channel(waitress.channel.HTTPChannel, callers.BaseHolder):
    """One connection, whose requests are `Task` objects.

    The thread of the event loop reports what it holds to `server.budget`, and
    frees it; threads that answer requests do neither.
    """

    task_class = Task

    def __init__(self, server, sock, addr, adj, map=None):
        super().__init__(server, sock, addr, adj, map)
        self.idle_since = server.clock()
        self._reported_bytes = 0
        if not server.budget.open(self):
            self.handle_close()

    def received(self, data):
        """Take data; refuse a long request for which there is no room."""
        found = super().received(data)
        self.idle_since = self.server.clock()
        self._report()
        req = self.request
        if req is not None and self.connected:
            size = max(req.content_length, req.body_bytes_received)
            if not self.server.budget.has_room(self, size):
                self.reclaim()
        return found

    def readable(self):
        """Return whether to read; called before each wait of the loop."""
        self._report()
        return super().readable()

    def handle_close(self):
        """Close the connection, and count no more what it holds."""
        self.server.budget.close(self)
        super().handle_close()
        # Connection and parser refer to each other.
        self.request = None

    def _report(self):
        holding = self.measure()
        now = self.server.clock()
        self.note_reclaimable(holding.reclaimable_bytes, now)
        size = holding.reclaimable_bytes + holding.active_bytes
        if abs(size - self._reported_bytes) >= callers.UNREPORTED_BYTES:
            self._reported_bytes = size
            self.server.budget.update(self, now)

    # callers.BaseHolder

    @property
    def peer(self):
        """See `callers.BaseHolder`."""
        return self.addr[0]

    def measure(self):
        """See `callers.BaseHolder`."""
        unread = 0 if self.request is None else _size_of(self.request)
        active = sum(map(_size_of, list(self.requests)))
        return callers.Holding(unread + self.total_outbufs_len, active)

    @property
    def is_unused(self):
        """See `callers.BaseHolder`."""
        return not self.requests and self.request is None

    @property
    def may_close(self):
        """See `callers.BaseHolder`."""
        return not self.requests

    def reclaim(self):
        """See `callers.BaseHolder`; the connection ends."""
        if not self.requests and self.connected:
            try:
                self.send(_NO_MEMORY % self.server.budget.retry_after_s)
            except OSError as exc:
                _log.info('A caller was not told of its refusal: {}.', exc)
        self.abort()

    def abort(self):
        """See `callers.BaseHolder`."""
        if self.connected:
            self.handle_close()

    def write_soon(self, data):
        """Send what the socket accepts at once; buffer only the rest.

        While bytes are buffered, the event loop thread polls the socket in a
        busy loop until this thread has written to it.
        """
        if not isinstance(data, bytes):
            return super().write_soon(data)
        size, sent = len(data), 0
        with self.outbuf_lock:
            if self.connected and not self.total_outbufs_len:
                sent = self.send(data, do_close=False) or 0
                self.last_activity = time.time()
        if sent < size:
            super().write_soon(data[sent:])
        return size


def _size_of(req):
    """Return the memory that a request of waitress takes."""
    size = REQUEST_BYTES + FIELD_BYTES * len(req.headers)
    size += len(req.header_plus) + req.header_bytes_received
    return size + req.body_bytes_received


class _BufferingChannel:
    """Buffers what a task writes."""

    def __init__(self, channel):
        self.server = channel.server
        self.parts = []

    def write_soon(self, data):
        self.parts.append(data)
