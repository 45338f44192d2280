"""Plays an experiment and sums up what came of it."""

import functools
import itertools
import random

import attrs

from standins.experiment import _callers
from standins.experiment import _engines
from standins.experiment import _entries
from standins.experiment import _play
from standins.experiment import _results
from standins.experiment import _settings

#: Seconds at the begin in which at most half of the capacity is asked for.
CALM_S = 9.0
CALM_PART = 0.5
#: Requests a second of the sample that the capacity is worked out from.
SAMPLE_RATE = 50.0


@attrs.frozen
class Result:
    """What came of one offered load, over all seeds.

    Attributes:
        load: offered load, in parts of the capacity.
        requests: requests that count.
        in_time: share answered, the first token within its goal.
        late: share answered later.
        refused: share refused for good.
        left: share whose callers left, or whose time was over.
        bound: share that a scheduler that knows all could answer in time.
    """

    load: float
    requests: int
    in_time: float
    late: float
    refused: float
    left: float
    bound: float


def measure(cfg, part, make_entry=_entries.AskingEntry, note=None):
    """Play one offered load with each seed.

    Args:
        cfg: `ExperimentSettings`.
        part: offered load, in parts of the capacity.
        make_entry: class of the entries.
        note: function that is called after each play, or None.

    Returns:
        The `Result`.
    """
    profile = attrs.evolve(_engines.PROFILE, slots=cfg.slots)
    requests, bound = [], 0.0
    for seed in cfg.seeds:
        played = _play.play(
            _play.Scenario(
                _make_load(cfg, part, seed, profile),
                cfg.entries,
                cfg.engines,
                make_entry,
                faults=tuple(_faults(cfg)),
                seed=seed,
                profile=profile,
            )
        )
        counted = [
            r for r in played if _settings.WARM_S <= r.born < cfg.seconds
        ]
        requests += counted
        bound += _answerable(cfg, counted, profile)
        if note is not None:
            note()
    summary = _results.summarize(requests)
    return Result(
        load=part,
        requests=len(requests),
        in_time=summary.in_time,
        late=summary.late,
        refused=summary.refused,
        left=summary.left,
        bound=bound / (len(requests) or 1),
    )


def _make_load(cfg, part, seed, profile):
    """Return the load of one play."""
    sample = _callers.draw(
        _callers.Load(lambda now: SAMPLE_RATE, cfg.seconds),
        random.Random(seed),
    )
    most = _results.capacity(sample, cfg.engines, profile)
    calm = min(CALM_PART, part)
    return _callers.Load(
        lambda now: most * (calm if now < CALM_S else part), cfg.seconds
    )


def _faults(cfg):
    """Yield the faults of a play."""
    slow = cfg.slow_engines
    if slow is None:
        return

    def work_at(slowness, play):
        engines = itertools.islice(
            play.engines.values(), slow.count(cfg.engines)
        )
        for engine in engines:
            engine.slowness = slowness

    yield slow.from_s, functools.partial(work_at, slow.factor)
    yield slow.to_s, functools.partial(work_at, 1.0)


def _answerable(cfg, requests, profile):
    """Return how many requests could be answered in time.

    While some engines are slow there is less of them, so the spans before,
    in and after that time are looked at one by one.
    """
    cuts = {_settings.WARM_S, cfg.seconds}
    slow = cfg.slow_engines
    if slow is not None:
        cuts |= {
            when
            for when in (slow.from_s, slow.to_s)
            if _settings.WARM_S < when < cfg.seconds
        }
    found = 0.0
    for begin, end in itertools.pairwise(sorted(cuts)):
        engines = cfg.engines
        if slow is not None and slow.from_s <= begin < slow.to_s:
            engines -= slow.count(cfg.engines) * (1 - 1 / slow.factor)
        chosen = [r for r in requests if begin <= r.born < end]
        found += _results.answerable(chosen, engines, end - begin, profile)
    return found
