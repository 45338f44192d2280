"""Crashes, and the requests that are suspected of them."""

import attrs

#: Crashes from which on a request runs apart from other such requests.
ISOLATION_CRASHES = 2
#: Crashes from which on it may be quarantined, and is paused after each.
MIN_CRASHES = 3


@attrs.define(eq=False)
class Crash:
    """A crash of an upstream.

    Attributes:
        upstream: identifier of the upstream.
        at: time of the crash, in seconds.
        service_size: number of upstreams of its service.
        run_s: seconds from when each interrupted request was sent to the
            crash, by fingerprint.
        cleared: fingerprints of those that have completed since.
        is_explained: whether it interrupted a quarantined request.
    """

    upstream: str
    at: float
    service_size: int = 0
    run_s: dict = attrs.field(factory=dict)
    cleared: set = attrs.field(factory=set)
    is_explained: bool = False


@attrs.define(eq=False)
class Suspect:
    """A request that upstreams were running when they crashed.

    Attributes:
        request: its fingerprint.
        last_crash_at: time of its last crash.
        crashes: `Crash` objects since it last completed, without those that
            are explained.
        isolated_at: when it reached `ISOLATION_CRASHES`, or None.
        eligible_at: when it reached `MIN_CRASHES`, or None.
    """

    request: str
    last_crash_at: float
    crashes: list = attrs.field(factory=list)
    isolated_at: float | None = None
    eligible_at: float | None = None

    @property
    def is_isolated(self):
        """Whether it has to run apart from other suspects."""
        return len(self.crashes) >= ISOLATION_CRASHES

    @property
    def longest_run_s(self):
        """Longest time that an upstream ran it before a crash.

        A cause crashes each upstream at the same point of its run, so the
        suspect with the shortest one is suspected most.
        """
        return max(crash.run_s[self.request] for crash in self.crashes)

    def add(self, crash, now):
        """Add a crash that was reported at time `now`."""
        self.crashes.append(crash)
        self.last_crash_at = max(self.last_crash_at, crash.at)
        if self.isolated_at is None and self.is_isolated:
            self.isolated_at = now
        if self.eligible_at is None and len(self.crashes) >= MIN_CRASHES:
            self.eligible_at = now

    def is_in_suspected_half(self, others):
        """Return whether fewer than half of the others are suspected more."""
        more = sum(o.longest_run_s < self.longest_run_s for o in others)
        return 2 * more < len(others)
