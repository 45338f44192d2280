"""Subclasses of the task and channel classes of waitress."""

import time

import waitress.channel
import waitress.task


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


class Channel(waitress.channel.HTTPChannel):
    """One connection, whose requests are `Task` objects."""

    task_class = Task

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


class _BufferingChannel:
    """Buffers what a task writes."""

    def __init__(self, channel):
        self.server = channel.server
        self.parts = []

    def write_soon(self, data):
        self.parts.append(data)
