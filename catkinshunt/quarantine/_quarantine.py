"""Decides which requests crash their upstreams."""

import collections

import attrs

from catkinshunt import logs

#: Upstreams that must have crashed under a request.
LEAST_CRASHES = 3
#: Crashes after which a request is barred though others explain them.
MOST_CRASHES = 5
#: Seconds for which one of several requests that were at the same crashes may
#: run while the others may not. It is to end within that time.
TURN_S = 2.0
#: Seconds after the last of these crashes before a request is judged. Entries
#: tell of the same crash one after the other, and a request that ran to its
#: end elsewhere is cleared meanwhile.
SETTLE_S = 0.3
#: Seconds for which a crash is held against a request.
SUSPECT_S = 300.0
#: Seconds for which a request is barred after it was last asked for.
QUARANTINE_S = 600.0
#: Share of that time after which another try bars it for the whole again.
RENEW_SHARE = 0.5
#: Most requests that are suspected, crashes that are remembered, requests of
#: one crash, and requests that are barred. The oldest go first.
MOST_SUSPECTS = 4096
MOST_REMEMBERED = 256
MOST_IN_CRASH = 64
MOST_BARRED = 256

_log = logs.get_logger('quarantine')


@attrs.define
class _Suspect:
    """What is held against a request.

    Attributes:
        crashes: those that nothing else explains.
        explained: number of those that a barred request explains.
        last_at: when it was last heard of.
        enough_at: when it was first known to have been at enough crashes to
            be judged, or None.
    """

    last_at: float
    crashes: set = attrs.field(factory=set)
    explained: int = 0
    enough_at: float | None = None

    @property
    def total(self):
        """Number of crashes in which the request was there."""
        return len(self.crashes) + self.explained


class Quarantine:
    """Collects under which requests upstreams crash, and bars offenders.

    A crash ends all requests of its upstream, so each of them is suspected.
    One that runs to its end anywhere is cleared; of those left the one that
    was there at more crashes explains what the others were there for. Those
    that were at the same ones run by turns: the next crash, or the end of a
    run, tells them apart.

    Requests and crashes are named by texts that are equal in all processes.
    All methods take the present time in seconds on one clock.

    Examples:
        >>> quarantine = Quarantine()
        >>> for number, beside in enumerate('abc'):
        ...     _ = quarantine.note_crash(str(number), ['bad', beside], 1.0)
        >>> quarantine.judge(now=2.0)
        ['bad']
        >>> quarantine.remaining_s('bad', now=2.0), quarantine.remaining_s('a', 2.0)
        (600.0, 0.0)
    """

    def __init__(self):
        self._suspects = collections.OrderedDict()
        self._crashes = collections.OrderedDict()
        self._barred = collections.OrderedDict()

    @property
    def is_idle(self):
        """Whether no request is suspected or barred."""
        return not self._suspects and not self._barred

    def note_crash(self, crash, requests, now):
        """Note which requests an upstream had when it crashed.

        Returns:
            Those of `requests` that were not known to have been there.
        """
        known = self._crashes.setdefault(crash, set())
        while len(self._crashes) > MOST_REMEMBERED:
            self._crashes.popitem(last=False)
        fresh = [request for request in requests if request not in known]
        del fresh[MOST_IN_CRASH - len(known) :]
        known.update(fresh)
        for request in fresh:
            if request not in self._barred:
                self._suspect(request, crash, now)
        if any(request in self._barred for request in known):
            self._explain(crash)
        return fresh

    def note_completion(self, request):
        """Clear a request that ran to its end; return whether it was held."""
        return self._suspects.pop(request, None) is not None

    def judge(self, now):
        """Bar the requests that crash their upstreams; return those."""
        found = [
            request
            for request, suspect in self._suspects.items()
            if suspect.enough_at is not None
            and now - suspect.enough_at >= SETTLE_S
            and self._is_offender(request, suspect)
        ]
        for request in found:
            total = self._suspects[request].total
            _log.warning(
                'Request {} is not run any more: {} upstreams crashed.',
                request,
                total,
                fingerprint=request,
                crashes=total,
            )
        for request in found:
            self.add(request, QUARANTINE_S, now)
        return found

    def is_undecided(self, now):
        """Return whether a request is still to be judged."""
        return any(
            suspect.enough_at is not None
            and now - suspect.enough_at < SETTLE_S
            for suspect in self._suspects.values()
        )

    def add(self, request, for_s, now):
        """Bar a request for `for_s` seconds at least.

        Returns:
            Whether it was not barred before, or for a much shorter time.
        """
        before_s = self.remaining_s(request, now)
        if for_s <= before_s:
            return False
        self._barred[request] = now + for_s
        self._barred.move_to_end(request)
        while len(self._barred) > MOST_BARRED:
            dropped, _ = self._barred.popitem(last=False)
            _log.warning('Too many requests are barred; {} may run.', dropped)
        for crash, known in self._crashes.items():
            if request in known:
                self._explain(crash)
        self._suspects.pop(request, None)
        return before_s < for_s * RENEW_SHARE

    def remaining_s(self, request, now):
        """Return the seconds for which a request is still barred, or 0."""
        until = self._barred.get(request)
        return 0.0 if until is None else max(0.0, until - now)

    def turn_s(self, request, now):
        """Return the seconds until a suspected request may run, or 0."""
        suspect = self._suspects.get(request)
        if suspect is None or len(suspect.crashes) < LEAST_CRASHES:
            return 0.0
        rivals = self._find_rivals(request, suspect)
        equal = {
            r: s for r, s in rivals.items() if s.crashes == suspect.crashes
        }
        if not equal or len(equal) < len(rivals):
            return 0.0
        equal[request] = suspect
        since = min(s.enough_at for s in equal.values())
        elapsed_s = now - since
        turns = int(elapsed_s / TURN_S)
        place = (sorted(equal).index(request) - turns) % len(equal)
        return 0.0 if place == 0 else (turns + place) * TURN_S - elapsed_s

    def all_quarantined(self, now):
        """Return pairs of a barred request and the seconds left."""
        left = [(r, self.remaining_s(r, now)) for r in self._barred]
        return [(request, left_s) for request, left_s in left if left_s > 0]

    def forget(self, now):
        """Drop what is no longer held against a request."""
        for request, until in list(self._barred.items()):
            if until <= now:
                del self._barred[request]
        for request, suspect in list(self._suspects.items()):
            if now - suspect.last_at > SUSPECT_S:
                del self._suspects[request]

    def _suspect(self, request, crash, now):
        found = self._suspects.get(request)
        if found is None:
            found = self._suspects[request] = _Suspect(now)
            while len(self._suspects) > MOST_SUSPECTS:
                self._suspects.popitem(last=False)
        found.last_at = now
        found.crashes.add(crash)
        if found.enough_at is None and found.total >= LEAST_CRASHES:
            found.enough_at = now

    def _explain(self, crash):
        """Hold a crash no longer against those that were beside it."""
        for request in self._crashes[crash]:
            suspect = self._suspects.get(request)
            if suspect is not None and crash in suspect.crashes:
                suspect.crashes.discard(crash)
                suspect.explained += 1

    def _is_offender(self, request, suspect):
        if suspect.total >= MOST_CRASHES:
            return True
        if len(suspect.crashes) < LEAST_CRASHES:
            return False
        # One that was there at all of these crashes may be the cause instead.
        return not self._find_rivals(request, suspect)

    def _find_rivals(self, request, suspect):
        """Return the other suspects that were there at the same crashes."""
        known = [self._crashes.get(crash, set()) for crash in suspect.crashes]
        others = set.intersection(*known) - {request}
        return {
            other: self._suspects[other]
            for other in others
            if other in self._suspects
            and self._suspects[other].crashes >= suspect.crashes
        }
