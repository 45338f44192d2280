"""Connection pool for one peer."""

import asyncio
import math
import socket

from catkinshunt import errors
from catkinshunt.http1 import _client
from catkinshunt.http1 import _messages
from catkinshunt import logs

#: Fraction of the peer's idle timeout during which a connection is reused.
#: The rest allows for the time that a request takes to reach the peer.
IDLE_FRACTION = 0.5
#: Idle timeout assumed for a peer that announces none.
DEFAULT_IDLE_S = 2.0
#: Seconds in which each request gets a connection of its own, after the peer
#: sent what belongs to no request.
SINGLE_USE_S = 30.0
#: Longest body that `exchange` reads, and longest time that it takes for one
#: that keeps arriving.
MAX_REPLY_BYTES = 64 * 1024 * 1024
MAX_REPLY_S = 120.0
#: TCP_USER_TIMEOUT: a connection whose data stays unacknowledged for this
#: long is closed. Otherwise a peer without power would block it for minutes.
UNACKNOWLEDGED_TIMEOUT_MS = 3000

_log = logs.get_logger('http')


class Pool:
    """Opens connections to one address and reuses idle ones.

    Args:
        host: IP address of the peer.
        port: its port.
        clock: function that returns seconds on the monotonic clock.
        connect_s: connect timeout in seconds.
        max_idle: maximum number of idle connections.
    """

    def __init__(self, host, port, clock, connect_s=0.6, max_idle=32):
        self.host = host
        self.port = port
        self.clock = clock
        self.connect_s = connect_s
        self.max_idle = max_idle
        self.opened = 0
        self.single_use_until = -math.inf
        #: Connections opened before this time are not reused.
        self._reused_from = -math.inf
        self._idle = []

    @property
    def peer(self):
        """The address as ``host:port``."""
        return f'{self.host}:{self.port}'

    async def acquire(self, fresh=False):
        """Return a connection.

        Args:
            fresh: open a new one even if an idle one is available.

        Raises:
            errors.RefusedError: the connection could not be opened.
        """
        while self._idle and not fresh:
            conn = self._idle.pop()
            if self._is_usable(conn):
                return conn
            conn.close()
        return await self._open()

    def release(self, conn):
        """Return `conn` to the pool, or close it if it cannot be reused."""
        conn.idle_since = self.clock()
        room = len(self._idle) < self.max_idle
        is_trusted = (
            conn.idle_since >= self.single_use_until
            and conn.opened_at >= self._reused_from
        )
        if room and is_trusted and conn.is_open and conn.is_fully_sent:
            self._idle.append(conn)
        else:
            conn.close()

    def limit_to_single_use(self, reason):
        """Use a new connection for each request for `SINGLE_USE_S`.

        The peer answers requests twice, or not as the protocol asks. Bytes
        that it sends late could be taken for a part of the next reply.

        Args:
            reason: text for the log.
        """
        now = self.clock()
        if now >= self.single_use_until:
            _log.warning(
                '{}: {}; each request gets a connection of its own for {:g}'
                ' s.',
                self.peer,
                reason,
                SINGLE_USE_S,
            )
        self.single_use_until = now + SINGLE_USE_S
        self.close_idle()

    def close_idle(self):
        """Close all idle connections, and those in use once released."""
        self._reused_from = self.clock()
        for conn in self._idle:
            conn.close()
        self._idle.clear()

    def _is_usable(self, conn):
        limit_s = conn.idle_limit_s
        if limit_s is None:
            limit_s = DEFAULT_IDLE_S
        idle_s = self.clock() - conn.idle_since
        return (
            conn.is_open
            and idle_s < limit_s * IDLE_FRACTION
            and not conn.has_unread_data()
        )

    async def _open(self):
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self.connect_s):
                _, conn = await loop.create_connection(
                    lambda: _client.ClientConnection(
                        self.clock, self.limit_to_single_use
                    ),
                    self.host,
                    self.port,
                )
        except OSError as exc:
            # Includes TimeoutError. Nothing was sent in any of these cases.
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


async def exchange(
    pool, method, target, items=(), body=b'', timeout_s=1.0, fresh=False
):
    """Send one request and return its (`ReplyHead`, body).

    Replies do not name their request. On a kept connection, a late second
    reply to an earlier request may be returned. Callers check that the reply
    fits the request, or set `fresh`: the request is then the only one on its
    connection.

    `timeout_s` bounds the wait for each part of the reply, not the whole
    exchange, since a large reply may take longer; that has the bounds
    `MAX_REPLY_BYTES` and `MAX_REPLY_S`. A configuration of 1,480
    routes takes over two seconds when five instances read it over one link;
    with a limit on the whole exchange it was restarted again and again, and
    never completed.

    Raises:
        errors.RefusedError: the connection could not be opened.
        errors.OutcomeUnknownError: the reply was lost or timed out.
    """
    conn = await pool.acquire(fresh=fresh)
    head = _request_head(pool, method, target, items, body)
    try:
        conn.send(head, body)
        reply = await _read_reply(conn, pool, timeout_s)
    except TimeoutError as exc:
        conn.close()
        raise errors.OutcomeUnknownError(
            f'no data for {timeout_s:g} s', step=method, peer=pool.peer
        ) from exc
    except BaseException:
        conn.close()
        raise
    if fresh:
        conn.close()
    else:
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
    size = 0
    until = pool.clock() + MAX_REPLY_S
    while True:
        async with asyncio.timeout(timeout_s):
            part = await conn.read_part()
        if size > MAX_REPLY_BYTES or pool.clock() > until:
            raise errors.OutcomeUnknownError(
                f'the reply does not end after {size} bytes',
                step='read-reply',
                peer=pool.peer,
            )
        if isinstance(part, _client.ConnectionLost):
            raise errors.OutcomeUnknownError(
                part.reason, step='read-reply', peer=pool.peer
            )
        if isinstance(part, _client.EndOfReply):
            return head, b''.join(parts)
        if isinstance(part, _client.BodyPart):
            parts.append(part.data)
            size += len(part.data)
        else:
            head = part
