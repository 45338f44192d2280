"""What an entry knows of each upstream from its own requests."""

import enum

import attrs

#: Seconds for which a reported load says something about the present.
REPORT_VALID_S = 1.0
#: Share of a failure in the running rate of failures; about the last eight
#: requests count.
FAILURE_WEIGHT = 0.12
#: Seconds in which the rate of failures halves without requests, so that an
#: upstream that recovered gets work again.
FAILURE_HALF_LIFE_S = 4.0
#: Seconds of the first pause after a connection could not be made, doubled
#: with each further failure in a row.
FIRST_PAUSE_S = 0.4
#: Longest such pause, in seconds.
LONGEST_PAUSE_S = 4.0
#: Seconds without a byte on any connection, while answers are due, after
#: which an upstream is taken as silent. A pass of an engine that is five
#: times as slow as usual takes 0.3 s.
SILENT_S = 0.7


class Rank(enum.IntEnum):
    """Order in which an engine takes requests that wait; lower ones first.

    `AT_RISK` ones are in time by prediction, but not by the delays that
    were seen lately. Where these mislead, the order is no worse than that
    of the prediction alone.
    """

    ON_TIME = 0
    AT_RISK = 1
    LATE = 2


@attrs.frozen
class Load:
    """Work at an upstream, as it said itself.

    Attributes:
        running: requests that it works on.
        waiting: requests in its queue.
        slots: requests that it works on at once.
    """

    running: int
    waiting: int
    slots: int


@attrs.define(eq=False)
class Job:
    """One try at an upstream.

    Attributes:
        tokens_in: prompt tokens that are to be read.
        tokens_out: likely tokens of the answer; 0 where nothing tells.
        answering: its first byte has come.
        rank: place among those that wait at an engine.
        predicted_s: seconds to the first byte that were predicted.
    """

    tokens_in: int = 0
    tokens_out: int = 0
    answering: bool = False
    rank: Rank = Rank.ON_TIME
    predicted_s: float = 0.0


@attrs.define(eq=False)
class UpstreamState:
    """Jobs, load and failures of one start of an upstream.

    Attributes:
        jobs: tries that were sent and have not ended.
        asking: requests that wait for a place there.

    Examples:
        >>> state = UpstreamState()
        >>> job = state.begin(Job(), now=1.0)
        >>> state.is_unresponsive(now=1.5), state.is_unresponsive(now=1.8)
        (False, True)
        >>> state.receive(now=1.8)
        >>> state.is_unresponsive(now=2.0)
        False
    """

    jobs: set = attrs.field(factory=set)
    asking: int = 0
    load: Load | None = None
    load_at: float = 0.0
    own_at_load: int = 0
    expecting_since: float | None = None
    failures_in_row: int = 0
    paused_until: float = 0.0
    versions_at_rest: dict | None = None
    _failure_rate: float = 0.0
    _failure_rate_at: float = 0.0

    def begin(self, job, now):
        """Count a try that is being sent; returns it."""
        if not self.jobs:
            self.expecting_since = now
        self.jobs.add(job)
        return job

    def end(self, job):
        """Count a try that has ended."""
        self.jobs.discard(job)
        if not self.jobs:
            self.expecting_since = None

    def receive(self, now):
        """Note that bytes came from the upstream."""
        if self.expecting_since is not None:
            self.expecting_since = now

    def report(self, load, now):
        """Take over the load that the upstream told."""
        self.load = load
        self.load_at = now
        self.own_at_load = len(self.jobs) + self.asking

    def is_unresponsive(self, now):
        """Return whether answers are due and no byte has come for long."""
        since = self.expecting_since
        return since is not None and now - since > SILENT_S

    def record_success(self, now):
        """Note a request that went well."""
        self.failures_in_row = 0
        self.paused_until = 0.0
        self._failure_rate = self.failure_rate(now) * (1 - FAILURE_WEIGHT)
        self._failure_rate_at = now

    def record_failure(self, now):
        """Note a request that broke off or failed."""
        rate = self.failure_rate(now)
        self._failure_rate = rate + (1 - rate) * FAILURE_WEIGHT
        self._failure_rate_at = now

    def back_off(self, now):
        """Give no work for a time that grows with failures in a row."""
        pause_s = FIRST_PAUSE_S * 2**self.failures_in_row
        self.paused_until = now + min(pause_s, LONGEST_PAUSE_S)
        self.failures_in_row += 1
        self.record_failure(now)

    def rest(self, now, pause_s, versions=None):
        """Give no work for `pause_s` seconds, without blame.

        Args:
            now: seconds on the steady clock.
            pause_s: seconds.
            versions: what the upstream is known to serve; the rest ends
                when that changes. None where it has nothing to do with it.
        """
        self.paused_until = max(self.paused_until, now + pause_s)
        self.versions_at_rest = versions

    def is_paused(self, now, versions=None):
        """Return whether it gets no work for now.

        Args:
            now: seconds on the steady clock.
            versions: what the upstream is known to serve now.
        """
        if now >= self.paused_until:
            return False
        before = self.versions_at_rest
        return before is None or before == versions

    def failure_rate(self, now):
        """Return the share of requests that failed lately, from 0 to 1."""
        age_s = max(0.0, now - self._failure_rate_at)
        return self._failure_rate * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)

    def others(self, now):
        """Return the requests that other entries are likely to have there."""
        if self.load is None:
            return 0.0
        age_s = now - self.load_at
        if age_s > REPORT_VALID_S:
            return 0.0
        told = self.load.running + self.load.waiting
        left = 1 - age_s / REPORT_VALID_S
        return max(0, told - self.own_at_load) * left


class UpstreamTracker:
    """Keeps an `UpstreamState` for each start of an upstream."""

    def __init__(self):
        self._states = {}

    def state(self, upstream):
        """Return the state of `upstream`, a new one at first."""
        found = self._states.get(upstream.key)
        if found is None:
            found = self._states[upstream.key] = UpstreamState()
        return found

    def forget(self, upstreams):
        """Drop idle states of starts that are not among `upstreams`."""
        kept = {upstream.key for upstream in upstreams}
        for key, state in list(self._states.items()):
            if key not in kept and not state.jobs:
                del self._states[key]
