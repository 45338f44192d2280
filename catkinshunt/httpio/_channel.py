"""Changes to waitress's handling of one connection."""

import time

import waitress.channel
import waitress.task


class Task(waitress.task.WSGITask):
    """One request; keeps the connection after a stream.

    waitress closes the connection after each chunked reply, though the last
    chunk tells where the reply ends. Each streamed answer then cost a new
    connection at each of our processes.
    """

    def set_close_on_finish(self):
        """Close only if the client asks, or if nothing marks the end."""
        asked = self.request.headers.get('CONNECTION', '').lower() == 'close'
        if self.chunked_response and not asked:
            return
        super().set_close_on_finish()

    def write(self, data):
        """Send the head and the first piece together."""
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
        """Send at once what the socket takes; buffer only the rest.

        Buffered bytes make the loop's thread poll for a socket that this
        thread is about to write to, again and again until it has done so.
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
    """Collects what a task writes."""

    def __init__(self, channel):
        self.server = channel.server
        self.parts = []

    def write_soon(self, data):
        self.parts.append(data)
