"""Records of crashes, and of the traits that are suspected of them."""

import collections

from catkinshunt.quarantine import _suspect

#: Seconds within which two reports on an upstream concern the same crash.
SAME_CRASH_S = 1.0


class CrashRecords:
    """Crashes of upstreams, and the suspects of each.

    Args:
        max_crashes: limit of the recorded crashes.
        max_requests: limit of the requests of one crash.
        max_suspects: limit of the suspects.

    Attributes:
        suspects: `Suspect` by fingerprint, the oldest first.
        crashes: `Crash` objects, in the order in which they were reported.
    """

    def __init__(self, max_crashes, max_requests, max_suspects):
        self.max_crashes = max_crashes
        self.max_requests = max_requests
        self.max_suspects = max_suspects
        self.suspects = collections.OrderedDict()
        self.crashes = collections.deque()

    def record(
        self, upstream, run_s, service_size, at, now, parts, quarantined
    ):
        """Record the requests that an upstream ran when it crashed.

        Args:
            upstream: identifier of the upstream.
            run_s: seconds from when each request was sent to the crash, by
                fingerprint.
            service_size: number of upstreams of its service.
            at: time of the crash, in seconds.
            now: time in seconds.
            parts: fingerprints of the parts of each request that has some,
                by fingerprint of the request.
            quarantined: container of the quarantined traits.

        Returns:
            The items of `run_s` that were not recorded for it before.
        """
        crash = self.find(upstream, at)
        if crash is None:
            crash = self._add_crash(upstream, at)
        crash.service_size = max(crash.service_size, service_size)
        new = {}
        for request, seconds in run_s.items():
            if request in crash.run_s:
                crash.run_s[request] = max(crash.run_s[request], seconds)
            elif len(crash.run_s) < self.max_requests:
                new[request] = seconds
                crash.add(request, seconds, parts.get(request, ()))
        for request in new:
            if request not in quarantined:
                self._add_suspect(request, crash, now, is_part=False)
            for part in crash.parts.get(request, ()):
                if part not in quarantined and part not in crash.cleared:
                    self._add_suspect(part, crash, now, is_part=True)
        if any(trait in quarantined for trait in crash.traits):
            self.explain(crash)
        return new

    def clear(self, request):
        """Clear a completed request; return whether it was a suspect."""
        suspect = self.suspects.pop(request, None)
        if suspect is None:
            return False
        for crash in suspect.crashes:
            crash.cleared.add(request)
        return True

    def find_cleared(self, upstream, requests, at):
        """Return those of the traits that have completed since a crash.

        Args:
            upstream: identifier of the upstream.
            requests: fingerprints of requests or parts.
            at: time of the crash, in seconds.
        """
        crash = self.find(upstream, at)
        if crash is None:
            return []
        return [
            request
            for request in requests
            if request in crash.cleared and request not in self.suspects
        ]

    def unresolved_crashes(self, min_crashes=_suspect.ISOLATION_CRASHES):
        """Return the crashes of suspects, the oldest first.

        Args:
            min_crashes: crashes of a suspect from which on they are returned.

        Returns:
            Pairs of a `Crash` and the dict of the runs of its suspects.
        """
        found = {
            crash
            for suspect in self.suspects.values()
            if len(suspect.crashes) >= min_crashes
            for crash in suspect.crashes
        }
        runs = []
        for crash in sorted(found, key=lambda crash: crash.at):
            holders = set()
            for suspect in self.suspects_of(crash):
                holders |= crash.holders_of(suspect.request)
            run_s = {r: s for r, s in crash.run_s.items() if r in holders}
            if run_s:
                runs.append((crash, run_s))
        return runs

    def find(self, upstream, at):
        """Return the recorded `Crash` of an upstream at a time, or None.

        Entries can know different starts of an upstream, and see its crash
        at different times.
        """
        for crash in reversed(self.crashes):
            if (
                crash.upstream == upstream
                and abs(crash.at - at) <= SAME_CRASH_S
            ):
                return crash
        return None

    def suspects_of(self, crash):
        """Return the suspects that have not completed since a crash."""
        found = (self.suspects.get(trait) for trait in crash.traits)
        return [s for s in found if s is not None and crash in s.crashes]

    def explain(self, crash):
        """Attribute a crash to the quarantined trait that it interrupted.

        It is no evidence against others then. Parts keep it until a request
        with them completes, as more than one may cause crashes.
        """
        crash.is_explained = True
        self._forget(crash, with_parts=False)

    def drop_unused(self, now, ttl_s):
        """Drop the suspects without a crash or a request for a time.

        Args:
            now: time in seconds.
            ttl_s: that time, in seconds.
        """
        for request, suspect in list(self.suspects.items()):
            used_at = max(suspect.last_crash_at, suspect.refused_at or 0.0)
            if now - used_at > ttl_s:
                del self.suspects[request]

    def _add_crash(self, upstream, at):
        crash = _suspect.Crash(upstream, at)
        self.crashes.append(crash)
        while len(self.crashes) > self.max_crashes:
            self._forget(self.crashes.popleft())
        return crash

    def _add_suspect(self, request, crash, now, is_part):
        found = self.suspects.get(request)
        if found is None:
            found = self.suspects[request] = _suspect.Suspect(
                request, crash.at, is_part=is_part
            )
            self._limit_suspects()
        if crash not in found.crashes:
            found.add(crash, now)

    def _limit_suspects(self):
        """Drop the oldest suspects, those with one crash first."""
        spared = 0
        while len(self.suspects) > self.max_suspects:
            request, suspect = self.suspects.popitem(last=False)
            if suspect.is_isolated and spared < self.max_suspects:
                spared += 1
                self.suspects[request] = suspect

    def _forget(self, crash, with_parts=True):
        """Hold a crash against no suspect any more."""
        for suspect in self.suspects_of(crash):
            if suspect.is_part and not with_parts:
                continue
            suspect.crashes.remove(crash)
            if not suspect.crashes:
                del self.suspects[suspect.request]
