"""Pauses, turns and trials of the suspects."""

import zlib

from catkinshunt import logs
from catkinshunt.quarantine import _causes
from catkinshunt.quarantine import _suspect

#: Seconds after its third crash for which the more suspected half of several
#: suspects is paused, and the others after their fourth; twice this time after
#: the next crash, and so on. The others may complete meanwhile.
PAUSE_S = 3.0
#: Longest wait in seconds that a paused request is told; it may be cleared
#: sooner.
MAX_WAIT_S = 2.0
#: Seconds for which one of several suspects runs, while the others wait, if
#: no sidecar keeps them apart. One that is no cause should complete in time.
TURN_S = 2.0
#: Seconds for which other requests wait for a trial. After a trial that
#: crashed, the next one comes after twice this time, and so on, doubling.
TRIAL_S = 4.0
#: Seconds that a request refused for one of its parts waits at least; up to
#: a second is added, which depends on the request.
MIN_WAIT_S = 0.2

_log = logs.get_logger('quarantine')


class Admission:
    """Decides when requests with suspected traits may run.

    Args:
        records: `CrashRecords`.
        causes: `CauseFinder` on them.
    """

    def __init__(self, records, causes):
        self._records = records
        self._causes = causes

    def is_isolated(self, request):
        """Return whether a request has to run apart from other suspects."""
        suspect = self._records.suspects.get(request)
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
            and not self._causes.is_dominated(
                self._records.suspects[trait], traits
            )
            for trait in traits
        )

    def find_held(self, traits):
        """Return the parts for which a request must not run, as a list.

        Args:
            traits: its `Traits`.
        """
        suspects = (self._records.suspects.get(part) for part in traits.parts)
        return [
            suspect.request
            for suspect in suspects
            if suspect is not None
            and suspect.is_serious
            and not self._causes.is_dominated(suspect, traits)
        ]

    def trial_wait_s(self, traits, held, now):
        """Return the seconds until a request may run on trial, or 0.

        Args:
            traits: its `Traits`.
            held: result of `find_held`, not empty.
            now: time in seconds.
        """
        suspects = [self._records.suspects[part] for part in held]
        if all(
            s.trial_of == traits.whole and now < s.trial_until
            for s in suspects
        ):
            return 0.0
        tried = max(self._count_tried(s, traits) for s in suspects)
        delay_s = TRIAL_S * 2**tried if tried else _causes.TRIAL_DELAY_S
        if len(suspects) > 1 and self._is_most_suspected(suspects):
            # A crash would not show which of the parts causes it.
            delay_s = _causes.MAX_PAUSE_S * 2**tried
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
            settled_at = suspect.last_crash_at + _causes.EVALUATION_DELAY_S
            if now >= settled_at and not self._causes.is_dominated(
                suspect, (suspect.request,)
            ):
                suspect.was_unexplained = True
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
        found = [self._records.suspects.get(part) for part in parts]
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
        for suspect in self._records.suspects.values():
            if suspect.trial_of is not None and now < suspect.trial_until:
                found.setdefault(suspect.trial_of, []).append(suspect.request)
        return found

    def pause_s(self, request, now):
        """Return the seconds for which a suspect must not run, or 0."""
        suspect = self._records.suspects.get(request)
        if suspect is None or len(suspect.crashes) < _suspect.MIN_CRASHES:
            return 0.0
        others = self._causes.others(suspect)
        if others and self._causes.has_most_crashes(suspect, others):
            pause_s = _causes.MAX_PAUSE_S + 2 * _causes.EVALUATION_DELAY_S
        else:
            # Crashes that others may explain can go on for long.
            doublings = len(suspect.crashes) - _suspect.MIN_CRASHES
            if others and not suspect.is_in_suspected_half(others):
                doublings -= 1
            if doublings < 0:
                return 0.0
            pause_s = min(_causes.MAX_PAUSE_S, PAUSE_S * 2**doublings)
        left_s = suspect.last_crash_at + pause_s - now
        return min(MAX_WAIT_S, max(0.0, left_s))

    def turn_wait_s(self, request, now):
        """Return the seconds until the turn of a suspect to run, or 0.

        Suspects that were running at the same crash run in turn, in the order
        of their fingerprints, so that all entries let the same one run.
        """
        suspect = self._records.suspects.get(request)
        if suspect is None or len(suspect.crashes) < _suspect.MIN_CRASHES:
            return 0.0
        tied = {
            other.request: other
            for other in self._causes.others(suspect)
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

    def _count_tried(self, suspect, traits):
        """Return the crashes of trials that speak against a request's part.

        Not those that another suspect, which the request does not have, may
        have caused as well.

        Args:
            suspect: `Suspect` of the part.
            traits: `Traits` of the request.
        """
        own = set(traits)
        return sum(
            not crash.is_explained
            and not any(
                other.unexplained >= suspect.unexplained
                for other in self._records.suspects_of(crash)
                if other.request not in own
            )
            for crash in suspect.find_tried(_causes.TRIAL_DELAY_S)
        )

    def _has_rivals(self, parts, suspect):
        """Return whether one of a request's other parts is suspected too.

        Args:
            parts: parts of the request.
            suspect: `Suspect` of one of them.
        """
        found = (self._records.suspects.get(part) for part in parts)
        return any(
            other is not None
            and other is not suspect
            and other.is_isolated
            and other.is_shared
            for other in found
        )

    def _is_most_suspected(self, suspects):
        """Return whether no others were at as many of the crashes."""
        least = min(len(suspect.crashes) for suspect in suspects)
        return not any(
            len(other.crashes) >= least
            for suspect in suspects
            for crash in suspect.crashes
            for other in self._records.suspects_of(crash)
            if other not in suspects
        )
