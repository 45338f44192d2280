"""Engines in virtual time, and a burst of requests before them."""

import heapq
import random

import attrs

from catkinshunt import catalog as catalogs
from catkinshunt import dispatch

ENGINE = catalogs.EngineProfile(
    slots=16,
    step_s=0.0093,
    prefill_tokens_per_s=20700.0,
    steps_per_pass=5,
    mean_prompt_tokens=979,
    mean_output_tokens=92,
)
CHUNK_TOKENS = 2048
GOAL_S = 0.45


@attrs.define(eq=False)
class Request:
    """A request in an engine.

    Attributes:
        unread: prompt tokens that are not read yet.
        unwritten: tokens of the answer that are not made yet.
    """

    arrived_at: float
    job: dispatch.Job
    unread: int
    unwritten: int
    first_s: float | None = None


class SimulatedEngine:
    """Works in passes: reads prompts in order, then steps for all writers."""

    def __init__(self, upstream, state):
        self.upstream = upstream
        self.state = state
        self.running, self.waiting = [], []
        self.free_at = 0.0

    def take(self, request, now):
        """Take a request, before late ones; idle engines begin at once."""
        at = len(self.waiting)
        while at and self.waiting[at - 1].job.rank > request.job.rank:
            at -= 1
        self.waiting.insert(at, request)
        self.free_at = max(self.free_at, now)

    def work(self, now):
        """Make one pass that begins at `now`; return when it ends."""
        while self.waiting and len(self.running) < ENGINE.slots:
            self.running.append(self.waiting.pop(0))
        left = CHUNK_TOKENS * ENGINE.steps_per_pass
        for request in self.running:
            read = min(left, request.unread)
            request.unread -= read
            left -= read
        read_tokens = CHUNK_TOKENS * ENGINE.steps_per_pass - left
        writers = [r for r in self.running if not r.unread]
        end = now + read_tokens / ENGINE.prefill_tokens_per_s
        end += ENGINE.steps_per_pass * ENGINE.step_s if writers else 0.0
        for request in writers:
            self._write(request, end)
        self.state.receive(end)
        return end

    def _write(self, request, end):
        if request.first_s is None:
            request.first_s = end - request.arrived_at
            request.job.answering = True
        request.unwritten -= ENGINE.steps_per_pass
        if request.unwritten <= 0:
            self.running.remove(request)
            self.state.end(request.job)


class LeastJobs:
    """The baseline: the upstream with the fewest own jobs."""

    def choose(self, upstreams, tracker, engine, job, now):
        """See `dispatch.Chooser.choose`."""
        best = min(upstreams, key=lambda u: len(tracker.state(u).jobs))
        return dispatch.Candidate(best, tracker.state(best), 0.0, 0.0)


def make_requests(rate, seconds, rng):
    """Return requests of a burst: many short prompts and some long ones."""
    now, found = 0.0, []
    while now < seconds:
        now += rng.expovariate(rate)
        tokens = int(min(3880, rng.lognormvariate(6.4, 1.0)))
        answer = int(min(250, rng.lognormvariate(4.2, 0.8)))
        found.append((now, tokens, answer))
    return found


def play(chooser, rate, engines=5, seconds=20.0, seed=3, ranks=True):
    """Play a burst; return the share of first tokens within the goal.

    Args:
        chooser: what chooses an engine for each request.
        rate: requests a second.
        engines: number of engines.
        seconds: length of the burst.
        seed: decides the requests.
        ranks: whether requests that are likely to be late go behind.
    """
    upstreams = [
        catalogs.Upstream(
            f'u{n}', 'engines', (f'10.0.0.{n}', 80), 'a', slots=16
        )
        for n in range(engines)
    ]
    tracker = dispatch.UpstreamTracker()
    machines = {u.id: SimulatedEngine(u, tracker.state(u)) for u in upstreams}
    done, passes = [], []
    arrivals = make_requests(rate, seconds, random.Random(seed))
    for now, tokens, answer in arrivals:
        _work_until(passes, machines, now)
        job = dispatch.Job(tokens, answer)
        found = chooser.choose(upstreams, tracker, ENGINE, job, now)
        if ranks and found.delay_s > GOAL_S:
            job.rank = dispatch.Rank.LATE
        found.state.begin(job, now)
        request = Request(now, job, tokens, answer)
        machine = machines[found.upstream.id]
        if not machine.running and not machine.waiting:
            heapq.heappush(passes, (now, machine.upstream.id))
        machine.take(request, now)
        done.append(request)
    _work_until(passes, machines, seconds + 60.0)
    in_time = [r for r in done if r.first_s and r.first_s <= GOAL_S]
    return len(in_time) / len(done)


def _work_until(passes, machines, until):
    while passes and passes[0][0] <= until:
        now, name = heapq.heappop(passes)
        machine = machines[name]
        if machine.running or machine.waiting:
            heapq.heappush(passes, (machine.work(now), name))
