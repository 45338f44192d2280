"""Listener, and sessions whose replies are not streamed."""

import asyncio
import socket

import attrs

from catkinshunt import callers
from catkinshunt.http1 import _messages
from catkinshunt.http1 import _request_parser
from catkinshunt.http1 import _server
from catkinshunt import logs

#: Length of the queue of connections that are not accepted yet.
BACKLOG = 1024
#: Connections that are accepted before the bound on them is looked at again.
ACCEPTS_PER_TURN = 64

_log = logs.get_logger('http')


@attrs.frozen
class Reply:
    """A complete reply; `items` are its header fields."""

    status: int
    body: bytes = b''
    items: tuple = ()


class Listener:
    """Accepts connections and runs one task for each.

    Args:
        session: coroutine function of one `ServerConnection`. The
            connection is closed when it returns; it is cancelled when the
            caller disconnects.
        clock: function that returns seconds on the monotonic clock.
        limits: function that returns the `Limits` in force.
        budget: `CallerBudget` of the process; None for no bound.
    """

    def __init__(self, session, clock, limits=_server.Limits, budget=None):
        self.session = session
        self.clock = clock
        self.limits = limits
        self.budget = budget or callers.CallerBudget()
        self.tasks = {}
        self._server = None

    async def start(self, host, port):
        """Listen on an address; returns self."""
        loop = asyncio.get_running_loop()
        sock = socket.create_server((host, port), backlog=BACKLOG)
        # The event loop takes the length of the queue for the number of
        # connections that it accepts at once. Hundreds at once would be open
        # before the budget closes any.
        self._server = await loop.create_server(
            self._make_connection, sock=sock, backlog=ACCEPTS_PER_TURN
        )
        sock.listen(BACKLOG)
        return self

    @property
    def port(self):
        """The bound port."""
        return self._server.sockets[0].getsockname()[1]

    def close(self):
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    def _make_connection(self):
        return _server.ServerConnection(
            self.clock, self.limits, self._connected, self.budget
        )

    def _connected(self, conn):
        task = asyncio.ensure_future(self._run(conn))
        self.tasks[task] = conn
        task.add_done_callback(self.tasks.pop)
        conn.closed.add_done_callback(lambda _: task.cancel())

    async def _run(self, conn):
        try:
            await self.session(conn)
        except asyncio.CancelledError:
            # The caller disconnected; the session was cancelled for that.
            conn.abort()
        except Exception:
            _log.exception('Connection handler failed.')
            conn.abort()
        else:
            conn.close()
            # It counts as open until the rest of the reply is sent.
            await asyncio.wait((conn.closed,))


def make_session(handler):
    """Return a session that answers each request with `handler`.

    Args:
        handler: coroutine function of a `Request` that returns a `Reply`.
    """

    async def session(conn):
        while True:
            req = await conn.read_request()
            if req is None:
                return
            if isinstance(req, _request_parser.BadRequestError):
                items = [_CLOSE_HEADER, *req.retry_items()]
                conn.write(_messages.dump_reply(req.status, items))
                return
            reply = await handler(req)
            keep = [] if req.keep_alive else [_CLOSE_HEADER]
            conn.write(
                _messages.dump_reply(
                    reply.status,
                    [*reply.items, *keep],
                    reply.body,
                    req.method,
                )
            )
            if not req.keep_alive:
                return
            del req, reply
            await conn.drain()
            conn.begin_idle()

    return session


_CLOSE_HEADER = ('Connection', 'close')
