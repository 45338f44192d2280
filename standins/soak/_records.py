"""What callers and upstreams saw, and the promises held against it."""

import collections
import itertools

import attrs

from standins import rate_rule
from standins.soak import _cuts
from standins.soak import _departures
from standins.soak import _given
from standins.soak import _parts
from standins import statement_rules

#: Seconds beyond a bound that a run on a busy machine may need to be seen.
SLACK_S = 0.5
#: Seconds after which all entries know what one of them has seen.
CONTACT_S = 3.0
#: Engines that a request crashes before it must be known for it, and runs of
#: it that may begin afterwards.
MOST_CRASHES, MOST_LATE_RUNS = 3, 3


@attrs.define
class Answer:
    """What one caller got for one try.

    Attributes:
        kind: ``'chat'``, ``'book'``, or ``'look'``, which may run twice.
        status: status of the reply; None where the connection ended first.
        body: its bytes; None where it broke off.
        content: body of the request.
        again_s: seconds after which the caller was told to come back.
        entry: address of the entry that was asked.
        limited_by: upstream whose limit the reply names, or ''.
        headed_at: when the head of the reply arrived.
        leaving: upstream that says in the reply that it leaves, or ''.
        gave_up: whether the caller left before the answer.
        prompt: header that names the parts of the prompt, or ''.
        is_first: whether it is the first try of the request.
        stamp: signature of the upstream, or ''.
        part: the bytes of the body that came, also where it broke off.
    """

    request: str
    kind: str
    key: str
    sent_at: float
    ended_at: float = 0.0
    status: int | None = None
    body: bytes | None = None
    content: bytes = b'hi'
    again_s: float | None = None
    entry: str = ''
    limited_by: str = ''
    headed_at: float = 0.0
    leaving: str = ''
    gave_up: bool = False
    prompt: str = ''
    is_first: bool = True
    stamp: str = ''
    part: bytes = b''

    @property
    def identity(self):
        """What all tries of the same request have in common."""
        return self.kind, self.key, self.content, self.prompt

    @property
    def whole(self):
        """Whether the request was served to the end."""
        return self.status == 200 and self.body is not None


@attrs.define
class Run:
    """A request that an upstream began to work on."""

    request: str
    upstream: str
    at: float
    version: int = 0
    account: str = ''
    first_event: int = 1


@attrs.define
class Crash:
    """An engine that a request has ended.

    Attributes:
        request: the one that did it.
        beside: requests that ran there at the time.
    """

    request: str
    upstream: str
    at: float
    beside: frozenset = frozenset()


@attrs.define
class Visits:
    """Requests that reached one start of an upstream.

    Attributes:
        upstream: its name.
        times: pairs of a request and the time of its arrival.
        rejections: `statement_rules.Rejection` objects.
        has_left: whether it has begun to say that it leaves.
        leaves_stated: when it began a reply that says so, by request.
    """

    upstream: str
    times: list = attrs.field(factory=list)
    rejections: list = attrs.field(factory=list)
    has_left: bool = False
    leaves_stated: dict = attrs.field(factory=dict)

    def add(self, request, at):
        """Record the arrival of a request."""
        self.times.append((request, at))

    def state_leave(self, request, at):
        """Record the begin of a reply that says that it leaves."""
        self.leaves_stated.setdefault(request, at)

    def find_told(self, answers):
        """Return `statement_rules.Told` for each of its replies passed on.

        A stream can begin at one start of an upstream and go on at the next
        one, so the leave in its head may be that of another start.

        Args:
            answers: `Answer` by request.
        """
        found = []
        for request, stated_at in self.leaves_stated.items():
            answer = answers[request]
            has_begun = stated_at <= answer.headed_at
            if answer.leaving == self.upstream and (has_begun or answer.whole):
                told_at = max(stated_at, answer.headed_at)
                found.append(statement_rules.Told(told_at, answer.entry))
        return found

    def reject(self, entry, at, back_off_s):
        """Record that a request was turned away with a Retry-After."""
        self.rejections.append(
            statement_rules.Rejection(at, entry, back_off_s)
        )


class Records:
    """Gathers what was seen.

    Args:
        version_s: seconds after which a named version must be served.
        revoke_s: seconds after which a removed key must not be.
        drain_s: seconds after which a leaving upstream gets no new work.
        timeout_s: seconds after which a request may end without an answer.

    Attributes:
        left: when the store acknowledged that an upstream leaves, by name.
        store_faults: (begin, end) of the times in which a process may be out
            of touch for a fault of any kind.
        store_disruptions: (begin, end) of the faults of the store.
        histories: pairs of an upstream and its `rate_rule.UpstreamHistory`.
        disruptions: (begin, end) of the faults of an entry, by its address,
            and of the link of an upstream, by its name.
        interruptions: (begin, end) of the restarts and freezes of an entry,
            by its address.
        visits: `Visits` of each start of an upstream.
        attempts: `_cuts.Attempt` objects.
        silences: (upstream, begin, end) of the silences that ended.
        break_offs: (begin, end) of faults, crashes, restarts and silences
            for good, by upstream. It may break off answers in that time.
        back_at: when all engines were back and served new requests, after
            the last crash; None if that never was.
        given: `_given.Given` by signature.
        stutters: how often upstreams stuttered, by how.
    """

    def __init__(self, version_s, revoke_s, drain_s, timeout_s=6.0):
        self.version_s = version_s
        self.revoke_s = revoke_s
        self.drain_s = drain_s
        self.timeout_s = timeout_s
        self.answers = []
        self.runs = []
        self.loads = []
        self.named = []
        self.revoked = {}
        self.left = {}
        self.store_faults = []
        self.store_disruptions = []
        self.crashes = []
        self.histories = []
        self.disruptions = collections.defaultdict(list)
        self.interruptions = collections.defaultdict(list)
        self.visits = []
        self.attempts = []
        self.silences = []
        self.break_offs = collections.defaultdict(list)
        self.back_at = None
        self.given = {}
        self.stutters = collections.Counter()
        self._entries = {}
        self._stamps = itertools.count(1)

    def add_answer(self, answer):
        """Record the answer of a request that is about to be sent."""
        self.answers.append(answer)
        self._entries[answer.request] = answer.entry

    def entry_of(self, request):
        """Return the address of the entry that got a request, or ''."""
        return self._entries.get(request, '')

    def make_stamp(self, upstream):
        """Return the signature of the next reply of an upstream."""
        return f'{upstream}.{next(self._stamps)}'

    def note_store_fault(self, begin, end):
        """Note a disruption of the store."""
        self.store_faults.append((begin, end + CONTACT_S))
        self.store_disruptions.append((begin, end))

    def is_calm(self, begin, end):
        """Return whether the store had no fault in a span of time."""
        return not any(
            since < end and begin < until for since, until in self.store_faults
        )

    def find_broken(self):
        """Return one sentence for each promise that was broken."""
        runs = collections.defaultdict(list)
        for run in self.runs:
            runs[run.request].append(run)
        found = []
        for answer in self.answers:
            found += _check_answer(answer, runs[answer.request])
            found += self._check_key(answer, runs[answer.request])
            if self.given:
                body = whole_body(answer.request, answer.kind)
                found += _given.find_foreign(answer, self.given, body)
        for run in self.runs:
            found += self._check_run(run)
        found += self._check_departures()
        found += self._check_cuts()
        found += self._check_gone()
        found += self._check_limits()
        found += self._check_leaves()
        found += self._check_back_offs()
        found += self._check_crashes()
        found += self._check_bystanders()
        found += self._check_parts()
        found += [
            f'{upstream} loaded chunks of versions {sorted(versions)}'
            for upstream, versions in self.loads
            if len(versions) != 1
        ]
        return found

    def _check_key(self, answer, runs):
        since = self.revoked.get(answer.key)
        if since is None or answer.sent_at < since + self.revoke_s:
            return []
        return [
            f'{answer.request} ran with key {answer.key}, removed '
            f'{answer.sent_at - since:.2f} s before it was sent'
            for _ in runs[:1]
        ]

    def _check_run(self, run):
        ends = [end for begin, end in self.store_faults if begin < run.at]
        for version, since in self.named:
            # The time counts in one stretch without a fault.
            late_s = run.at - max(since, *ends, 0.0) - self.version_s
            if 0 < run.version < version and late_s > SLACK_S:
                yield (
                    f'{run.request} began on version {run.version}, '
                    f'{late_s:.2f} s after version {version} was due'
                )

    def _check_departures(self):
        """Return the requests that reached upstreams which had left."""
        answers = {answer.request: answer for answer in self.answers}
        times = {}
        for each in [*self.attempts, *self.runs]:
            if each.upstream in self.left:
                times.setdefault((each.upstream, each.request), each.at)
        bounds = _departures.Bounds(self.drain_s, SLACK_S, CONTACT_S)
        for (upstream, request), at in times.items():
            answer = answers.get(request)
            sent_at = at if answer is None else answer.sent_at
            entry = self.entry_of(request)
            left_at = self.left[upstream]
            if _departures.is_late(
                _departures.Arrival(entry, sent_at, at),
                left_at,
                bounds,
                self.store_disruptions,
                (self.interruptions[entry], self.disruptions[entry]),
                self.disruptions[upstream],
            ):
                yield (
                    f'{request} of {entry} reached {upstream} '
                    f'{at - left_at - self.drain_s:.2f} s after it had to be '
                    f'left alone'
                )

    def _attempts_by_request(self):
        found = collections.defaultdict(list)
        for attempt in self.attempts:
            found[attempt.request].append(attempt)
        return found

    def _is_entry_harmed(self, answer):
        """Return whether the entry of an answer was out of touch."""
        spans = self.interruptions[answer.entry]
        spans = spans + self.disruptions[answer.entry]
        return _departures.overlaps(
            spans, answer.sent_at - CONTACT_S, answer.ended_at
        )

    def find_answers_in_touch(self):
        """Return the answers of entries that were in touch."""
        return [a for a in self.answers if not self._is_entry_harmed(a)]

    def _is_sound(self, attempt, until):
        """Return whether an upstream could go on with an attempt.

        A silence that ends is no fault.
        """
        links = self.disruptions[attempt.upstream]
        broke_off = self.break_offs[attempt.upstream]
        return not _departures.overlaps(
            links, attempt.at - CONTACT_S, until
        ) and not _departures.overlaps(broke_off, attempt.at, until)

    def _is_silent(self, upstream, at):
        spans = [(b, e) for name, b, e in self.silences if name == upstream]
        return _departures.overlaps(spans, at, at)

    def _check_cuts(self):
        for answer, attempt in _cuts.find_cuts(
            self.answers,
            self._attempts_by_request(),
            self.timeout_s - SLACK_S,
            self._is_entry_harmed,
            self._is_sound,
        ):
            yield (
                f'{answer.request} was cut after status {answer.status}, '
                f'{answer.ended_at - answer.sent_at:.2f} s after it was sent, '
                f'though {attempt.upstream} was sound'
            )

    def _check_gone(self):
        """Return what reached upstreams, or ran on, for callers who left."""
        given = (
            self.answers,
            self._attempts_by_request(),
            SLACK_S,
            self._is_entry_harmed,
            self._is_sound,
        )
        found = _cuts.find_late_arrivals(*given)
        if found:
            yield f'{found} reached upstreams after their callers had left'
        found = _cuts.find_late_ends(*given, self._is_silent)
        if found:
            yield f'{found} ran on after their callers had left'

    def _check_limits(self):
        told = collections.defaultdict(list)
        for answer in self.answers:
            if answer.limited_by:
                told[answer.limited_by].append(
                    rate_rule.Arrival(answer.headed_at, answer.entry)
                )
        for upstream, history in self.histories:
            history.told = told[upstream]

            def is_excused(entry, at, upstream=upstream):
                return any(
                    begin <= at < end + CONTACT_S
                    for name in (entry, upstream)
                    for begin, end in self.disruptions[name]
                )

            for excess in history.find_excess(CONTACT_S, is_excused):
                yield (
                    f'{upstream} stated a limit and got {excess.count} '
                    f'requests in {rate_rule.WINDOW_S:g} s until '
                    f'{excess.at:.2f}, allowed {excess.allowed:.1f}'
                )

    def _arrivals(self, visits, answers):
        return [
            statement_rules.Arrival(
                answers[request].sent_at, at, answers[request].entry
            )
            for request, at in visits.times
        ]

    def _check_leaves(self):
        answers = {answer.request: answer for answer in self.answers}

        def is_excused(entry, begin, end):
            return _departures.overlaps(self.interruptions[entry], begin, end)

        for visits in self.visits:
            for late in statement_rules.find_requests_to_leaving(
                visits.find_told(answers),
                self._arrivals(visits, answers),
                self.drain_s,
                is_excused,
            ):
                yield (
                    f'{visits.upstream} got a request of {late.entry} at '
                    f'{late.at:.2f}, long after it said that it leaves'
                )

    def _check_back_offs(self):
        answers = {answer.request: answer for answer in self.answers}
        by_name = collections.defaultdict(list)
        for visits in self.visits:
            by_name[visits.upstream].append(visits)
        for upstream, starts in by_name.items():

            def is_excused(entry, begin, end, upstream=upstream):
                return any(
                    _departures.overlaps(self.disruptions[name], begin, end)
                    for name in (entry, upstream)
                )

            for broken in statement_rules.find_broken_back_offs(
                [each for start in starts for each in start.rejections],
                [
                    each
                    for start in starts
                    for each in self._arrivals(start, answers)
                ],
                is_excused,
            ):
                yield (
                    f'{upstream} wanted {broken.back_off_s:g} s of back-off '
                    f'from {broken.entry} at {broken.at:.2f}, which sent more'
                )

    def _identities(self):
        return {answer.request: answer.identity for answer in self.answers}

    def _crash_times(self):
        """Return when each request crashed engines, in order."""
        identities = self._identities()
        found = collections.defaultdict(list)
        for crash in sorted(self.crashes, key=lambda crash: crash.at):
            found[identities[crash.request]].append(crash.at)
        return found

    def _check_crashes(self):
        identities = self._identities()
        for identity, times in self._crash_times().items():
            if len(times) < MOST_CRASHES:
                continue
            known_at = times[MOST_CRASHES - 1] + CONTACT_S + SLACK_S
            late = sum(
                run.at > known_at and identities.get(run.request) == identity
                for run in self.runs
            )
            if late > MOST_LATE_RUNS:
                yield (
                    f'{identity} began {late} more runs after it was known '
                    f'to have crashed {MOST_CRASHES} engines'
                )

    def find_bystanders(self):
        """Return the identities of requests that ran beside a crash."""
        identities = self._identities()
        beside = {
            identities[request]
            for crash in self.crashes
            for request in crash.beside
        }
        return sorted(
            identity
            for identity in beside - self._crash_times().keys()
            if identity[1] not in self.revoked
            and not _parts.has_crashing_part(identity[3])
        )

    def _check_parts(self):
        """Return whether a part crashes engines on, or sound ones suffer."""
        prompts = {a.request: a.prompt for a in self.answers}

        def has_part(request):
            return _parts.has_crashing_part(prompts.get(request, ''))

        def is_excused(run):
            entry = self.entry_of(run.request)
            spans = self.interruptions[entry] + self.disruptions[entry]
            return _departures.overlaps(spans, run.at - CONTACT_S, run.at)

        times = sorted(c.at for c in self.crashes if has_part(c.request))
        late = _parts.find_late_runs(
            times,
            [run for run in self.runs if has_part(run.request)],
            CONTACT_S + SLACK_S,
            is_excused,
        )
        if late is not None and late.count > MOST_LATE_RUNS:
            yield (
                f'{late.count} requests with one part reached engines up to '
                f'{late.after_s:.2f} s after it was known to have crashed '
                f'{_parts.MOST_CRASHES}; it crashed {len(times)}'
            )
        for group, share, other in _parts.find_served_shares(
            times,
            self.answers,
            {run.request for run in self.runs},
            lambda key: key not in self.revoked,
        ):
            if share < _parts.SERVED_SHARE * other:
                yield (
                    f'{share:.0%} of the sound requests with {group} of a '
                    f'crashing one began to run, {other:.0%} of the others'
                )

    def _check_bystanders(self):
        if self.crashes and self.back_at is None:
            yield 'no new request was served after the last crash'
            return
        for identity in self.find_bystanders():
            tries = [
                answer
                for answer in self.answers
                if answer.identity == identity
                and answer.sent_at >= self.back_at
            ]
            if not any(answer.whole for answer in tries[:1]):
                seen = [(answer.status, answer.body) for answer in tries]
                yield (
                    f'{identity} ran beside a crash and got {seen} once '
                    'engines were back'
                )


def _check_answer(answer, runs):
    if answer.kind == 'book' and len(runs) > 1:
        yield f'{answer.request} ran {len(runs)} times'
    refusals = (408, 421, 429, 503) if answer.kind == 'book' else (429, 503)
    if answer.status in refusals and runs:
        yield f'{answer.request} got {answer.status} and ran'
    if answer.status == 200 and answer.body is not None:
        if answer.body != whole_body(answer.request, answer.kind):
            yield f'{answer.request} got another answer: {answer.body[:80]!r}'
    if answer.status == 200 and not runs:
        yield f'{answer.request} was answered and never ran'


#: Events of each stream.
EVENTS = 6


def event(request, number):
    """Return the bytes of one event of the answer to `request`."""
    return f'id: {number}\ndata: {request} {number}\n\n'.encode()


def whole_body(request, kind):
    """Return the whole answer to `request`."""
    if kind in ('book', 'look'):
        return f'booked {request}'.encode()
    return b''.join(event(request, n) for n in range(1, EVENTS + 1))
