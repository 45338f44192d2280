"""Decides which suspects cause crashes."""

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
#: Seconds after its last crash for which one with more crashes than all others
#: is paused, unless upstreams crash meanwhile. Others that have not completed
#: by then do not excuse it.
MAX_PAUSE_S = 15.0
#: Seconds after the last crash of a part for which all requests with it are
#: refused. Then one of them runs on trial.
TRIAL_DELAY_S = 1.0
#: Crashes of runs on trial from which on a part is quarantined. The first
#: one may have another reason, or be the first with a part that is a cause.
MIN_TRIED = 2
#: Seconds from when a request reaches `MIN_CRASHES` to its evaluation. Reports
#: of other entries on the same crash, and on completions that clear the
#: request, arrive in that time.
EVALUATION_DELAY_S = 0.3
#: Most suspects whose doubts are logged at once, and most others of each.
MAX_LOGGED_DOUBTS, MAX_LOGGED_OTHERS = 4, 8

_log = logs.get_logger('quarantine')


class CauseFinder:
    """Weighs the crashes of each suspect against those of the others.

    Args:
        records: `CrashRecords`.
    """

    def __init__(self, records):
        self._records = records

    def find(self, now):
        """Return a `Suspect` that is found to cause crashes, or None."""
        due = self._due(now)
        if not due:
            return None
        other_rate_per_s = self._other_crash_rate_per_s(now)
        for suspect in due:
            if self._find_doubt(suspect, other_rate_per_s, now) is None:
                return suspect
        return None

    def log_doubts(self, now):
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
                self.others(suspect), key=lambda other: -len(other.crashes)
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

    def has_pending(self, now):
        """Return whether a suspect may be quarantined as time goes on."""
        return any(
            suspect.eligible_at is not None
            and now - suspect.last_crash_at
            <= MAX_PAUSE_S + 2 * EVALUATION_DELAY_S
            for suspect in self._records.suspects.values()
        )

    def others(self, suspect):
        """Return the suspects that excuse a suspect at any of its crashes."""
        found = {
            other.request: other
            for crash in suspect.crashes
            for other in self._records.suspects_of(crash)
            if _excuses(other, suspect, crash)
        }
        return list(found.values())

    def has_most_crashes(self, suspect, others):
        """Return whether a suspect has more crashes than others.

        Not if an upstream has crashed without it since.
        """
        if any(
            crash.at > suspect.last_crash_at for crash in self._records.crashes
        ):
            return False
        return all(
            len(other.crashes) < len(suspect.crashes) for other in others
        )

    def is_dominated(self, suspect, traits):
        """Return whether others explain all crashes of a trait.

        A crash is explained by a suspect that the request does not have, and
        that has more crashes. One suspect that only occurred together with
        the trait may explain the crashes that are left. Several of them may
        be requests that were sent again and again.

        Args:
            suspect: `Suspect` of a trait of the request.
            traits: `Traits` of the request.
        """
        if suspect.was_unexplained:
            # Others crash more meanwhile, as no request with it runs.
            return False
        own = set(traits)
        least = min(_suspect.MIN_CRASHES, len(suspect.crashes))
        covered = None
        for crash in suspect.crashes:
            others = [
                other
                for other in self._records.suspects_of(crash)
                if other is not suspect
                and other.request not in own
                and len(other.crashes) >= least
            ]
            if any(
                len(other.crashes) > len(suspect.crashes) for other in others
            ):
                continue
            found = {
                other.request
                for other in others
                if _is_covered(other, suspect, crash)
            }
            covered = found if covered is None else covered & found
            if not covered:
                return False
        return True

    def _due(self, now):
        """Return the suspects that may be quarantined by now."""
        return [
            suspect
            for suspect in self._records.suspects.values()
            if suspect.eligible_at is not None
            and now - suspect.eligible_at >= EVALUATION_DELAY_S
        ]

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

    def _count_tried_alone(self, suspect):
        """Return the number of late crashes of a part with no other suspect.

        Several causes may have a sound part in common, which is at more
        crashes than each of them.
        """
        return sum(
            not any(
                other.unexplained >= _suspect.ISOLATION_CRASHES
                for other in self._records.suspects_of(crash)
                if other is not suspect
            )
            for crash in suspect.find_tried(TRIAL_DELAY_S)
        )

    def _evidence(self, suspect, now):
        """Return the crashes that no other suspect may have caused."""
        was_paused = now - suspect.last_crash_at >= MAX_PAUSE_S
        found = []
        for crash in suspect.crashes:
            if crash.is_explained:
                continue
            others = [
                other
                for other in self._records.suspects_of(crash)
                if _excuses(other, suspect, crash)
            ]
            if not others or (
                was_paused
                and self.has_most_crashes(suspect, others)
                and (suspect.is_part or not _has_held_part(others))
            ):
                found.append(crash)
        return found

    def _other_crash_rate_per_s(self, now):
        """Return the rate at which upstreams crash for other reasons.

        Counts recent crashes of which all suspects have completed or have no
        second crash.
        """
        recent = [
            crash
            for crash in self._records.crashes
            if now - crash.at <= OTHER_CRASH_WINDOW_S
        ]
        count = sum(
            not crash.is_explained
            and not any(
                s.is_isolated for s in self._records.suspects_of(crash)
            )
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
