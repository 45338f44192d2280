"""Simulation of a burst past capacity through several entries."""

import heapq
import itertools
import random

import attrs

from catkinshunt import catalog as catalogs
from catkinshunt import dispatch
from catkinshunt.dispatch.tests import simulation

GOAL_S = 0.8
#: Seconds after which a client without a first token disconnects.
PATIENCE_S = 3.2


@attrs.define(eq=False)
class SentRequest:
    """A request with the entry that sent it and its engine."""

    request: simulation.Request
    entry: object
    engine: object
    predicted_s: float

    @property
    def is_served(self):
        """Whether the first token arrived before the client disconnected."""
        first_s = self.request.first_s
        return first_s is not None and first_s <= PATIENCE_S


class Entry:
    """An entry with its own view of the load of the engines."""

    def __init__(self, with_correction):
        self.tracker = dispatch.UpstreamTracker()
        self.chooser = dispatch.Chooser('a', {})
        self.corrector = dispatch.DelayCorrector() if with_correction else None

    def send(self, upstreams, job, now):
        """Choose an engine for `job`; return the candidate."""
        found = self.chooser.choose(
            upstreams, self.tracker, simulation.ENGINE, job, now
        )
        if self.corrector:
            job.rank = self.corrector.rank(0.0, found.delay_s, GOAL_S, now)
        elif found.delay_s > GOAL_S:
            job.rank = dispatch.Rank.LATE
        found.state.begin(job, now)
        return found


class SharedEngine(simulation.SimulatedEngine):
    """An engine that reports its load with each first token."""

    def __init__(self, upstream):
        super().__init__(upstream, dispatch.UpstreamState())
        self.sent_requests = {}

    def run_pass(self, now):
        """See `simulation.SimulatedEngine.run_pass`."""
        before = [*self.running, *self.waiting]
        unanswered = [r for r in before if r.first_s is None]
        end = super().run_pass(now)
        for request in unanswered:
            if request.first_s is not None:
                self._report_load(self.sent_requests[request], end)
        for request in before:
            if request.remaining_output <= 0:
                sent = self.sent_requests.pop(request)
                sent.entry.tracker.state(self.upstream).end(request.job)
        return end

    def _report_load(self, sent, now):
        load = dispatch.Load(
            len(self.running), len(self.waiting), simulation.ENGINE.slots
        )
        sent.entry.tracker.state(self.upstream).report(load, now)
        corrector = sent.entry.corrector
        if corrector and not sent.request.job.rank:
            corrector.observe(sent.predicted_s, sent.request.first_s, now)

    def disconnect(self, sent, now):
        """Remove the request of a client that disconnects without a token."""
        request = sent.request
        if request.first_s is not None:
            return
        for queue in (self.running, self.waiting):
            if request in queue:
                queue.remove(request)
        self.sent_requests.pop(request)
        sent.entry.tracker.state(self.upstream).end(request.job)
        corrector = sent.entry.corrector
        if corrector and not request.job.rank:
            corrector.observe(sent.predicted_s, PATIENCE_S, now)


def simulate(
    rate, entries=5, engines=6, seconds=20.0, seed=3, with_correction=True
):
    """Simulate a burst; return the shares in time and served at all.

    Args:
        rate: requests per second over all entries.
        entries: number of entries; each request goes to a random one.
        engines: number of engines.
        seconds: length of the burst.
        seed: seed of the random requests.
        with_correction: whether entries correct predicted delays.
    """
    rng = random.Random(seed)
    upstreams = [
        catalogs.Upstream(
            f'u{n}', 'engines', (f'10.0.0.{n}', 80), 'a', slots=16
        )
        for n in range(engines)
    ]
    engines_by_id = {u.id: SharedEngine(u) for u in upstreams}
    all_entries = [Entry(with_correction) for _ in range(entries)]
    order = itertools.count()
    events, sent_requests = [], []
    for now, tokens, answer in simulation.make_requests(rate, seconds, rng):
        heapq.heappush(events, (now, next(order), 'arrival', (tokens, answer)))
    while events:
        now, _, kind, payload = heapq.heappop(events)
        if kind == 'arrival':
            job = dispatch.Job(*payload)
            entry = rng.choice(all_entries)
            found = entry.send(upstreams, job, now)
            engine = engines_by_id[found.upstream.id]
            request = simulation.Request(now, job, *payload)
            sent = SentRequest(request, entry, engine, found.delay_s)
            engine.sent_requests[request] = sent
            sent_requests.append(sent)
            if not engine.running and not engine.waiting:
                heapq.heappush(events, (now, next(order), 'pass', engine))
            engine.enqueue(request, now)
            leaves_at = now + PATIENCE_S
            heapq.heappush(
                events, (leaves_at, next(order), 'disconnect', sent)
            )
        elif kind == 'pass':
            if payload.running or payload.waiting:
                end = payload.run_pass(now)
                heapq.heappush(events, (end, next(order), 'pass', payload))
        else:
            payload.engine.disconnect(payload, now)
    in_time = [c for c in sent_requests if (c.request.first_s or 9) <= GOAL_S]
    served = [c for c in sent_requests if c.is_served]
    return len(in_time) / len(sent_requests), len(served) / len(sent_requests)
