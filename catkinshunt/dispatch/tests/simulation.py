"""Simulation of engines under a burst of requests, in virtual time."""

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
    """A request at an engine.

    Attributes:
        remaining_prompt: prompt tokens without prefill.
        remaining_output: tokens of the answer that are not decoded.
        first_s: seconds until the first token; None before it.
    """

    arrived_at: float
    job: dispatch.Job
    remaining_prompt: int
    remaining_output: int
    first_s: float | None = None


class SimulatedEngine:
    """Prefills prompts in order and decodes all other requests, in passes."""

    def __init__(self, upstream, state):
        self.upstream = upstream
        self.state = state
        self.running, self.waiting = [], []
        self.free_at = 0.0

    def enqueue(self, request, now):
        """Enqueue a request by its rank; an idle engine starts at once."""
        at = len(self.waiting)
        while at and self.waiting[at - 1].job.rank > request.job.rank:
            at -= 1
        self.waiting.insert(at, request)
        self.free_at = max(self.free_at, now)

    def run_pass(self, now):
        """Run one pass that starts at `now`; return when it ends."""
        while self.waiting and len(self.running) < ENGINE.slots:
            self.running.append(self.waiting.pop(0))
        left = CHUNK_TOKENS * ENGINE.steps_per_pass
        for request in self.running:
            read = min(left, request.remaining_prompt)
            request.remaining_prompt -= read
            left -= read
        read_tokens = CHUNK_TOKENS * ENGINE.steps_per_pass - left
        decoding = [r for r in self.running if not r.remaining_prompt]
        end = now + read_tokens / ENGINE.prefill_tokens_per_s
        end += ENGINE.steps_per_pass * ENGINE.step_s if decoding else 0.0
        for request in decoding:
            self._decode(request, end)
        self.state.receive(end)
        return end

    def _decode(self, request, end):
        if request.first_s is None:
            request.first_s = end - request.arrived_at
            request.job.reply_started = True
        request.remaining_output -= ENGINE.steps_per_pass
        if request.remaining_output <= 0:
            self.running.remove(request)
            self.state.end(request.job)


class FewestJobsChooser:
    """Baseline: chooses the upstream with the fewest jobs of its own."""

    def choose(self, upstreams, tracker, engine, job, now):
        """See `dispatch.Chooser.choose`."""
        best = min(upstreams, key=lambda u: len(tracker.state(u).jobs))
        return dispatch.Candidate(best, tracker.state(best), 0.0, 0.0)


def make_requests(rate, seconds, rng):
    """Return the requests of a burst: many short prompts, some long ones."""
    now, found = 0.0, []
    while now < seconds:
        now += rng.expovariate(rate)
        tokens = int(min(3880, rng.lognormvariate(6.4, 1.0)))
        answer = int(min(250, rng.lognormvariate(4.2, 0.8)))
        found.append((now, tokens, answer))
    return found


def simulate(chooser, rate, engines=5, seconds=20.0, seed=3, ranks=True):
    """Simulate a burst; return the share of first tokens within the goal.

    Args:
        chooser: a `dispatch.Chooser` or a baseline.
        rate: requests per second.
        engines: number of engines.
        seconds: length of the burst.
        seed: seed of the random requests.
        ranks: whether requests that are predicted late get a lower rank.
    """
    upstreams = [
        catalogs.Upstream(
            f'u{n}', 'engines', (f'10.0.0.{n}', 80), 'a', slots=16
        )
        for n in range(engines)
    ]
    tracker = dispatch.UpstreamTracker()
    engines_by_id = {
        u.id: SimulatedEngine(u, tracker.state(u)) for u in upstreams
    }
    done, passes = [], []
    arrivals = make_requests(rate, seconds, random.Random(seed))
    for now, tokens, answer in arrivals:
        _run_until(passes, engines_by_id, now)
        job = dispatch.Job(tokens, answer)
        found = chooser.choose(upstreams, tracker, ENGINE, job, now)
        if ranks and found.delay_s > GOAL_S:
            job.rank = dispatch.Rank.LATE
        found.state.begin(job, now)
        request = Request(now, job, tokens, answer)
        engine = engines_by_id[found.upstream.id]
        if not engine.running and not engine.waiting:
            heapq.heappush(passes, (now, engine.upstream.id))
        engine.enqueue(request, now)
        done.append(request)
    _run_until(passes, engines_by_id, seconds + 60.0)
    in_time = [r for r in done if r.first_s and r.first_s <= GOAL_S]
    return len(in_time) / len(done)


def _run_until(passes, engines_by_id, until):
    while passes and passes[0][0] <= until:
        now, name = heapq.heappop(passes)
        engine = engines_by_id[name]
        if engine.running or engine.waiting:
            heapq.heappush(passes, (engine.run_pass(now), name))
