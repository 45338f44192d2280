"""Choice of the upstream that is likely to answer first."""

import functools

import attrs

from catkinshunt import base
from catkinshunt.dispatch import _state
from catkinshunt import rendezvous

#: Seconds that an upstream elsewhere must be ahead to get the work. Bytes
#: between data centres cost more than a short wait.
OTHER_DATA_CENTRE_S = 0.06
OTHER_REGION_S = 0.09
#: Seconds that a rate of failures of 1 counts for; one fifth of failures
#: outweighs a full engine.
FAILURE_S = 4.0
#: Seconds that a pause or silence counts for: such an upstream gets work
#: only where all others are as bad.
PAUSED_S = 30.0
SILENT_S = 60.0
#: Time that one request takes at a plain service, in seconds, where nothing
#: is known of it; only the order matters.
PLAIN_WORK_S = 0.05
#: Passes of a full engine until the first token of a request that just got
#: room: half of the one under way, its own, and what others read beside it.
FIRST_TOKEN_PASSES = 3.0
#: Prompts that are read beside a pass of an engine while an answer lasts.
#: Taken too high, an engine that is to load refuses answers that would have
#: ended before.
READS_PER_PASS = 0.3
#: Upstreams whose place in the order of a process is kept.
KEPT_SCORES = 1 << 14

_score = functools.lru_cache(maxsize=KEPT_SCORES)(rendezvous.score)


@attrs.frozen
class Candidate:
    """An upstream with the seconds that it is likely to take.

    Attributes:
        delay_s: time until the first byte of the answer.
        cost_s: delay with what distance and failures count for.
    """

    upstream: object
    state: object
    delay_s: float
    cost_s: float


def predict_delay_s(state, engine, slots, job, now):
    """Return the likely seconds until `job` gets its first byte.

    An engine reads the prompts that came before, then this one, then makes
    a pass; beyond its slots, requests wait for others to end. The caller
    ranks a request late that is likely to miss its goal, so that past
    capacity the others are in time.

    Args:
        state: `UpstreamState`.
        engine: `catalog.EngineProfile`, or None for a plain service.
        slots: requests that the upstream works on at once.
        job: `Job` that is to be sent.
        now: seconds on the steady clock.
    """
    # A late one that has not begun waits behind this one.
    ahead = [
        other
        for other in state.jobs
        if other.answering or other.rank < _state.Rank.LATE
    ]
    others = state.others(now)
    count = len(ahead) + state.asking + others
    if engine is None:
        return PLAIN_WORK_S * (1 + max(0.0, count + 1 - slots) / slots)
    unread = sum(other.tokens_in for other in ahead if not other.answering)
    waiting = state.load.waiting if state.load and others else 0
    unread += min(waiting, others) * engine.mean_prompt_tokens
    prefill_s = (unread + job.tokens_in) / engine.prefill_tokens_per_s
    step_s = engine.step_s + engine.step_s_per_request * min(count, slots)
    pass_s = engine.steps_per_pass * step_s
    over = max(0.0, count + 1 - slots)
    answer_s = engine.mean_output_tokens * step_s * 1.5
    return prefill_s + pass_s * (1 + count / slots) + over * answer_s / slots


def first_token_s(engine, job):
    """Return the seconds to the first token once a full engine has room.

    The pass that is under way ends first; then the prompt is read, with
    those of others that came beside it, and the next pass is made.

    Args:
        engine: `catalog.EngineProfile`.
        job: `Job` that is to be sent.
    """
    return prefill_s(engine, job) + FIRST_TOKEN_PASSES * _full_pass_s(engine)


def prefill_s(engine, job):
    """Return the seconds that an engine takes to read the prompt of `job`."""
    return job.tokens_in / engine.prefill_tokens_per_s


def occupancy_s(engine, job):
    """Return the seconds for which `job` is likely to hold a full engine.

    Args:
        engine: `catalog.EngineProfile`.
        job: `Job` that is to be sent.
    """
    tokens = job.tokens_out or engine.mean_output_tokens
    passes = tokens / engine.steps_per_pass
    pass_s = _full_pass_s(engine) + READS_PER_PASS * (
        engine.mean_prompt_tokens / engine.prefill_tokens_per_s
    )
    return first_token_s(engine, job) + passes * pass_s


def _full_pass_s(engine):
    step_s = engine.step_s + engine.step_s_per_request * engine.slots
    return engine.steps_per_pass * step_s


class Chooser(base.ParamsMixin):
    """Orders the upstreams of a service for one request.

    Upstreams that seem alike are taken in an order of this process alone. In
    one order for all, many processes that each know little of the others'
    requests would choose the same few upstreams while the rest are idle.

    Args:
        data_centre: where this process stands.
        regions: region by data centre.
        name: name of this process.
    """

    def __init__(self, data_centre, regions, name=''):
        self.data_centre = data_centre
        self.regions = regions
        self.name = name

    def choose(self, upstreams, tracker, engine, job, now, avoid=()):
        """Return the best `Candidate`, or None.

        Args:
            upstreams: `catalog.Upstream` that may take the request.
            tracker: `UpstreamTracker`.
            engine: profile of the service's engines, or None.
            job: `Job` that is to be sent.
            now: seconds on the steady clock.
            avoid: keys of upstreams that were tried already.
        """
        return min(
            (
                self._rate(upstream, tracker, engine, job, now)
                for upstream in upstreams
                if upstream.key not in avoid
            ),
            key=lambda found: (
                found.cost_s,
                _score(self.name, found.upstream.id),
            ),
            default=None,
        )

    def _rate(self, upstream, tracker, engine, job, now):
        state = tracker.state(upstream)
        delay_s = predict_delay_s(state, engine, upstream.slots, job, now)
        cost_s = delay_s + self._distance_s(upstream)
        cost_s += FAILURE_S * state.failure_rate(now)
        if state.is_paused(now, upstream.versions):
            cost_s += PAUSED_S
        if state.is_unresponsive(now):
            cost_s += SILENT_S
        return Candidate(upstream, state, delay_s, cost_s)

    def _distance_s(self, upstream):
        there = upstream.data_centre
        if there == self.data_centre:
            return 0.0
        here = self.regions.get(self.data_centre)
        if here is not None and self.regions.get(there) == here:
            return OTHER_DATA_CENTRE_S
        return OTHER_REGION_S
