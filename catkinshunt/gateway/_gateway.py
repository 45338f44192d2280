"""Serves client connections, and stops gracefully."""

import asyncio

from catkinshunt.gateway import _exchange
from catkinshunt import http1
from catkinshunt import logs

#: Seconds after the stop signal for which idle connections stay open. By then
#: the load balancer sends no new connections. Requests are still accepted
#: until `STOP_ACCEPT_S` after the signal (`_exchange`).
IDLE_CLOSE_DELAY_S = 2.6
#: Interval in seconds of the checks for open connections while stopping.
STOP_POLL_S = 0.1

_log = logs.get_logger('gateway')


class Gateway:
    """Serves clients on one address.

    Args:
        context: `Context`.
        budget: `callers.CallerBudget` of the process; None for no bound.
    """

    def __init__(self, context, budget=None):
        self.context = context
        self._busy = set()
        self._listener = http1.Listener(
            self._serve_connection, context.clock, self._limits, budget
        )

    @property
    def in_progress(self):
        """Number of requests in progress."""
        return len(self._busy)

    @property
    def port(self):
        """Port of the listening socket."""
        return self._listener.port

    async def start(self, host, port):
        """Listen on an address and return self."""
        await self._listener.start(host, port)
        return self

    def is_ready(self):
        """Return whether the load balancer should send new connections."""
        return (
            self.context.stopping_since is None
            and self.context.catalog.declaration is not None
            and self.context.catalog.can_trust_keys(self.context.boot_clock())
        )

    async def stop(self, grace_s):
        """Stop gracefully.

        Args:
            grace_s: seconds for which requests in progress may complete.
        """
        since = self.context.clock()
        self.context.stopping_since = since
        _log.info('Stopping with {} requests in progress.', self.in_progress)
        while self.context.clock() - since < grace_s:
            await asyncio.sleep(STOP_POLL_S)
            if self.context.clock() - since > IDLE_CLOSE_DELAY_S:
                self._close_idle()
                if not self._listener.tasks:
                    break
        self._listener.close()
        _log.info(
            'Stopped listening with {} requests still in progress.',
            self.in_progress,
        )

    def _close_idle(self):
        for conn in list(self._listener.tasks.values()):
            if conn not in self._busy and conn.is_idle:
                conn.close()

    def _limits(self):
        declaration = self.context.catalog.declaration
        return declaration.limits if declaration else http1.Limits()

    async def _serve_connection(self, conn):
        while True:
            req = await conn.read_request()
            if req is None:
                return
            if isinstance(req, http1.BadRequestError):
                await self._reject(conn, req)
                return
            self._busy.add(conn)
            try:
                keeps_alive = await _exchange.Exchange(
                    self.context, conn, req
                ).run()
            finally:
                self._busy.discard(conn)
            # Its body may be long, and the connection idle for long.
            del req
            if not keeps_alive:
                return
            if not await self._drain(conn):
                return
            conn.begin_idle()

    async def _drain(self, conn):
        """Wait for a client that reads slowly; return whether it reads.

        Replies to requests that it sent early would fill the memory.
        """
        while not conn.is_drained:
            unsent_bytes = conn.unsent_bytes
            try:
                async with asyncio.timeout(self._limits().idle_s):
                    await conn.drain()
            except TimeoutError:
                if conn.unsent_bytes < unsent_bytes:
                    continue
                _log.info('Closed a connection whose client reads no reply.')
                conn.abort()
                return False
        return True

    async def _reject(self, conn, exc):
        _log.info('Rejected a request: {}.', exc, status=exc.status)
        items = [('Connection', 'close'), ('Content-Type', 'text/plain')]
        items += exc.retry_items()
        body = f'{exc}\n'.encode()
        conn.write(http1.dump_reply(exc.status, items, body))
        # Closing with unread bytes resets the connection; the client must
        # read the reply before.
        await asyncio.sleep(http1.LINGER_S)
