"""Bounds on the memory and sockets that the callers of a process take."""

import math

from catkinshunt.callers import base

#: Share of the memory and of the sockets of a process that callers may take.
#: The rest is for the process itself, for its connections to upstreams, of
#: which each request may need one, and for what the allocator wastes.
CALLER_SHARE = 0.5
#: Memory of a process that has no callers yet.
PROCESS_BYTES = 40_000_000
#: Smallest share of the memory for callers, whatever the process takes.
LEAST_CALLER_SHARE = 0.1
#: Descriptors that are not for sockets.
FILE_DESCRIPTORS = 200
#: Sockets for the store, for other processes and for listeners.
OWN_SOCKETS = 40
RESERVED_DESCRIPTORS = FILE_DESCRIPTORS + OWN_SOCKETS
#: Bytes that a connection may hold without a report.
UNREPORTED_BYTES = 8 * 1024
#: Memory of an open connection, in the process and in the kernel.
CONNECTION_BYTES = 12 * 1024 + UNREPORTED_BYTES
#: Requests up to this size are admitted as long as any memory is left.
SMALL_BYTES = 64 * 1024
#: Share of the memory for callers that large requests in progress may take.
LARGE_SHARE = 0.7
#: Share that remains in use after connections were reclaimed, so that not each
#: read under a crowd compares all connections.
RECLAIMED_SHARE = 0.9
#: Share of the connections that are closed at the bound, so that not each new
#: one compares all others.
CLOSED_SHARE = 0.1
#: Pause in seconds after connections had too little to give back, since each
#: look at all of them takes milliseconds.
RECLAIM_PAUSE_S = 0.05
#: Share beyond which replies of upstreams are relayed as they arrive, in place
#: of being buffered until they are whole.
SHORT_SHARE = 0.75
#: Age in seconds at which memory that was just taken counts.
LEAST_AGE_S = 0.001
#: `Retry-After` in seconds of a request that found no memory.
RETRY_AFTER_S = 1.0


def make_caller_budget(memory_bytes, descriptors, on_refused=None):
    """Return the `CallerBudget` of a process.

    Args:
        memory_bytes: memory of its machine.
        descriptors: most descriptors that it may open.
        on_refused: see `CallerBudget`.
    """
    least_bytes = LEAST_CALLER_SHARE * memory_bytes
    caller_bytes = CALLER_SHARE * (memory_bytes - PROCESS_BYTES)
    sockets = max(0, descriptors - RESERVED_DESCRIPTORS)
    return CallerBudget(
        max(least_bytes, caller_bytes),
        max(1, int(CALLER_SHARE * sockets)),
        on_refused,
    )


class CallerBudget:
    """Memory and sockets that all callers of a process share.

    Each listener of a process has the same budget. A connection reports what
    it holds. Beyond the bound, connections have to give back what no request
    in progress needs. Those that hold the most bytes for the longest time are
    first: a request that arrives at the usual speed is small or young beside
    one that stops short of its end.

    Args:
        memory_bytes: most bytes that connections hold together.
        connections: most open connections.
        on_refused: called for each refusal with a reason, ``'memory'``,
            ``'large'`` or ``'connections'``, and the address of the caller.
    """

    def __init__(
        self,
        memory_bytes=math.inf,
        connections=math.inf,
        on_refused=None,
    ):
        self.memory_bytes = memory_bytes
        self.connections = connections
        self.on_refused = on_refused
        self.retry_after_s = RETRY_AFTER_S
        self.used_bytes = 0
        self.active_bytes = 0
        self._holdings = {}
        self._reclaim_at = -math.inf

    @property
    def open_connections(self):
        """Number of open connections."""
        return len(self._holdings)

    @property
    def is_short(self):
        """Whether little memory is left."""
        return self.used_bytes > SHORT_SHARE * self.memory_bytes

    def open(self, conn):
        """Add a connection; return whether there is room for it.

        At the bound, idle connections are closed, or else those whose request
        is incomplete.

        Args:
            conn: `base.BaseHolder`.
        """
        if len(self._holdings) >= self.connections:
            self._close_some()
        if len(self._holdings) >= self.connections:
            self._count('connections', conn)
            return False
        self._holdings[conn] = base.Holding()
        self.used_bytes += CONNECTION_BYTES
        return True

    def close(self, conn):
        """Remove a connection and all that it holds."""
        holding = self._holdings.pop(conn, None)
        if holding is not None:
            self._add(holding, -1)
            self.used_bytes -= CONNECTION_BYTES

    def update(self, conn, now):
        """Note what a connection holds now; reclaim memory beyond the bound.

        The connection itself may be one that has to give back.

        Args:
            conn: `base.BaseHolder`.
            now: seconds on the monotonic clock.
        """
        self._note(conn)
        if self.used_bytes > self.memory_bytes and now >= self._reclaim_at:
            self._reclaim(now)

    def has_room(self, conn, size):
        """Return whether a request of `size` bytes may be in progress.

        Small requests have the memory that large ones leave.
        """
        share = 1.0 if size <= SMALL_BYTES else LARGE_SHARE
        if self.active_bytes + size <= share * self.memory_bytes:
            return True
        self._count('large', conn)
        return False

    def _note(self, conn):
        holding = self._holdings.get(conn)
        if holding is not None:
            self._add(holding, -1)
            self._holdings[conn] = holding = conn.measure()
            self._add(holding, 1)

    def _add(self, holding, sign):
        self.active_bytes += sign * holding.active_bytes
        self.used_bytes += sign * (
            holding.active_bytes + holding.reclaimable_bytes
        )

    def _reclaim(self, now):
        """Let connections give back, those with the most byte-seconds first.

        What was sent meanwhile counts no longer.
        """
        for conn in list(self._holdings):
            self._note(conn)
        if self.used_bytes <= self.memory_bytes:
            return
        candidates = [
            (holding.reclaimable_bytes * max(now - conn.since, LEAST_AGE_S), n)
            for n, (conn, holding) in enumerate(self._holdings.items())
            if holding.reclaimable_bytes
        ]
        candidates.sort()
        conns = list(self._holdings)
        while candidates:
            if self.used_bytes <= RECLAIMED_SHARE * self.memory_bytes:
                return
            conn = conns[candidates.pop()[1]]
            self._count('memory', conn)
            conn.reclaim()
            self._note(conn)
        # All that is left is active.
        self._reclaim_at = now + RECLAIM_PAUSE_S

    def _close_some(self):
        """Close the connections that were idle or incomplete the longest."""
        candidates = [c for c in self._holdings if c.may_close]
        candidates.sort(key=lambda conn: (conn.is_unused, -conn.since))
        most = max(1, int(CLOSED_SHARE * self.connections))
        for conn in candidates[-most:]:
            self._count('connections', conn)
            self.close(conn)
            conn.abort()

    def _count(self, reason, conn):
        if self.on_refused is not None:
            self.on_refused(reason, conn.peer)
