"""Identifies the requests, and parts of them, that crash upstreams."""

import collections

from catkinshunt import logs
from catkinshunt.quarantine import _admission
from catkinshunt.quarantine import _causes
from catkinshunt.quarantine import _records
from catkinshunt.quarantine import _suspect

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

EVALUATION_DELAY_S = _causes.EVALUATION_DELAY_S
MAX_PAUSE_S = _causes.MAX_PAUSE_S
TRIAL_DELAY_S = _causes.TRIAL_DELAY_S
MAX_WAIT_S = _admission.MAX_WAIT_S
PAUSE_S = _admission.PAUSE_S
TRIAL_S = _admission.TRIAL_S
TURN_S = _admission.TURN_S

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
        self._records = _records.CrashRecords(
            MAX_CRASH_RECORDS, MAX_CRASH_REQUESTS, MAX_SUSPECTS
        )
        self._suspects = self._records.suspects
        self._crashes = self._records.crashes
        self._causes = _causes.CauseFinder(self._records)
        self._admission = _admission.Admission(self._records, self._causes)
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
        return self._records.record(
            upstream,
            run_s,
            service_size,
            at,
            now,
            parts or {},
            self._quarantined,
        )

    def record_completion(self, request):
        """Clear a completed request; return whether it was a suspect."""
        return self._records.clear(request)

    def find_cleared(self, upstream, requests, at):
        """Return those of the traits that have completed since a crash.

        Args:
            upstream: identifier of the upstream.
            requests: fingerprints of requests or parts.
            at: time of the crash, in seconds.
        """
        return self._records.find_cleared(upstream, requests, at)

    def unresolved_crashes(self, min_crashes=_suspect.ISOLATION_CRASHES):
        """Return the crashes of suspects, the oldest first.

        Args:
            min_crashes: crashes of a suspect from which on they are returned.

        Returns:
            Pairs of a `Crash` and the dict of the runs of its suspects.
        """
        return self._records.unresolved_crashes(min_crashes)

    # Decisions.

    def evaluate(self, now):
        """Quarantine and return the requests found to cause crashes."""
        found = []
        while (suspect := self._causes.find(now)) is not None:
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
                    f' {_count_others(crash, suspect)} others,'
                    f' {len(crash.cleared)} cleared'
                    for crash in suspect.crashes
                ],
            )
            self.add(suspect.request, QUARANTINE_S, now)
        self._causes.log_doubts(now)
        return found

    def has_pending(self, now):
        """Return whether a suspect may be quarantined as time goes on."""
        return self._causes.has_pending(now)

    def is_suspect(self, request):
        """Return whether a request was running at a crash."""
        return request in self._suspects

    def is_isolated(self, request):
        """Return whether a request has to run apart from other suspects."""
        return self._admission.is_isolated(request)

    def must_run_apart(self, traits):
        """Return whether a request runs apart from those with suspects.

        Not for traits whose crashes other suspects explain. Requests without
        parts run apart all the same.

        Args:
            traits: its `Traits`.
        """
        return self._admission.must_run_apart(traits)

    def find_held(self, traits):
        """Return the parts for which a request must not run, as a list.

        Args:
            traits: its `Traits`.
        """
        return self._admission.find_held(traits)

    def trial_wait_s(self, traits, held, now):
        """Return the seconds until a request may run on trial, or 0.

        Args:
            traits: its `Traits`.
            held: result of `find_held`, not empty.
            now: time in seconds.
        """
        return self._admission.trial_wait_s(traits, held, now)

    def begin_trial(self, request, parts, now):
        """Let a request run on trial of its parts; return whether it is new.

        Args:
            request: fingerprint of the request.
            parts: fingerprints of suspected parts.
            now: time in seconds.
        """
        return self._admission.begin_trial(request, parts, now)

    def running_trials(self, now):
        """Return the parts on trial by the request that has them."""
        return self._admission.running_trials(now)

    def pause_s(self, request, now):
        """Return the seconds for which a suspect must not run, or 0."""
        return self._admission.pause_s(request, now)

    def turn_wait_s(self, request, now):
        """Return the seconds until the turn of a suspect to run, or 0.

        Suspects that were running at the same crash run in turn, in the order
        of their fingerprints, so that all entries let the same one run.
        """
        return self._admission.turn_wait_s(request, now)

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
                self._records.explain(crash)
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
        self._records.drop_unused(now, SUSPECT_TTL_S)


def _count_others(crash, suspect):
    return len(crash.run_s) - len(crash.holders_of(suspect.request))
