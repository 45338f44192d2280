"""A burst past capacity that reaches engines through several entries."""

import heapq
import itertools
import random

import attrs

from catkinshunt import catalog as catalogs
from catkinshunt import dispatch
from catkinshunt.dispatch.tests import burst

GOAL_S = 0.8
#: Seconds without a first token after which a caller leaves.
PATIENCE_S = 3.2


@attrs.define(eq=False)
class Caller:
    """A request with the entry that it came to."""

    request: burst.Request
    entry: object
    machine: object
    predicted_s: float

    @property
    def is_served(self):
        """Whether its first token came before it left."""
        first_s = self.request.first_s
        return first_s is not None and first_s <= PATIENCE_S


class Entry:
    """What one entry knows of the engines."""

    def __init__(self, corrects):
        self.tracker = dispatch.UpstreamTracker()
        self.chooser = dispatch.Chooser('a', {})
        self.forecast = dispatch.DelayCorrector() if corrects else None

    def send(self, upstreams, job, now):
        """Choose an engine for `job`; return the candidate."""
        found = self.chooser.choose(
            upstreams, self.tracker, burst.ENGINE, job, now
        )
        if self.forecast:
            job.rank = self.forecast.rank(0.0, found.delay_s, GOAL_S, now)
        elif found.delay_s > GOAL_S:
            job.rank = dispatch.Rank.LATE
        found.state.begin(job, now)
        return found


class SharedEngine(burst.SimulatedEngine):
    """An engine that tells each entry its load with the first token."""

    def __init__(self, upstream):
        super().__init__(upstream, dispatch.UpstreamState())
        self.callers = {}

    def work(self, now):
        """See `burst.SimulatedEngine.work`."""
        before = [*self.running, *self.waiting]
        unanswered = [r for r in before if r.first_s is None]
        end = super().work(now)
        for request in unanswered:
            if request.first_s is not None:
                self._tell(self.callers[request], end)
        for request in before:
            if request.unwritten <= 0:
                caller = self.callers.pop(request)
                caller.entry.tracker.state(self.upstream).end(request.job)
        return end

    def _tell(self, caller, now):
        load = dispatch.Load(
            len(self.running), len(self.waiting), burst.ENGINE.slots
        )
        caller.entry.tracker.state(self.upstream).report(load, now)
        forecast = caller.entry.forecast
        if forecast and not caller.request.job.rank:
            forecast.observe(caller.predicted_s, caller.request.first_s, now)

    def leave(self, caller, now):
        """Take out the request of a caller who waited in vain."""
        request = caller.request
        if request.first_s is not None:
            return
        for queue in (self.running, self.waiting):
            if request in queue:
                queue.remove(request)
        self.callers.pop(request)
        caller.entry.tracker.state(self.upstream).end(request.job)
        forecast = caller.entry.forecast
        if forecast and not request.job.rank:
            forecast.observe(caller.predicted_s, PATIENCE_S, now)


def play(rate, entries=5, engines=6, seconds=20.0, seed=3, corrects=True):
    """Play a burst; return the shares in time and served at all.

    Args:
        rate: requests a second, at all entries together.
        entries: number of entries; each request comes to one by chance.
        engines: number of engines.
        seconds: length of the burst.
        seed: decides the requests.
        corrects: whether entries learn from the delays that they see.
    """
    rng = random.Random(seed)
    upstreams = [
        catalogs.Upstream(
            f'u{n}', 'engines', (f'10.0.0.{n}', 80), 'a', slots=16
        )
        for n in range(engines)
    ]
    machines = {u.id: SharedEngine(u) for u in upstreams}
    doors = [Entry(corrects) for _ in range(entries)]
    order = itertools.count()
    events, callers = [], []
    for now, tokens, answer in burst.make_requests(rate, seconds, rng):
        heapq.heappush(events, (now, next(order), 'come', (tokens, answer)))
    while events:
        now, _, kind, what = heapq.heappop(events)
        if kind == 'come':
            job = dispatch.Job(*what)
            door = rng.choice(doors)
            found = door.send(upstreams, job, now)
            machine = machines[found.upstream.id]
            request = burst.Request(now, job, *what)
            caller = Caller(request, door, machine, found.delay_s)
            machine.callers[request] = caller
            callers.append(caller)
            if not machine.running and not machine.waiting:
                heapq.heappush(events, (now, next(order), 'work', machine))
            machine.take(request, now)
            leaves_at = now + PATIENCE_S
            heapq.heappush(events, (leaves_at, next(order), 'leave', caller))
        elif kind == 'work':
            if what.running or what.waiting:
                end = what.work(now)
                heapq.heappush(events, (end, next(order), 'work', what))
        else:
            what.machine.leave(what, now)
    in_time = [c for c in callers if (c.request.first_s or 9) <= GOAL_S]
    served = [c for c in callers if c.is_served]
    return len(in_time) / len(callers), len(served) / len(callers)
