"""Crashes, and the traits of requests that are suspected of them."""

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
        parts: fingerprints of the parts of each of them, by fingerprint.
        holders: set of the interrupted requests that have a part, by part.
        cleared: traits that have completed since.
        is_explained: whether it interrupted a request with a quarantined
            trait.
    """

    upstream: str
    at: float
    service_size: int = 0
    run_s: dict = attrs.field(factory=dict)
    parts: dict = attrs.field(factory=dict)
    holders: dict = attrs.field(factory=dict)
    cleared: set = attrs.field(factory=set)
    is_explained: bool = False

    @property
    def traits(self):
        """The requests and all their parts, as a list."""
        return [*self.run_s, *self.holders]

    def add(self, request, run_s, parts):
        """Add an interrupted request with its parts."""
        self.run_s[request] = run_s
        if parts:
            self.parts[request] = parts
        for part in parts:
            self.holders.setdefault(part, set()).add(request)

    def holders_of(self, trait):
        """Return the interrupted requests that have a trait, as a set."""
        return self.holders.get(trait) or {trait}

    def longest_run_s(self, trait):
        """Return the longest run of the requests that have a trait."""
        return max(self.run_s[r] for r in self.holders_of(trait))

    def began_after(self, trait, at):
        """Return whether a request with a trait was sent after a time."""
        return any(
            self.at - self.run_s[r] >= at for r in self.holders_of(trait)
        )


@attrs.define(eq=False)
class Suspect:
    """A trait of requests that upstreams were running when they crashed.

    Attributes:
        request: fingerprint of the request, or of the part.
        last_crash_at: time of its last crash.
        crashes: `Crash` objects since it last completed, without those that
            are explained.
        isolated_at: when it reached `ISOLATION_CRASHES`, or None.
        eligible_at: when it reached `MIN_CRASHES`, or None.
        is_part: whether it is a part of prompts.
        refused_at: when a request with it was last refused, or None.
        trial_of: request that has it and runs on trial, or None.
        trial_until: when its trial ends, in seconds.
        doubted: number of its crashes and doubt that were logged last.
        was_unexplained: whether requests were refused for it while no other
            suspects explained all its crashes.
    """

    request: str
    last_crash_at: float
    crashes: list = attrs.field(factory=list)
    isolated_at: float | None = None
    eligible_at: float | None = None
    is_part: bool = False
    refused_at: float | None = None
    trial_of: str | None = None
    trial_until: float = 0.0
    doubted: tuple | None = None
    was_unexplained: bool = False

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
        return max(c.longest_run_s(self.request) for c in self.crashes)

    def add(self, crash, now):
        """Add a crash that was reported at time `now`."""
        self.crashes.append(crash)
        if self.trial_of in crash.run_s:
            self.trial_of = None
        self.last_crash_at = max(self.last_crash_at, crash.at)
        if self.isolated_at is None and self.is_isolated:
            self.isolated_at = now
        if self.eligible_at is None and len(self.crashes) >= MIN_CRASHES:
            self.eligible_at = now

    @property
    def unexplained(self):
        """Number of its crashes that nothing quarantined explains."""
        return sum(not crash.is_explained for crash in self.crashes)

    @property
    def is_serious(self):
        """Whether it may be quarantined once nothing else excuses it."""
        return len(self.crashes) >= MIN_CRASHES

    @property
    def is_shared(self):
        """Whether different requests with it were at its crashes."""
        holders = set()
        for crash in self.crashes:
            holders |= crash.holders_of(self.request)
        return len(holders) > 1

    def find_tried(self, delay_s):
        """Return the crashes of requests that were sent later.

        Args:
            delay_s: seconds after the crash that made it serious.
        """
        known_at = sorted(c.at for c in self.crashes)[MIN_CRASHES - 1]
        return [
            crash
            for crash in self.crashes
            if crash.began_after(self.request, known_at + delay_s)
        ]

    def is_in_suspected_half(self, others):
        """Return whether fewer than half of the others are suspected more."""
        more = sum(o.longest_run_s < self.longest_run_s for o in others)
        return 2 * more < len(others)
