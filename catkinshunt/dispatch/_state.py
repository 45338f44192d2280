"""Load and failures of each upstream, as one entry observes them."""

import enum

import attrs

#: Seconds until a reported load expires.
REPORT_VALID_S = 1.0
#: Weight of the newest request in the failure rate, which covers about the
#: last eight.
FAILURE_WEIGHT = 0.12
#: Half-life of the failure rate without requests, in seconds, so that an
#: upstream that recovered gets requests again.
FAILURE_HALF_LIFE_S = 4.0
#: First pause after a refused connection, in seconds; doubled with each
#: further one in a row.
INITIAL_BACK_OFF_S = 0.4
#: Longest such pause, in seconds.
MAX_BACK_OFF_S = 4.0
#: Seconds without a byte on any connection, while replies are due, after
#: which an upstream counts as unresponsive. It may be dead, or go on a moment
#: later, so its replies are still awaited. One pass of an engine that runs
#: five times slower than usual takes 0.3 s. A plain service whose replies take
#: longer counts as unresponsive too, until the next byte.
UNRESPONSIVE_S = 0.7


class Rank(enum.IntEnum):
    """Order of requests in the queue of an engine; lower values go first.

    `LATE` requests miss their goal already by the prediction; `DOUBTFUL` ones
    are in time by the prediction but not after its correction by recent
    delays. They have their own rank, so that a wrong correction gives no
    worse an order than the prediction alone.

    The rank orders requests at the engine. The sidecar, which grants the
    permits before, distinguishes only late ones (`PermitRequest.late`).
    """

    # The names are written to the log and must not change.
    EARLY = 0
    DOUBTFUL = 1
    LATE = 2


@attrs.frozen
class Load:
    """Load of an upstream, as it reports it.

    Attributes:
        running: requests in progress.
        waiting: requests in its queue.
        slots: requests that it processes concurrently.
    """

    running: int
    waiting: int
    slots: int


@attrs.define(eq=False)
class Job:
    """One attempt of a request at an upstream, as its load is estimated.

    Attributes:
        tokens_in: prompt tokens.
        tokens_out: expected tokens of the answer; 0 if unknown.
        reply_started: whether the first byte has arrived.
        rank: `Rank` in the queue of an engine.
        predicted_s: predicted seconds to the first byte.
    """

    tokens_in: int = 0
    tokens_out: int = 0
    reply_started: bool = False
    rank: Rank = Rank.EARLY
    predicted_s: float = 0.0


@attrs.define(eq=False)
class UpstreamState:
    """Jobs, load and failures of one process of an upstream.

    Attributes:
        jobs: attempts in progress.
        pending_permit_requests: permit requests that are pending at its
            sidecar.
        load: latest reported `Load`.
        load_reported_at: when it was reported.
        own_requests_at_load: requests of this entry at that time; the rest of
            the load is due to other entries.
        reply_due_since: when the last byte arrived or the first job was sent;
            None while no reply is due.
        failures_in_row: refused connections since the last success; other
            failures do not count.
        paused_until: end of the pause.
        versions_at_pause: versions that the upstream served when a pause
            began that ends with a change of them; None for any other pause.

    Examples:
        >>> state = UpstreamState()
        >>> job = state.begin(Job(), now=1.0)
        >>> state.is_unresponsive(now=1.5), state.is_unresponsive(now=1.8)
        (False, True)
        >>> state.receive(now=2.0)
        1.0
        >>> state.is_unresponsive(now=2.1)
        False
    """

    jobs: set = attrs.field(factory=set)
    pending_permit_requests: int = 0
    load: Load | None = None
    load_reported_at: float = 0.0
    own_requests_at_load: int = 0
    reply_due_since: float | None = None
    failures_in_row: int = 0
    paused_until: float = 0.0
    versions_at_pause: dict | None = None
    _failure_rate: float = 0.0
    _failure_rate_at: float = 0.0

    def begin(self, job, now):
        """Add a job that is being sent; return it."""
        if not self.jobs:
            self.reply_due_since = now
        self.jobs.add(job)
        return job

    def end(self, job):
        """Remove a job that has ended."""
        self.jobs.discard(job)
        if not self.jobs:
            self.reply_due_since = None

    def receive(self, now):
        """Record that bytes arrived; return the seconds since the last."""
        silent_s = self.silent_s(now)
        if self.reply_due_since is not None:
            self.reply_due_since = now
        return silent_s

    def report(self, load, now):
        """Record a load reported by the upstream."""
        self.load = load
        self.load_reported_at = now
        self.own_requests_at_load = (
            len(self.jobs) + self.pending_permit_requests
        )

    def silent_s(self, now):
        """Return the seconds without a byte while replies are due."""
        since = self.reply_due_since
        return 0.0 if since is None else now - since

    def is_unresponsive(self, now):
        """Return whether replies are due but no byte arrives."""
        return self.silent_s(now) > UNRESPONSIVE_S

    def record_success(self, now):
        """Record a successful request and end any pause."""
        self.failures_in_row = 0
        self.paused_until = 0.0
        self._failure_rate = self.failure_rate(now) * (1 - FAILURE_WEIGHT)
        self._failure_rate_at = now

    def record_failure(self, now):
        """Record a request that failed after it was sent, or broke off."""
        rate = self.failure_rate(now)
        self._failure_rate = rate + (1 - rate) * FAILURE_WEIGHT
        self._failure_rate_at = now

    def record_refused_connection(self, now):
        """Record a refused connection; pause with exponential back-off."""
        pause_s = INITIAL_BACK_OFF_S * 2**self.failures_in_row
        self.paused_until = now + min(pause_s, MAX_BACK_OFF_S)
        self.failures_in_row += 1
        self.record_failure(now)

    def pause(self, now, pause_s, versions=None):
        """Pause the upstream for `pause_s` seconds, without a failure.

        Args:
            now: seconds on the monotonic clock.
            pause_s: length of the pause, in seconds.
            versions: versions that the upstream serves, if the pause is to
                end as soon as they change; None otherwise.
        """
        self.paused_until = max(self.paused_until, now + pause_s)
        self.versions_at_pause = versions

    def is_paused(self, now, versions=None):
        """Return whether the upstream is paused.

        Args:
            now: seconds on the monotonic clock.
            versions: versions that the upstream serves now.
        """
        if now >= self.paused_until:
            return False
        before = self.versions_at_pause
        return before is None or before == versions

    def failure_rate(self, now):
        """Return the recent share of failed requests, from 0 to 1."""
        age_s = max(0.0, now - self._failure_rate_at)
        return self._failure_rate * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)

    def other_requests(self, now):
        """Return the estimated number of requests of other entries."""
        if self.load is None:
            return 0.0
        age_s = now - self.load_reported_at
        if age_s > REPORT_VALID_S:
            return 0.0
        reported = self.load.running + self.load.waiting
        freshness = 1 - age_s / REPORT_VALID_S
        return max(0, reported - self.own_requests_at_load) * freshness


class UpstreamTracker:
    """Keeps an `UpstreamState` for each process of an upstream."""

    def __init__(self):
        self._states = {}

    def state(self, upstream):
        """Return the state of `upstream`; creates it on first use."""
        found = self._states.get(upstream.key)
        if found is None:
            found = self._states[upstream.key] = UpstreamState()
        return found

    def forget(self, upstreams):
        """Remove states without jobs that are not of `upstreams`."""
        kept = {upstream.key for upstream in upstreams}
        for key, state in list(self._states.items()):
            if key not in kept and not state.jobs:
                del self._states[key]
