"""Concurrency limit for requests to one upstream."""

from concurrent import futures
import math
import threading

from catkinshunt import base as shared
from catkinshunt import checks
from catkinshunt import errors

#: Weight of the newest service time in the running means.
_NEWEST_WEIGHT = 0.05


class Admission(shared.ParamsMixin):
    """Queues requests beyond the concurrency limit of an upstream.

    Args:
        queue: a `BaseQueue`.
        concurrency: maximum number of requests that run at a time.

    Examples:
        >>> from catkinshunt import limits
        >>> admission = limits.Admission(limits.FairQueue(), concurrency=1)
        >>> first = limits.Ticket('1', 'a', deadline=9.0)
        >>> second = limits.Ticket('2', 'b', deadline=9.0)
        >>> admission.offer(first, now=0.0).fut.done()
        True
        >>> admission.offer(second, now=0.0).fut.done()
        False
        >>> admission.finish(first, now=1.0)
        >>> second.fut.done()
        True
    """

    def __init__(self, queue, concurrency=8):
        self.queue = queue
        self.concurrency = concurrency
        self._lock = threading.Lock()
        self._idle = threading.Condition(self._lock)
        self._running = 0
        self._service_s = 0.0
        self._mean_deviation_s = 0.0
        self._is_leaving = False

    @property
    def load(self):
        """Number of running and waiting requests."""
        return self._running + len(self.queue)

    def offer(self, ticket, now):
        """Start or queue a request; its future is done when it may run.

        Each request that was started must be ended by `finish`, which frees
        its slot.

        Raises:
            LeavingError: this process accepts no new requests.
            OverloadedError: the request was rejected.
        """
        checks.check_positive(self.concurrency, 'concurrency')
        with self._lock:
            if self._is_leaving:
                raise errors.LeavingError(
                    'instance is leaving and accepts no new requests',
                    step='queue',
                )
            ticket.offered_at = now
            if self._running < self.concurrency:
                self._check_deadline(ticket, now)
                self._start(ticket, now)
            else:
                self.queue.push(
                    ticket, self._rate_per_s(), self._upper_service_s, now
                )
        return ticket

    def wait(self, ticket, now):
        """Wait until an offered request may run.

        Raises:
            OverloadedError: it was rejected while queued, or too late.
        """
        left_s = max(0.0, ticket.deadline - self._upper_service_s - now)
        try:
            ticket.fut.result(left_s)
            return
        except futures.TimeoutError:
            pass
        with self._lock:
            removed = self.queue.remove(ticket)
            backlog_s = len(self.queue) / self._rate_per_s()
        if removed:
            raise errors.OverloadedError(
                'cannot finish before the deadline',
                step='queue',
                retry_after_s=max(self._service_s, backlog_s),
            )
        # It was started or rejected just now.
        ticket.fut.result()

    def finish(self, ticket, now):
        """Free the slot of a request that has ended; start queued ones."""
        took_s = max(0.0, now - ticket.began_at)
        with self._lock:
            self._running -= 1
            self._update_service_time(took_s)
            self.queue.finish(ticket, took_s)
            self._start_queued(now)
            if not self._running:
                self._idle.notify_all()

    def leave(self):
        """Reject new requests from now on; queued ones still run."""
        with self._lock:
            self._is_leaving = True

    def join(self, timeout_s):
        """Wait until no request runs or waits; return whether that is so."""
        with self._lock:
            return self._idle.wait_for(lambda: not self._running, timeout_s)

    def report(self):
        """Return the counts of requests and the mean service time."""
        with self._lock:
            return {
                'running': self._running,
                'waiting': len(self.queue),
                'service_s': self._service_s,
            }

    @property
    def _upper_service_s(self):
        """Upper bound of most service times.

        The mean plus two mean absolute deviations.
        """
        return self._service_s + 2 * self._mean_deviation_s

    def _update_service_time(self, took_s):
        if not self._service_s:
            self._service_s = took_s
        error_s = took_s - self._service_s
        self._service_s += _NEWEST_WEIGHT * error_s
        self._mean_deviation_s += _NEWEST_WEIGHT * (
            abs(error_s) - self._mean_deviation_s
        )

    def _rate_per_s(self):
        if not self._service_s:
            return math.inf
        return self.concurrency / self._service_s

    def _check_deadline(self, ticket, now):
        late_s = now + self._upper_service_s - ticket.deadline
        if late_s > 0:
            raise errors.OverloadedError(
                'cannot finish before the deadline',
                step='queue',
                retry_after_s=late_s,
            )

    def _start(self, ticket, now):
        self._running += 1
        ticket.began_at = now
        self.queue.begin(ticket, self._service_s)
        ticket.fut.set_result(None)

    def _start_queued(self, now):
        while self._running < self.concurrency:
            ticket = self.queue.pop(now)
            if ticket is None:
                return
            try:
                self._check_deadline(ticket, now)
            except errors.OverloadedError as exc:
                # It would end after its deadline and delay others.
                ticket.fut.set_exception(exc)
                continue
            self._start(ticket, now)
