"""Identifies the requests, and parts of them, that crash upstreams."""

import collections
import zlib

from catkinshunt import logs
from catkinshunt.quarantine import _suspect

#: Assumed rate at which upstreams of a service crash for other reasons, per
#: second.
OTHER_CRASH_RATE_PER_S = 0.08
#: Seconds of crashes without a suspected cause that add to this rate.
OTHER_CRASH_WINDOW_S = 30.0
#: Highest chance of a crash for another reason during one run, so that a
#: request that crashes its upstreams after a long time is found too.
MAX_CRASH_CHANCE = 0.2
#: Runs shorter than this count as this long, in seconds.
MIN_RUN_S = 0.05
#: A request is quarantined if its crashes come about by other reasons with at
#: most this chance.
MAX_COINCIDENCE = 4e-6
#: Seconds after its last crash for which the more suspected half of several
#: suspects is paused. The others may complete meanwhile.
PAUSE_S = 3.0
#: The same for one with more crashes than all others, unless upstreams crash
#: meanwhile. Others that have not completed by then do not excuse it.
MAX_PAUSE_S = 15.0
#: Longest wait in seconds that a paused request is told; it may be cleared
#: sooner.
MAX_WAIT_S = 2.0
#: Seconds for which one of several suspects runs, while the others wait, if
#: no sidecar keeps them apart. One that is no cause should complete in time.
TURN_S = 2.0
#: Seconds after the last crash of a part for which all requests with it are
#: refused. Then one of them runs on trial.
TRIAL_DELAY_S = 1.0
#: Seconds for which other requests wait for a trial. After a trial that
#: crashed, the next one comes after twice this time, and so on, doubling.
TRIAL_S = 4.0
#: Crashes of runs on trial from which on a part is quarantined. The first
#: one may have another reason, or be the first with a part that is a cause.
MIN_TRIED = 2
#: Seconds that a request refused for one of its parts waits at least; up to
#: a second is added, which depends on the request.
MIN_WAIT_S = 0.2
#: Seconds within which two reports on an upstream concern the same crash.
SAME_CRASH_S = 1.0
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
#: Most suspects whose doubts are logged at once, and most others of each.
MAX_LOGGED_DOUBTS, MAX_LOGGED_OTHERS = 4, 8

_log = logs.get_logger('quarantine')


class Quarantine:
    """Correlates crashes with requests, and quarantines the cause.

    A crash ends all requests of its upstream, so each of them is a suspect
    until it completes anywhere. That a request was running at many crashes
    proves nothing, as upstreams crash for other reasons too. A crash is
    evidence against a suspect once no other suspect is left that it
    interrupted. A suspect is quarantined if so many crashes are unlikely to
    have come about by other reasons within the time that it ran; each
    completion clears it.

    Until then suspects with several crashes run apart from each other, and
    the most suspected ones are paused for a short time after each crash, so
    that the others complete or are found first.

    A part that prompts share is a suspect like a whole request, and a request
    with a quarantined part does not run. A part with several crashes is
    quarantined only after the crash of a run that began later; until then
    one request with it at a time runs on trial, among all entries.

    Traits (by their fingerprints) and upstreams are identified by strings
    that are equal in all processes. `now` is in seconds on one clock.

    Examples:
        >>> quarantine = Quarantine()
        >>> for number, other in enumerate('abc'):
        ...     runs = {'bad': 0.1, other: 0.8}
        ...     _ = quarantine.record_crash(str(number), runs, 9, 1.0, 1.0)
        >>> quarantine.evaluate(now=2.0)
        []
        >>> quarantine.pause_s('bad', now=2.0) > 0
        True
        >>> cleared = [quarantine.record_completion(r) for r in 'abc']
        >>> quarantine.evaluate(now=2.0)
        ['bad']
        >>> quarantine.remaining_s('bad', now=2.0)
        600.0
        >>> quarantine.remaining_s('a', now=2.0)
        0.0
    """

    def __init__(self):
        self._suspects = collections.OrderedDict()
        self._crashes = collections.deque()
        self._quarantined = collections.OrderedDict()

    @property
    def is_idle(self):
        """Whether no request is suspected or quarantined."""
        return not self._suspects and not self._quarantined

    # Evidence.

    def record_crash(self, upstream, run_s, service_size, at, now, parts=None):
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

        Returns:
            The items of `run_s` that were not recorded for it before.
        """
        parts = parts or {}
        crash = self._find_crash(upstream, at)
        if crash is None:
            crash = self._add_crash(upstream, at)
        crash.service_size = max(crash.service_size, service_size)
        new = {}
        for request, seconds in run_s.items():
            if request in crash.run_s:
                crash.run_s[request] = max(crash.run_s[request], seconds)
            elif len(crash.run_s) < MAX_CRASH_REQUESTS:
                new[request] = seconds
                crash.add(request, seconds, parts.get(request, ()))
        for request in new:
            if request not in self._quarantined:
                self._add_suspect(request, crash, now, is_part=False)
            for part in crash.parts.get(request, ()):
                if part not in self._quarantined and part not in crash.cleared:
                    self._add_suspect(part, crash, now, is_part=True)
        if any(trait in self._quarantined for trait in crash.traits):
            self._explain(crash)
        return new

    def record_completion(self, request):
        """Clear a completed request; return whether it was a suspect."""
        suspect = self._suspects.pop(request, None)
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
        crash = self._find_crash(upstream, at)
        if crash is None:
            return []
        return [
            request
            for request in requests
            if request in crash.cleared and request not in self._suspects
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
            for suspect in self._suspects.values()
            if len(suspect.crashes) >= min_crashes
            for crash in suspect.crashes
        }
        runs = []
        for crash in sorted(found, key=lambda crash: crash.at):
            holders = set()
            for suspect in self._suspects_of(crash):
                holders |= crash.holders_of(suspect.request)
            run_s = {r: s for r, s in crash.run_s.items() if r in holders}
            if run_s:
                runs.append((crash, run_s))
        return runs

    # Decisions.

    def evaluate(self, now):
        """Quarantine and return the requests found to cause crashes."""
        found = []
        while (suspect := self._find_cause(now)) is not None:
            found.append(suspect.request)
            _log.warning(
                'Quarantined {} {} for {:.0f} s after {} upstream crashes.',
                'prompt part' if suspect.is_part else 'request',
                suspect.request,
                QUARANTINE_S,
                len(suspect.crashes),
                fingerprint=suspect.request,
                crashes=len(suspect.crashes),
                evidence=[
                    f'{crash.upstream} {now - crash.at:.2f} s ago, after'
                    f' {crash.longest_run_s(suspect.request):.3f} s, with'
                    f' {self._count_others(crash, suspect)} others,'
                    f' {len(crash.cleared)} cleared'
                    for crash in suspect.crashes
                ],
            )
            self.add(suspect.request, QUARANTINE_S, now)
        self._log_doubts(now)
        return found

    def has_pending(self, now):
        """Return whether a suspect may be quarantined as time goes on."""
        return any(
            suspect.eligible_at is not None
            and now - suspect.last_crash_at
            <= MAX_PAUSE_S + 2 * EVALUATION_DELAY_S
            for suspect in self._suspects.values()
        )

    def is_suspect(self, request):
        """Return whether a request was running at a crash."""
        return request in self._suspects

    def is_isolated(self, request):
        """Return whether a request has to run apart from other suspects."""
        suspect = self._suspects.get(request)
        return suspect is not None and suspect.is_isolated

    def must_run_apart(self, traits):
        """Return whether a request runs apart from those with suspects.

        Not for traits whose crashes other suspects explain. Requests without
        parts run apart all the same.

        Args:
            traits: its `Traits`.
        """
        if not traits.parts:
            return self.is_isolated(traits.whole)
        return any(
            self.is_isolated(trait)
            and not self._is_dominated(self._suspects[trait], traits)
            for trait in traits
        )

    def find_held(self, traits):
        """Return the parts for which a request must not run, as a list.

        Args:
            traits: its `Traits`.
        """
        suspects = (self._suspects.get(part) for part in traits.parts)
        return [
            suspect.request
            for suspect in suspects
            if suspect is not None
            and suspect.is_serious
            and not self._is_dominated(suspect, traits)
        ]

    def trial_wait_s(self, traits, held, now):
        """Return the seconds until a request may run on trial, or 0.

        Args:
            traits: its `Traits`.
            held: result of `find_held`, not empty.
            now: time in seconds.
        """
        suspects = [self._suspects[part] for part in held]
        if all(
            s.trial_of == traits.whole and now < s.trial_until
            for s in suspects
        ):
            return 0.0
        tried = max(len(s.find_tried(TRIAL_DELAY_S)) for s in suspects)
        delay_s = TRIAL_S * 2**tried if tried else TRIAL_DELAY_S
        if len(suspects) > 1 and self._is_most_suspected(suspects):
            # A crash would not show which of the parts causes it.
            delay_s = MAX_PAUSE_S * 2**tried
        elif self._has_rivals(traits.parts, suspects[0]):
            # Others with the part may show that it crashes nothing.
            delay_s += TRIAL_S
        until = max(
            max(suspect.last_crash_at + delay_s, suspect.trial_until)
            for suspect in suspects
        )
        if until <= now:
            return 0.0
        for suspect in suspects:
            suspect.refused_at = now
        # Callers that return at the same time would all begin a trial.
        spread = zlib.crc32(traits.whole.encode()) / 2**32
        return min(MAX_WAIT_S, until - now + MIN_WAIT_S + spread)

    def begin_trial(self, request, parts, now):
        """Let a request run on trial of its parts; return whether it is new.

        Args:
            request: fingerprint of the request.
            parts: fingerprints of suspected parts.
            now: time in seconds.
        """
        found = [self._suspects.get(part) for part in parts]
        begun = [s for s in found if s is not None and s.trial_until <= now]
        for suspect in begun:
            suspect.trial_of = request
            suspect.trial_until = now + TRIAL_S
        if begun:
            _log.info(
                'Request {} runs on trial of parts {}.',
                request,
                ', '.join(
                    f'{suspect.request} ({len(suspect.crashes)} crashes)'
                    for suspect in begun
                ),
            )
        return bool(begun)

    def running_trials(self, now):
        """Return the parts on trial by the request that has them."""
        found = {}
        for suspect in self._suspects.values():
            if suspect.trial_of is not None and now < suspect.trial_until:
                found.setdefault(suspect.trial_of, []).append(suspect.request)
        return found

    def pause_s(self, request, now):
        """Return the seconds for which a suspect must not run, or 0."""
        suspect = self._suspects.get(request)
        if suspect is None or len(suspect.crashes) < _suspect.MIN_CRASHES:
            return 0.0
        others = self._others(suspect)
        pause_s = PAUSE_S
        if others and self._has_most_crashes(suspect, others):
            pause_s = MAX_PAUSE_S + 2 * EVALUATION_DELAY_S
        elif others and not suspect.is_in_suspected_half(others):
            return 0.0
        left_s = suspect.last_crash_at + pause_s - now
        return min(MAX_WAIT_S, max(0.0, left_s))

    def turn_wait_s(self, request, now):
        """Return the seconds until the turn of a suspect to run, or 0.

        Suspects that were running at the same crash run in turn, in the order
        of their fingerprints, so that all entries let the same one run.
        """
        suspect = self._suspects.get(request)
        if suspect is None or len(suspect.crashes) < _suspect.MIN_CRASHES:
            return 0.0
        tied = {
            other.request: other
            for other in self._others(suspect)
            if other.is_serious and not other.is_part
        }
        if not tied:
            return 0.0
        tied[request] = suspect
        since = min(other.eligible_at for other in tied.values())
        elapsed_s = now - since
        turns = int(elapsed_s / TURN_S)
        ahead = (sorted(tied).index(request) - turns) % len(tied)
        return 0.0 if ahead == 0 else (turns + ahead) * TURN_S - elapsed_s

    # Quarantined requests.

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
                ' request or part with fingerprint {}.',
                dropped,
            )
        self._suspects.pop(request, None)
        for crash in self._crashes:
            if request in crash.run_s or request in crash.holders:
                self._explain(crash)
        return before_s < for_s * RENEW_SHARE

    def remaining_s(self, request, now):
        """Return the remaining quarantine of a request in seconds, or 0."""
        until = self._quarantined.get(request)
        return 0.0 if until is None else max(0.0, until - now)

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
            used_at = max(suspect.last_crash_at, suspect.refused_at or 0.0)
            if now - used_at > SUSPECT_TTL_S:
                del self._suspects[request]

    # Records.

    def _find_crash(self, upstream, at):
        """Return the recorded `Crash` of an upstream at a time, or None.

        Entries can know different starts of an upstream, and see its crash
        at different times.
        """
        for crash in reversed(self._crashes):
            if (
                crash.upstream == upstream
                and abs(crash.at - at) <= SAME_CRASH_S
            ):
                return crash
        return None

    def _add_crash(self, upstream, at):
        crash = _suspect.Crash(upstream, at)
        self._crashes.append(crash)
        while len(self._crashes) > MAX_CRASH_RECORDS:
            self._forget(self._crashes.popleft())
        return crash

    def _add_suspect(self, request, crash, now, is_part):
        found = self._suspects.get(request)
        if found is None:
            found = self._suspects[request] = _suspect.Suspect(
                request, crash.at, is_part=is_part
            )
            self._limit_suspects()
        if crash not in found.crashes:
            found.add(crash, now)

    def _limit_suspects(self):
        """Drop the oldest suspects, those with one crash first."""
        spared = 0
        while len(self._suspects) > MAX_SUSPECTS:
            request, suspect = self._suspects.popitem(last=False)
            if suspect.is_isolated and spared < MAX_SUSPECTS:
                spared += 1
                self._suspects[request] = suspect

    def _explain(self, crash):
        """Attribute a crash to the quarantined trait that it interrupted.

        It is no evidence against others then. Parts keep it until a request
        with them completes, as more than one may cause crashes.
        """
        crash.is_explained = True
        self._forget(crash, with_parts=False)

    def _forget(self, crash, with_parts=True):
        """Hold a crash against no suspect any more."""
        for suspect in self._suspects_of(crash):
            if suspect.is_part and not with_parts:
                continue
            suspect.crashes.remove(crash)
            if not suspect.crashes:
                del self._suspects[suspect.request]

    def _suspects_of(self, crash):
        """Return the suspects that have not completed since a crash."""
        found = (self._suspects.get(trait) for trait in crash.traits)
        return [s for s in found if s is not None and crash in s.crashes]

    def _others(self, suspect):
        """Return the suspects that excuse a suspect at any of its crashes."""
        found = {
            other.request: other
            for crash in suspect.crashes
            for other in self._suspects_of(crash)
            if _excuses(other, suspect, crash)
        }
        return list(found.values())

    def _count_others(self, crash, suspect):
        return len(crash.run_s) - len(crash.holders_of(suspect.request))

    def _is_dominated(self, suspect, traits):
        """Return whether others explain all crashes of a trait.

        A crash is explained by a suspect that the request does not have, and
        that has more crashes, or only occurred there together with the trait.

        Args:
            suspect: `Suspect` of a trait of the request.
            traits: `Traits` of the request.
        """
        own = set(traits)
        least = min(_suspect.MIN_CRASHES, len(suspect.crashes))
        return all(
            any(
                other.request not in own
                and len(other.crashes) >= least
                and (
                    len(other.crashes) > len(suspect.crashes)
                    or _is_covered(other, suspect, crash)
                )
                for other in self._suspects_of(crash)
                if other is not suspect
            )
            for crash in suspect.crashes
        )

    def _has_rivals(self, parts, suspect):
        """Return whether one of a request's other parts is suspected too.

        Args:
            parts: parts of the request.
            suspect: `Suspect` of one of them.
        """
        found = (self._suspects.get(part) for part in parts)
        return any(
            other is not None
            and other is not suspect
            and other.is_isolated
            and other.is_shared
            for other in found
        )

    def _count_tried_alone(self, suspect):
        """Return the number of late crashes of a part with no other suspect.

        Several causes may have a sound part in common, which is at more
        crashes than each of them.
        """
        return sum(
            not any(
                other.unexplained >= _suspect.ISOLATION_CRASHES
                for other in self._suspects_of(crash)
                if other is not suspect
            )
            for crash in suspect.find_tried(TRIAL_DELAY_S)
        )

    def _is_most_suspected(self, suspects):
        """Return whether no others were at as many of the crashes."""
        least = min(len(suspect.crashes) for suspect in suspects)
        return not any(
            len(other.crashes) >= least
            for suspect in suspects
            for crash in suspect.crashes
            for other in self._suspects_of(crash)
            if other not in suspects
        )

    # Causes.

    def _due(self, now):
        """Return the suspects that may be quarantined by now."""
        return [
            suspect
            for suspect in self._suspects.values()
            if suspect.eligible_at is not None
            and now - suspect.eligible_at >= EVALUATION_DELAY_S
        ]

    def _find_cause(self, now):
        """Return a `Suspect` that is found to cause crashes, or None."""
        due = self._due(now)
        if not due:
            return None
        other_rate_per_s = self._other_crash_rate_per_s(now)
        for suspect in due:
            if self._find_doubt(suspect, other_rate_per_s, now) is None:
                return suspect
        return None

    def _log_doubts(self, now):
        """Log why the most suspected ones are not quarantined.

        Once for each doubt and number of crashes.
        """
        due = sorted(
            self._due(now),
            key=lambda suspect: (-len(suspect.crashes), suspect.request),
        )
        other_rate_per_s = self._other_crash_rate_per_s(now)
        for suspect in due[:MAX_LOGGED_DOUBTS]:
            doubt = self._find_doubt(suspect, other_rate_per_s, now)
            seen = (len(suspect.crashes), doubt)
            if seen == suspect.doubted:
                continue
            suspect.doubted = seen
            others = sorted(
                self._others(suspect), key=lambda other: -len(other.crashes)
            )
            _log.info(
                '{} {} is not quarantined after {} crashes: {}.',
                'Prompt part' if suspect.is_part else 'Request',
                suspect.request,
                len(suspect.crashes),
                doubt,
                others=[
                    f'{other.request} {len(other.crashes)}'
                    for other in others[:MAX_LOGGED_OTHERS]
                ],
            )

    def _find_doubt(self, suspect, other_rate_per_s, now):
        """Return why a suspect is not found to cause crashes, or None.

        Args:
            suspect: the `Suspect`.
            other_rate_per_s: rate at which upstreams of its service crash
                for other reasons, per second.
            now: time in seconds.
        """
        needed = _suspect.MIN_CRASHES
        if other_rate_per_s > OTHER_CRASH_RATE_PER_S:
            needed += 1
        if len(suspect.crashes) < needed:
            return f'{needed} are needed beside other crashes'
        evidence = self._evidence(suspect, now)
        if len(evidence) < _suspect.MIN_CRASHES:
            return f'others may explain all but {len(evidence)}'
        if suspect.is_part and self._count_tried_alone(suspect) < MIN_TRIED:
            # Upstreams that ended together were all running a common part.
            return f'fewer than {MIN_TRIED} of them were on trial alone'
        run_s = max(
            MIN_RUN_S, *(c.longest_run_s(suspect.request) for c in evidence)
        )
        chance = min(MAX_CRASH_CHANCE, run_s * other_rate_per_s)
        size = max(1, *(crash.service_size for crash in evidence))
        count = len(evidence)
        # The first factor accounts for the choice of the longest run, the
        # last one for the upstreams that might have crashed instead.
        coincidence = count * chance**count / size ** (count - 1)
        if coincidence > MAX_COINCIDENCE:
            return f'{count} of them may be chance'
        return None

    def _evidence(self, suspect, now):
        """Return the crashes that no other suspect may have caused."""
        was_paused = now - suspect.last_crash_at >= MAX_PAUSE_S
        found = []
        for crash in suspect.crashes:
            if crash.is_explained:
                continue
            others = [
                other
                for other in self._suspects_of(crash)
                if _excuses(other, suspect, crash)
            ]
            if not others or (
                was_paused
                and self._has_most_crashes(suspect, others)
                and (suspect.is_part or not _has_held_part(others))
            ):
                found.append(crash)
        return found

    def _has_most_crashes(self, suspect, others):
        """Return whether a suspect has more crashes than others.

        Not if an upstream has crashed without it since.
        """
        if any(crash.at > suspect.last_crash_at for crash in self._crashes):
            return False
        return all(
            len(other.crashes) < len(suspect.crashes) for other in others
        )

    def _other_crash_rate_per_s(self, now):
        """Return the rate at which upstreams crash for other reasons.

        Counts recent crashes of which all suspects have completed or have no
        second crash.
        """
        recent = [
            crash
            for crash in self._crashes
            if now - crash.at <= OTHER_CRASH_WINDOW_S
        ]
        count = sum(
            not crash.is_explained
            and not any(s.is_isolated for s in self._suspects_of(crash))
            for crash in recent
        )
        return OTHER_CRASH_RATE_PER_S + count / OTHER_CRASH_WINDOW_S


def _has_held_part(suspects):
    """Return whether a part is among `Suspect`s of which few requests run.

    That no request with it has completed is no sign that its callers left.
    """
    return any(suspect.is_part and suspect.is_serious for suspect in suspects)


def _is_covered(other, suspect, crash):
    """Return whether all requests with `other` at a crash have `suspect`."""
    return crash.holders_of(other.request) <= crash.holders_of(suspect.request)


def _excuses(other, suspect, crash):
    """Return whether `other` may have caused a crash in place of `suspect`.

    Not if it was there only together with the suspect, and was at fewer
    crashes; at as many, a whole request is suspected before its parts.
    """
    if other is suspect:
        return False
    if not _is_covered(other, suspect, crash):
        return True
    if other.is_part and not suspect.is_part:
        return other.unexplained > suspect.unexplained
    return other.unexplained >= suspect.unexplained
