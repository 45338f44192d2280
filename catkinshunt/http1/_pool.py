"""Connections to one peer that are used again."""

import asyncio
import socket

from catkinshunt import errors
from catkinshunt.http1 import _client
from catkinshunt.http1 import _messages

#: Share of the peer's idle limit for which a connection is used again; it
#: leaves room for the time that a request takes to get there.
IDLE_FRACTION = 0.5
#: Idle limit assumed of a peer that names none, in seconds.
DEFAULT_IDLE_S = 2.0
#: Milliseconds after which unacknowledged bytes end a connection. Without
#: it a peer that lost its power would hold a connection for minutes.
UNACKNOWLEDGED_TIMEOUT_MS = 3000


class Pool:
    """Opens connections to one address and keeps those that lie idle.

    Args:
        host: IP address of the peer.
        port: its port.
        clock: gives seconds on the steady clock.
        connect_s: seconds within which a connection must be made.
        max_idle: connections kept at most.
    """

    def __init__(self, host, port, clock, connect_s=0.6, max_idle=32):
        self.host = host
        self.port = port
        self.clock = clock
        self.connect_s = connect_s
        self.max_idle = max_idle
        self.opened = 0
        self._idle = []

    @property
    def peer(self):
        """The address as text."""
        return f'{self.host}:{self.port}'

    async def acquire(self, fresh=False):
        """Return a connection.

        Args:
            fresh: open a new one even where one lies idle.

        Raises:
            errors.RefusedError: no connection could be made.
        """
        while self._idle and not fresh:
            conn = self._idle.pop()
            if self._is_usable(conn):
                return conn
            conn.close()
        return await self._open()

    def release(self, conn):
        """Keep `conn` for another request, or close it."""
        conn.idle_since = self.clock()
        room = len(self._idle) < self.max_idle
        if room and conn.is_open and conn.is_fully_sent:
            self._idle.append(conn)
        else:
            conn.close()

    def close_idle(self):
        """Close the connections that lie idle."""
        for conn in self._idle:
            conn.close()
        self._idle.clear()

    def _is_usable(self, conn):
        limit_s = conn.idle_limit_s
        if limit_s is None:
            limit_s = DEFAULT_IDLE_S
        idle_s = self.clock() - conn.idle_since
        return conn.is_open and idle_s < limit_s * IDLE_FRACTION

    async def _open(self):
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self.connect_s):
                _, conn = await loop.create_connection(
                    lambda: _client.ClientConnection(self.clock),
                    self.host,
                    self.port,
                )
        except OSError as exc:
            # TimeoutError is one of them: nothing was sent in any case.
            raise errors.RefusedError(
                f'no connection: {type(exc).__name__}',
                step='connect',
                peer=self.peer,
            ) from exc
        self.opened += 1
        sock = conn.transport.get_extra_info('socket')
        sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            UNACKNOWLEDGED_TIMEOUT_MS,
        )
        return conn


async def exchange(pool, method, target, items=(), body=b'', timeout_s=1.0):
    """Send one request and return its (`ReplyHead`, body).

    The reply must begin within `timeout_s`, and then go on: a large one may
    take longer than that in all. A configuration of 1,480 routes takes over
    two seconds where five instances read it over one link; with one bound
    for the whole it was begun again and again, and never read.

    Raises:
        errors.RefusedError: no connection was made.
        errors.OutcomeUnknownError: the reply was lost or came too late.
    """
    conn = await pool.acquire()
    head = _request_head(pool, method, target, items, body)
    try:
        conn.send(head, body)
        reply = await _read_reply(conn, pool, timeout_s)
    except TimeoutError as exc:
        conn.close()
        raise errors.OutcomeUnknownError(
            f'nothing came for {timeout_s:g} s', step=method, peer=pool.peer
        ) from exc
    except BaseException:
        conn.close()
        raise
    pool.release(conn)
    return reply


def _request_head(pool, method, target, items, body):
    items = [('Host', pool.peer), *items]
    if body or method in ('POST', 'PUT'):
        items.append(('Content-Length', str(len(body))))
    return _messages.dump_head(f'{method} {target} HTTP/1.1', items)


async def _read_reply(conn, pool, timeout_s):
    head = None
    parts = []
    while True:
        async with asyncio.timeout(timeout_s):
            part = await conn.read_part()
        if isinstance(part, _client.ConnectionLost):
            raise errors.OutcomeUnknownError(
                part.reason, step='read-reply', peer=pool.peer
            )
        if isinstance(part, _client.EndOfReply):
            return head, b''.join(parts)
        if isinstance(part, _client.BodyPart):
            parts.append(part.data)
        else:
            head = part
