"""Settings of an experiment, the scenario that it plays."""

import attrs

from catkinshunt import settings

#: Seconds at the begin that are left out of the figures; the engines fill up
#: in them.
WARM_S = 12.0
#: Longest play, in seconds.
MOST_SECONDS = 3600.0
#: Most entries, engines, or slots of an engine.
MOST_PARTS = 1000
#: Highest offered load, in parts of the capacity.
MOST_LOAD = 10.0


def _differ(values):
    return bool(values) and len(set(values)) == len(values)


def _are_seeds(values):
    # `random.Random` takes a seed without its sign.
    return _differ(values) and min(values) >= 0


def _are_loads(values):
    return _differ(values) and 0 < min(values) and max(values) <= MOST_LOAD


@attrs.frozen(kw_only=True)
class SlowEngines:
    """Engines that work slower for a while.

    Attributes:
        share: share of the engines that do; one at least.
        factor: how many times as long their work takes.
        from_s: when they become slow.
        to_s: when they are as fast as before.
    """

    share: float = settings.make_field(
        'a number above 0, at most 1', lambda value: 0 < value <= 1
    )
    factor: float = settings.make_field(
        'a number above 1, at most 100', lambda value: 1 < value <= 100
    )
    from_s: float = settings.make_field(
        'a number of seconds, 0 or above', lambda value: value >= 0
    )
    to_s: float = settings.positive_number('seconds')

    def count(self, engines):
        """Return how many of `engines` are slow."""
        return max(1, round(self.share * engines))


@attrs.frozen(kw_only=True)
class ExperimentSettings:
    """What an experiment plays.

    Attributes:
        name: title of the experiment.
        seeds: each load is played once with each.
        entries: number of entries.
        engines: number of engines.
        slots: requests that an engine works on at once.
        loads: offered loads, in parts of what the engines can answer.
        seconds: length of each play, in virtual time.
        slow_engines: `SlowEngines`, or None.
    """

    name: str = settings.text()
    seeds: list[int] = settings.make_field(
        'a list of different whole numbers, 0 or above', _are_seeds
    )
    entries: int = settings.count(1, MOST_PARTS)
    engines: int = settings.count(1, MOST_PARTS)
    slots: int = settings.count(1, MOST_PARTS)
    loads: list[float] = settings.make_field(
        'a list of different parts of the capacity, each above 0, '
        f'at most {MOST_LOAD:g}',
        _are_loads,
    )
    seconds: float = settings.make_field(
        f'a number of seconds above {WARM_S:g}, at most {MOST_SECONDS:g}',
        lambda value: WARM_S < value <= MOST_SECONDS,
    )
    slow_engines: SlowEngines | None = None

    def check(self):
        """Yield (field, given, allowed) for fields that do not fit."""
        slow = self.slow_engines
        if slow is None:
            return
        if slow.from_s >= self.seconds:
            allowed = f'a time before the end at {self.seconds:g}'
            yield 'slow_engines.from_s', f'{slow.from_s:g}', allowed
        if slow.to_s <= slow.from_s:
            allowed = f'a time after from_s, {slow.from_s:g}'
            yield 'slow_engines.to_s', f'{slow.to_s:g}', allowed
