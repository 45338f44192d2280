"""Identifies the requests that crash their upstreams."""

import collections

import attrs

from catkinshunt import logs

#: Crashes after which a request may be quarantined.
MIN_CRASHES = 3
#: Crashes after which it is quarantined even if others could be the cause.
#: Crashes attributed to a quarantined request count too.
MAX_CRASHES = 5
#: Seconds for which one of several suspects with the same crashes may run,
#: while the others wait. One that is not the cause should complete in time.
TURN_S = 2.0
#: Seconds from when a request reaches `MIN_CRASHES` to its evaluation. Reports
#: of other entries on the same crash, and on completions that clear the
#: request, arrive in that time.
EVALUATION_DELAY_S = 0.3
#: Seconds after its last crash for which a suspect is kept.
SUSPECT_TTL_S = 300.0
#: Seconds of a quarantine; later attempts renew it, see `RENEW_SHARE`.
QUARANTINE_S = 600.0
#: An attempt renews the quarantine once less than this share of it is left.
RENEW_SHARE = 0.5
#: Limits of the suspects, the recorded crashes, the requests of one crash and
#: the quarantined requests. The oldest are dropped first.
MAX_SUSPECTS = 4096
MAX_CRASH_RECORDS = 256
MAX_CRASH_REQUESTS = 64
MAX_QUARANTINED = 256

_log = logs.get_logger('quarantine')


@attrs.define
class _Suspect:
    """Crashes during which a request was running.

    Attributes:
        crashes: ids of the crashes not attributed to a quarantined request.
        attributed_count: number of those attributed to one.
        last_crash_at: time of its last reported crash.
        eligible_at: when it reached `MIN_CRASHES`, or None.
    """

    last_crash_at: float
    crashes: set = attrs.field(factory=set)
    attributed_count: int = 0
    eligible_at: float | None = None

    @property
    def total(self):
        """Number of crashes during which the request was running."""
        return len(self.crashes) + self.attributed_count


class Quarantine:
    """Correlates crashes with requests, and quarantines the cause.

    A crash ends all requests of its upstream, so each of them is a suspect.
    A request that completes anywhere is cleared. A suspect with at least
    `MIN_CRASHES` crashes is a cause if no other suspect has all of them;
    several can be causes. Crashes with a quarantined request are attributed
    to it and count for other suspects only towards `MAX_CRASHES`, at which a
    suspect is quarantined in any case. Suspects with the same crashes run one
    at a time, so that the next crash or completion separates them.

    Requests (by their fingerprints) and crashes are identified by strings
    that are equal in all processes. `now` is in seconds on one clock.

    Examples:
        >>> quarantine = Quarantine()
        >>> for number, other in enumerate('abc'):
        ...     _ = quarantine.record_crash(str(number), ['bad', other], 1.0)
        >>> quarantine.evaluate(now=2.0)
        ['bad']
        >>> quarantine.remaining_s('bad', now=2.0)
        600.0
        >>> quarantine.remaining_s('a', now=2.0)
        0.0
    """

    def __init__(self):
        self._suspects = collections.OrderedDict()
        self._crashes = collections.OrderedDict()
        self._quarantined = collections.OrderedDict()

    @property
    def is_idle(self):
        """Whether no request is suspected or quarantined."""
        return not self._suspects and not self._quarantined

    def record_crash(self, crash, requests, now):
        """Record the requests that an upstream ran when it crashed.

        Args:
            crash: id of the upstream's start that ended in the crash.
            requests: fingerprints.
            now: time in seconds.

        Returns:
            Those of `requests` that were not recorded for it before.
        """
        recorded = self._crashes.setdefault(crash, set())
        while len(self._crashes) > MAX_CRASH_RECORDS:
            self._crashes.popitem(last=False)
        new = [request for request in requests if request not in recorded]
        del new[MAX_CRASH_REQUESTS - len(recorded) :]
        recorded.update(new)
        for request in new:
            if request not in self._quarantined:
                self._add_suspect(request, crash, now)
        if any(request in self._quarantined for request in recorded):
            self._attribute_crash(crash)
        return new

    def record_completion(self, request):
        """Clear a completed request; return whether it was a suspect."""
        return self._suspects.pop(request, None) is not None

    def evaluate(self, now):
        """Quarantine and return the requests found to cause crashes."""
        found = [
            request
            for request, suspect in self._suspects.items()
            if suspect.eligible_at is not None
            and now - suspect.eligible_at >= EVALUATION_DELAY_S
            and self._is_cause(request, suspect)
        ]
        for request in found:
            total = self._suspects[request].total
            _log.warning(
                'Quarantined request {} for {:.0f} s after {} upstream'
                ' crashes.',
                request,
                QUARANTINE_S,
                total,
                fingerprint=request,
                crashes=total,
            )
        for request in found:
            self.add(request, QUARANTINE_S, now)
        return found

    def has_pending(self, now):
        """Return whether a suspect is not due for evaluation yet.

        Suspects that an evaluation left undecided are not included.
        """
        return any(
            suspect.eligible_at is not None
            and now - suspect.eligible_at < EVALUATION_DELAY_S
            for suspect in self._suspects.values()
        )

    def add(self, request, for_s, now):
        """Quarantine a request for at least `for_s` seconds.

        Returns:
            Whether it was not quarantined before, or for less than
            `RENEW_SHARE` of `for_s`.
        """
        before_s = self.remaining_s(request, now)
        if for_s <= before_s:
            return False
        self._quarantined[request] = now + for_s
        self._quarantined.move_to_end(request)
        while len(self._quarantined) > MAX_QUARANTINED:
            dropped, _ = self._quarantined.popitem(last=False)
            _log.warning(
                'Too many quarantined requests; ended the quarantine of the'
                ' request with fingerprint {}.',
                dropped,
            )
        for crash, recorded in self._crashes.items():
            if request in recorded:
                self._attribute_crash(crash)
        self._suspects.pop(request, None)
        return before_s < for_s * RENEW_SHARE

    def remaining_s(self, request, now):
        """Return the remaining quarantine of a request in seconds, or 0."""
        until = self._quarantined.get(request)
        return 0.0 if until is None else max(0.0, until - now)

    def turn_wait_s(self, request, now):
        """Return the seconds until the turn of a suspect to run, or 0.

        Suspects with the same crashes run in turn, in the order of their
        fingerprints, so that all entries let the same one run.
        """
        suspect = self._suspects.get(request)
        if suspect is None or len(suspect.crashes) < MIN_CRASHES:
            return 0.0
        others = self._find_other_causes(request, suspect)
        tied = {
            r: s for r, s in others.items() if s.crashes == suspect.crashes
        }
        # A suspect with these crashes and more is the likelier cause.
        if not tied or len(tied) < len(others):
            return 0.0
        tied[request] = suspect
        since = min(s.eligible_at for s in tied.values())
        elapsed_s = now - since
        turns = int(elapsed_s / TURN_S)
        ahead = (sorted(tied).index(request) - turns) % len(tied)
        return 0.0 if ahead == 0 else (turns + ahead) * TURN_S - elapsed_s

    def all_quarantined(self, now):
        """Return pairs of a quarantined request and its time left."""
        left = [(r, self.remaining_s(r, now)) for r in self._quarantined]
        return [(request, left_s) for request, left_s in left if left_s > 0]

    def expire(self, now):
        """Drop expired quarantines and suspects."""
        for request, until in list(self._quarantined.items()):
            if until <= now:
                del self._quarantined[request]
        for request, suspect in list(self._suspects.items()):
            if now - suspect.last_crash_at > SUSPECT_TTL_S:
                del self._suspects[request]

    def _add_suspect(self, request, crash, now):
        found = self._suspects.get(request)
        if found is None:
            found = self._suspects[request] = _Suspect(now)
            while len(self._suspects) > MAX_SUSPECTS:
                self._suspects.popitem(last=False)
        found.last_crash_at = now
        found.crashes.add(crash)
        if found.eligible_at is None and found.total >= MIN_CRASHES:
            found.eligible_at = now

    def _attribute_crash(self, crash):
        """Attribute a crash to a quarantined request that it interrupted."""
        for request in self._crashes[crash]:
            suspect = self._suspects.get(request)
            if suspect is not None and crash in suspect.crashes:
                suspect.crashes.discard(crash)
                suspect.attributed_count += 1

    def _is_cause(self, request, suspect):
        if suspect.total >= MAX_CRASHES:
            return True
        if len(suspect.crashes) < MIN_CRASHES:
            return False
        # A suspect with all of these crashes may be the cause instead.
        return not self._find_other_causes(request, suspect)

    def _find_other_causes(self, request, suspect):
        """Return the other suspects that have all crashes of this one."""
        recorded = [
            self._crashes.get(crash, set()) for crash in suspect.crashes
        ]
        others = set.intersection(*recorded) - {request}
        return {
            other: self._suspects[other]
            for other in others
            if other in self._suspects
            and self._suspects[other].crashes >= suspect.crashes
        }
