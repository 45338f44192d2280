"""Connections of a gateway without sockets."""

import asyncio

from catkinshunt import http1

#: Most bytes that are read at once.
READ_BYTES = 64 * 1024


class Wire(asyncio.Transport):
    """Transport between a `http1.ClientConnection` and a played upstream.

    Attributes:
        unread: bytes that arrived and were not passed on yet.
        due: number of bytes of the reply that did not arrive yet.
    """

    def __init__(self, player, conn):
        super().__init__()
        self.player = player
        self.conn = conn
        self.history = []
        self.unread = b''
        self.due = 0
        self.ended = False
        self._closing = False
        self._paused = False
        self._held = []

    def write(self, data):
        late, self.unread = self.unread, b''
        if late:
            self.player.later(0.0, self.deliver, late)
        self.player.answer(self, data.decode('latin-1'))

    def deliver(self, data, due=0):
        if self._closing:
            return
        if self._paused:
            self._held.append((data, due))
            return
        data, rest = data[:READ_BYTES], data[READ_BYTES:]
        if rest:
            self.player.later(0.0, self.deliver, rest, due)
        else:
            self.due -= due
        self.conn.data_received(data)
        self.player.measure(self.conn)

    def end(self, exc):
        if self._closing:
            return
        self.ended = True
        if exc is None:
            self.conn.eof_received()
        else:
            self._closing = True
            self.conn.connection_lost(exc)

    def is_closing(self):
        return self._closing

    def close(self):
        if not self._closing:
            self._closing = True
            self.player.later(0.0, self.conn.connection_lost, None)

    abort = close

    def get_write_buffer_size(self):
        return 0

    def pause_reading(self):
        self._paused = True

    def resume_reading(self):
        if self._paused:
            self._paused = False
            held, self._held = self._held, []
            for each in held:
                self.player.later(0.0, self.deliver, *each)

    def get_extra_info(self, name, default=None):
        return self

    # Stands for its own socket.

    def fileno(self):
        pair = self.player.readable if self.unread else self.player.quiet
        return pair[0].fileno()

    def setsockopt(self, *args):
        pass


class WirePool(http1.Pool):
    """Pool whose connections lead to a `Player`."""

    player = None

    async def _open(self):
        self.opened += 1
        args = [self.clock]
        if hasattr(self, 'limit_to_single_use'):
            args.append(self.limit_to_single_use)
        conn = http1.ClientConnection(*args)
        conn.connection_made(Wire(self.player, conn))
        return conn


class Caller:
    """Records what a caller gets."""

    def __init__(self):
        self.data = b''
        self.aborted = False

    def write(self, data):
        self.data += data

    async def drain(self):
        pass

    def abort(self):
        self.aborted = True

    def add_relay(self, relay):
        pass

    def remove_relay(self, relay):
        pass

    def update_budget(self):
        pass

    def may_buffer(self):
        return True
