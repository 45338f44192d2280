"""Allocation of the permits of one engine."""

import math

import attrs

from catkinshunt import base
from catkinshunt import checks
from catkinshunt.permits import _messages
from catkinshunt import retry_schedule

#: Permits beyond the slots of the engine. One request waits at the engine, so
#: that a slot that becomes free between two passes is filled at once; more
#: would wait there for longer than that gains.
SPARE_PERMITS = 1
#: Seconds for which late requests wait for permits that no other request
#: needs. Their queue holds at most as many as get a permit within that time
#: at the recent rate.
LATE_MAX_WAIT_S = 0.5
#: Seconds in which the count of permits for late requests decays to 1/e, and
#: the least rate of these that is assumed, per second.
LATE_RATE_DECAY_S = 1.0
MIN_LATE_RATE_PER_S = 0.5
#: Seconds for which free permits are reserved for requests in time after one
#: of these found none free. Late requests get none meanwhile.
RESERVE_S = 0.5
#: Longest prefill backlog of an engine that gets another request, in seconds.
#: Prompts are prefilled one after the other, so the first token of each waits
#: for all prompts before it.
MAX_PREFILL_BACKLOG_S = 0.05
#: Most requests that wait at once, and longest wait in seconds. Datagrams come
#: from whoever reaches the port.
MAX_QUEUED = 4096
MAX_WAIT_S = 60.0
#: Seconds after a grant in which its request may not have arrived yet.
ARRIVAL_GRACE_S = 0.3
#: Seconds after the expected end of loading at which requests are admitted
#: anyway, in case the engine gave up loading or `end_reload` was not called.
REOPEN_TIMEOUT_S = 3.0
#: Reasons of a rejection, as sent in messages: no permit is free now, or none
#: is expected in time; the engine is about to load another version, or the one
#: it serves has expired.
NO_ROOM = 'no-room'
RELOADING = 'reloading'


@attrs.define
class _QueuedRequest:
    """A permit request that is queued until time `until`."""

    request: _messages.PermitRequest
    until: float


class PermitAllocator(base.ParamsMixin):
    """Grants the permits of one engine and tracks which are in use.

    Each entry counts only part of the load of an engine. Without permits, in a
    burst past capacity requests wait for seconds in the engine's queue, are
    late when they start, and block others that could have been in time. With
    permits each request waits at its entry, and of the requests in time the
    newest goes first: those that have waited longest are the ones that will
    miss their goal. Resumed requests go before these; late ones go last, the
    oldest first.

    Args:
        spare: permits beyond the slots of the engine.

    Examples:
        >>> allocator = PermitAllocator(spare=0)
        >>> request = _messages.PermitRequest(1, 0.2, 1.0, 0.05, slots=1)
        >>> allocator.request('a', request, now=0.0)
        [('a', PermitGranted(number=1, in_use=1))]
        >>> allocator.request('b', request, now=0.1)
        [('b', PermitQueued(number=1))]
        >>> allocator.release('a', 1, now=0.2)
        [('b', PermitGranted(number=1, in_use=1))]
    """

    def __init__(self, spare=SPARE_PERMITS):
        self.spare = spare
        #: Slots of the engine, from the newest request.
        self._slots = None
        #: Time of the grant by (peer, number), the oldest first.
        self._granted = {}
        #: (peer, number) of the last `IsolatedPermitRequest` that was granted.
        self._isolated_key = None
        #: `_QueuedRequest` by (peer, number), the oldest first.
        self._queue = {}
        self._late_queue = {}
        #: Requests at the engine beyond the granted permits.
        self._without_permit = 0
        #: Permits without a request at the engine in the last `reconcile`.
        self._unused_count = 0
        #: Decaying count of permits for late requests, and its time.
        self._late_count = 0.0
        self._late_counted_at = 0.0
        self._retry_schedule = retry_schedule.RetrySchedule()
        #: When the prompts of all granted requests are prefilled.
        self._prefill_done_at = 0.0
        #: Until then late requests get no permit.
        self._reserved_until = -math.inf
        #: When the engine is to be empty for a load, and to serve again.
        self._closes_at = math.inf
        self._opens_at = math.inf
        #: When the version that the engine serves expires.
        self._expires_at = math.inf
        #: Start time of the engine, in Unix milliseconds, while it leaves.
        self._leaving_started_at_ms = None

    @property
    def in_use(self):
        """Number of granted permits and of requests sent without one."""
        return len(self._granted) + self._without_permit

    @property
    def waiting(self):
        """Number of queued permit requests."""
        return len(self._queue) + len(self._late_queue)

    def request(self, peer, request, now):
        """Grant, queue or reject; return replies as (peer, message) pairs.

        Args:
            peer: identifier of the entry; any hashable value.
            request: `PermitRequest`. A repeated one that was granted or
                queued gets the same reply; one that was rejected is evaluated
                anew.
            now: seconds on the clock of the permits.
        """
        checks.check_count(self.spare, 'spare')
        self._slots = request.slots
        if not request.late and self._free() <= 0:
            self._reserved_until = now + RESERVE_S
        key = (peer, request.number)
        if self._leaving_started_at_ms is not None:
            return [self._reject_leaving(key)]
        if key in self._granted:
            return [
                (peer, _messages.PermitGranted(request.number, self.in_use))
            ]
        if key in self._queue or key in self._late_queue:
            return [(peer, _messages.PermitQueued(request.number))]
        if self._is_past_cutoff(request, now):
            return [self._reject(key, RELOADING, now)]
        if self._can_grant(request, now) and not self._must_queue(request):
            return [self._grant(key, request, now)]
        return [self._enqueue(key, request, now)]

    def release(self, peer, number, now):
        """Release a permit or withdraw a request; return the new replies."""
        key = (peer, number)
        self._granted.pop(key, None)
        self._queue.pop(key, None)
        self._late_queue.pop(key, None)
        return self._grant_free(now)

    def _reject_expired(self, now):
        """Reject queued requests whose wait has ended; return the replies."""
        replies = []
        for queue in (self._queue, self._late_queue):
            for key, waiting in list(queue.items()):
                if waiting.until <= now:
                    del queue[key]
                    replies.append(self._reject(key, NO_ROOM, now))
        return replies

    def next_due_at(self):
        """Return when `run_due` has to be called next, or None."""
        queued = (*self._queue.values(), *self._late_queue.values())
        times = [waiting.until for waiting in queued]
        key = self._next_key()
        if key is not None and self._free() > 0:
            ready_at = self._prefill_ready_at()
            if key in self._late_queue:
                ready_at = max(ready_at, self._reserved_until)
            times.append(ready_at)
        return min(times, default=None)

    def run_due(self, now):
        """Reject and grant what is due by now; return the replies."""
        return [*self._reject_expired(now), *self._grant_free(now)]

    def reconcile(self, present, now):
        """Correct the permits in use by the engine's count; return replies.

        An entry that crashes releases no permits, one that cannot reach this
        process sends requests without permits, and datagrams are lost.
        As many permits as had no request at the engine in two consecutive
        calls are released, the oldest first; only the number matters.

        Args:
            present: requests at the engine, running and waiting.
            now: seconds on the clock of the permits.
        """
        arrived = [
            key
            for key, since in self._granted.items()
            if now - since > ARRIVAL_GRACE_S
        ]
        unused = len(arrived) - present
        lost = min(unused, self._unused_count)
        for key in arrived[: max(0, lost)]:
            del self._granted[key]
        self._unused_count = max(0, unused - max(0, lost))
        self._without_permit = max(0, present - len(self._granted))
        return self._grant_free(now)

    # Engines that leave.

    def begin_leaving(self, started_at_ms):
        """Reject all requests from now on; return the replies to queued ones.

        Args:
            started_at_ms: start time of the engine, as of `EngineLeaving`.
        """
        if self._leaving_started_at_ms is not None:
            return []
        self._leaving_started_at_ms = started_at_ms
        keys = [*self._queue, *self._late_queue]
        self._queue.clear()
        self._late_queue.clear()
        return [self._reject_leaving(key) for key in keys]

    def end_leaving(self):
        """Admit requests again; another engine has started."""
        self._leaving_started_at_ms = None

    def _reject_leaving(self, key):
        peer, number = key
        return peer, _messages.EngineLeaving(
            number, self._leaving_started_at_ms
        )

    # Reloads and expired versions.

    def schedule_reload(self, closes_at, opens_at):
        """Grant no permit that would be in use past `closes_at`.

        The engine loads another version then. It finishes its answers first
        and takes no requests meanwhile, so one answer that has just started
        would keep it idle for seconds.

        Args:
            closes_at: when the engine is to be empty, in seconds on the
                clock of the permits.
            opens_at: when it is expected to serve again, likewise.
        """
        self._closes_at = closes_at
        self._opens_at = opens_at

    def end_reload(self, now):
        """Grant permits again; return replies."""
        self._closes_at = math.inf
        self._opens_at = math.inf
        return self._grant_free(now)

    def set_expiry(self, expires_at):
        """Grant no permit if the prompt would be prefilled after `expires_at`.

        The version that the engine serves expires then. Its sidecar is
        notified of a new version at once; an entry that reads a large
        configuration over a saturated link receives it much later.

        Args:
            expires_at: seconds on the clock of the permits; infinite for
                never.
        """
        self._expires_at = expires_at

    # Decisions.

    def _free(self):
        return self._slots + self.spare - self.in_use

    def _is_past_cutoff(self, request, now):
        """Return whether a request would be prefilled or end too late.

        That is, its prefill would end after the served version expires, or
        its answer after the engine has to be empty.
        """
        if now + request.prefill_s >= self._expires_at:
            return True
        if now > self._opens_at + REOPEN_TIMEOUT_S:
            return False
        return now + request.occupancy_s > self._closes_at

    def _prefill_ready_at(self):
        """Return when the prefill backlog is short enough for a request."""
        return self._prefill_done_at - MAX_PREFILL_BACKLOG_S

    def _can_grant(self, request, now):
        """Return whether a permit is free and the request may have it now."""
        if self._free() <= 0 or self._must_stay_apart(request):
            return False
        if request.late and now < self._reserved_until:
            return False
        return request.resumed or now >= self._prefill_ready_at()

    def _must_stay_apart(self, request):
        """Return whether it is isolated, as is one that has a permit."""
        is_isolated = isinstance(request, _messages.IsolatedPermitRequest)
        return is_isolated and self._isolated_key in self._granted

    def _must_queue(self, request):
        """Return whether a request is queued even if a permit is free.

        If others are queued, `_next_key` chooses among all of them.
        """
        if request.resumed:
            return False
        return bool(self._queue) or (request.late and bool(self._late_queue))

    def _enqueue(self, key, request, now):
        """Queue a request if it may wait, else reject it; return the reply."""
        if request.no_wait:
            # The entry uses the reply of another sidecar, so this takes none
            # of the spread retry times.
            rejected = _messages.PermitRejected(
                request.number, NO_ROOM, retry_schedule.MIN_RETRY_AFTER_S
            )
            return key[0], rejected
        if self.waiting >= MAX_QUEUED:
            return self._reject(key, NO_ROOM, now)
        if request.late:
            if (
                len(self._late_queue) + 1
                > self._late_rate(now) * LATE_MAX_WAIT_S
            ):
                return self._reject(key, NO_ROOM, now)
            self._late_queue[key] = _QueuedRequest(
                request, now + LATE_MAX_WAIT_S
            )
        elif request.wait_s > 0:
            wait_s = min(request.wait_s, MAX_WAIT_S)
            self._queue[key] = _QueuedRequest(request, now + wait_s)
        else:
            return self._reject(key, NO_ROOM, now)
        return key[0], _messages.PermitQueued(request.number)

    def _grant_free(self, now):
        """Grant free permits to queued requests; return the replies."""
        replies = []
        while (key := self._next_key()) is not None:
            queue = self._queue if key in self._queue else self._late_queue
            request = queue[key].request
            if not self._can_grant(request, now):
                break
            del queue[key]
            if self._is_past_cutoff(request, now):
                replies.append(self._reject(key, RELOADING, now))
            else:
                replies.append(self._grant(key, request, now))
        return replies

    def _next_key(self):
        """Return the key of the next queued request, or None."""
        newest = None
        for key, waiting in reversed(self._queue.items()):
            if self._must_stay_apart(waiting.request):
                continue
            if waiting.request.resumed:
                return key
            if newest is None:
                newest = key
        if newest is not None:
            return newest
        return next(
            (
                key
                for key, waiting in self._late_queue.items()
                if not self._must_stay_apart(waiting.request)
            ),
            None,
        )

    def _grant(self, key, request, now):
        self._granted[key] = now
        if isinstance(request, _messages.IsolatedPermitRequest):
            self._isolated_key = key
        self._prefill_done_at = (
            max(self._prefill_done_at, now) + request.prefill_s
        )
        if request.late:
            self._late_count = self._late_rate(now) * LATE_RATE_DECAY_S + 1
            self._late_counted_at = now
        peer, number = key
        return peer, _messages.PermitGranted(number, self.in_use)

    def _reject(self, key, reason, now):
        peer, number = key
        retry_after_s = self._compute_retry_after_s(reason, now)
        return peer, _messages.PermitRejected(
            number, reason, round(retry_after_s, 3)
        )

    def _compute_retry_after_s(self, reason, now):
        """Return the retry time of a rejected request.

        For `RELOADING` it ends when the engine is expected to serve again,
        within bounds. Other retry times are spread at the rate at which late
        requests recently got permits.
        """
        if reason == RELOADING:
            return min(
                max(self._opens_at - now, retry_schedule.MIN_RETRY_AFTER_S),
                retry_schedule.MAX_RETRY_AFTER_S,
            )
        return self._retry_schedule.next_s(self._late_rate(now), now)

    def _late_rate(self, now):
        """Return the recent rate of permits for late requests, per second."""
        age_s = max(0.0, now - self._late_counted_at)
        count = self._late_count * math.exp(-age_s / LATE_RATE_DECAY_S)
        return max(MIN_LATE_RATE_PER_S, count / LATE_RATE_DECAY_S)
