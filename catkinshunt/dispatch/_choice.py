"""Choice of the upstream with the least predicted delay."""

import functools

import attrs

from catkinshunt import base
from catkinshunt.dispatch import _state
from catkinshunt import rendezvous

#: Seconds added to the delay of an upstream in another data centre of the same
#: region, and in another or an unknown region. Traffic between data centres
#: costs more than a short wait.
OTHER_DATA_CENTRE_PENALTY_S = 0.06
OTHER_REGION_PENALTY_S = 0.09
#: Seconds added at a failure rate of 1. One failure in five outweighs an
#: engine whose slots are all in use.
FAILURE_PENALTY_S = 4.0
#: Seconds added for a paused or unresponsive upstream, so that it gets
#: requests only where all others are paused or unresponsive too.
PAUSED_PENALTY_S = 30.0
UNRESPONSIVE_PENALTY_S = 60.0
#: Assumed seconds per request at a plain service. Only the resulting order
#: of upstreams matters.
PLAIN_REQUEST_S = 0.05
#: Passes of a full engine from a free slot to the first token of the request
#: that gets it: half of the current pass, its own, and the prefills of other
#: requests beside it.
FIRST_TOKEN_PASSES = 3.0
#: Prefills of other requests per decoding pass, for `occupancy_s`. With too
#: high a number, requests to an engine that is to load a version are rejected
#: although they would have finished before.
PREFILLS_PER_PASS = 0.3
#: Cached rendezvous scores, one per upstream.
SCORE_CACHE_SIZE = 1 << 14

_score = functools.lru_cache(maxsize=SCORE_CACHE_SIZE)(rendezvous.score)


@attrs.frozen
class Candidate:
    """An upstream with its predicted delay.

    Attributes:
        upstream: `catalog.Upstream`.
        state: its `UpstreamState`.
        delay_s: predicted seconds until the first byte of the answer.
        cost_s: `delay_s` plus penalties for distance, failures and pauses.
    """

    upstream: object
    state: object
    delay_s: float
    cost_s: float


def predict_delay_s(state, engine, slots, job, now):
    """Return the predicted seconds until the first byte for `job`.

    An engine prefills the prompts in order of arrival and then makes a
    decoding pass; requests beyond its slots wait until others end. A request
    that is predicted to miss the goal of its service, the target time to the
    first byte, is sent with `Rank.LATE` (see `DelayCorrector.rank`), so that
    past capacity the others are in time.

    Args:
        state: `UpstreamState`.
        engine: `catalog.EngineProfile`, or None for a plain service.
        slots: requests that the upstream processes concurrently.
        job: `Job` that is to be sent.
        now: seconds on the monotonic clock.
    """
    # If this request is not late, late ones that have not started are queued
    # behind it; the prediction assumes so.
    preceding = [
        other
        for other in state.jobs
        if other.reply_started or other.rank < _state.Rank.LATE
    ]
    others = state.other_requests(now)
    count = len(preceding) + state.pending_permit_requests + others
    if engine is None:
        return PLAIN_REQUEST_S * (1 + max(0.0, count + 1 - slots) / slots)
    prefill_tokens = sum(
        other.tokens_in for other in preceding if not other.reply_started
    )
    waiting = state.load.waiting if state.load and others else 0
    prefill_tokens += min(waiting, others) * engine.mean_prompt_tokens
    total_prefill_s = (
        prefill_tokens + job.tokens_in
    ) / engine.prefill_tokens_per_s
    step_s = engine.step_s + engine.step_s_per_request * min(count, slots)
    pass_s = engine.steps_per_pass * step_s
    excess = max(0.0, count + 1 - slots)
    # The sum of the prefills, a pass that grows with the share of slots in
    # use, and the wait for a slot where requests exceed the slots.
    answer_s = engine.mean_output_tokens * step_s * 1.5
    return (
        total_prefill_s
        + pass_s * (1 + count / slots)
        + excess * answer_s / slots
    )


def first_token_s(engine, job):
    """Return the seconds from a free slot at a full engine to the first token.

    The current pass ends first; then the prompt is prefilled, with those of
    requests admitted at the same time, and the next pass is made.

    For a request that waits for a permit: unlike `predict_delay_s`, it takes
    the engine to be full and leaves out the wait for the slot.

    Args:
        engine: `catalog.EngineProfile`.
        job: `Job` that is to be sent.
    """
    return prefill_s(engine, job) + FIRST_TOKEN_PASSES * _full_pass_s(engine)


def prefill_s(engine, job):
    """Return the seconds that an engine takes to prefill `job`."""
    return job.tokens_in / engine.prefill_tokens_per_s


def occupancy_s(engine, job):
    """Return the predicted seconds for which `job` occupies a slot.

    The engine is taken to be full.

    Args:
        engine: `catalog.EngineProfile`.
        job: `Job` that is to be sent.
    """
    tokens = job.tokens_out or engine.mean_output_tokens
    passes = tokens / engine.steps_per_pass
    pass_s = _full_pass_s(engine) + PREFILLS_PER_PASS * (
        engine.mean_prompt_tokens / engine.prefill_tokens_per_s
    )
    return first_token_s(engine, job) + passes * pass_s


def _full_pass_s(engine):
    step_s = engine.step_s + engine.step_s_per_request * engine.slots
    return engine.steps_per_pass * step_s


class Chooser(base.ParamsMixin):
    """Chooses the upstream of a service with the least cost for a request.

    Ties are broken by rendezvous hashing of the process name. With one order
    for all processes, each of which has counts of few of the others' requests,
    all would choose the same few upstreams while the rest are idle.

    Args:
        data_centre: data centre of this process.
        regions: region by data centre.
        name: name of this process.
    """

    def __init__(self, data_centre, regions, name=''):
        self.data_centre = data_centre
        self.regions = regions
        self.name = name

    def choose(self, upstreams, tracker, engine, job, now, avoid=()):
        """Return the `Candidate` with the least cost, or None.

        Args:
            upstreams: `catalog.Upstream` objects that may take the request.
            tracker: `UpstreamTracker`.
            engine: profile of the service's engines, or None.
            job: `Job` that is to be sent.
            now: seconds on the monotonic clock.
            avoid: keys of upstreams to leave out.
        """
        return min(
            (
                self._evaluate(upstream, tracker, engine, job, now)
                for upstream in upstreams
                if upstream.key not in avoid
            ),
            key=lambda found: (
                found.cost_s,
                _score(self.name, found.upstream.id),
            ),
            default=None,
        )

    def _evaluate(self, upstream, tracker, engine, job, now):
        state = tracker.state(upstream)
        delay_s = predict_delay_s(state, engine, upstream.slots, job, now)
        cost_s = delay_s + self._distance_penalty_s(upstream)
        cost_s += FAILURE_PENALTY_S * state.failure_rate(now)
        if state.is_paused(now, upstream.versions):
            cost_s += PAUSED_PENALTY_S
        if state.is_unresponsive(now):
            cost_s += UNRESPONSIVE_PENALTY_S
        return Candidate(upstream, state, delay_s, cost_s)

    def _distance_penalty_s(self, upstream):
        there = upstream.data_centre
        if there == self.data_centre:
            return 0.0
        here = self.regions.get(self.data_centre)
        if here is not None and self.regions.get(there) == here:
            return OTHER_DATA_CENTRE_PENALTY_S
        return OTHER_REGION_PENALTY_S
