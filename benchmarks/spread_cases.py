"""Replays of a version that spreads to many members, in virtual time.

``python -m benchmarks.spread_cases`` prints a JSON line for each case: the
time of the last member that had no fault, in times of one copy over a link,
and the copies that the origin sent.
"""

import asyncio
import json
import random

import attrs
import loguru

from catkinshunt.spread.tests import swarm
from catkinshunt.spread.tests import test_swarm

LARGE = test_swarm.THREE_DATA_CENTRES
HUNDRED = test_swarm.FIVE_DATA_CENTRES
SMALL = swarm.Scale({'a': 2, 'b': 2, 'c': 2}, origin_mbps=7.3)
#: Times of one copy after which a case ends, whole or not.
MOST_TIMES = 6.0
#: Decides which members one does not know.
SEED = 1


@attrs.frozen
class Case:
    """What goes wrong while a version spreads.

    Attributes:
        scale: `swarm.Scale`.
        members: numbers of the members that have a fault.
        away_s: seconds after which they begin.
        answering: they live until then, and are not dead.
        narrow: share of their links that is left to them.
        origin_away: pair of begin and length in seconds, or None.
        missed: other members that each one does not know.
    """

    scale: swarm.Scale
    members: tuple = ()
    away_s: float = 0.0
    answering: bool = False
    narrow: float = 1.0
    origin_away: tuple | None = None
    missed: int = 0


CASES = {
    'none': Case(LARGE),
    '5 of 31 dead': Case(LARGE, (3, 4, 10, 13, 22), away_s=0.8),
    '12 of 31 dead': Case(LARGE, tuple(range(0, 31, 3)), away_s=0.8),
    '8 of 43 late': Case(
        test_swarm.GROWN,
        test_swarm.LATE,
        away_s=LARGE.copy_s,
        answering=True,
    ),
    '3 of 31 narrow': Case(LARGE, (4, 14, 24), narrow=0.25),
    'origin away': Case(LARGE, origin_away=(2.5, 6.0)),
    '76, none': Case(HUNDRED),
    '76, origin away': Case(HUNDRED, origin_away=(2.5, 6.0)),
    '76, lists differ': Case(HUNDRED, missed=1),
    '6, none': Case(SMALL),
    '6, 2 dead': Case(SMALL, (0, 3), away_s=0.8),
    '6, 1 narrow': Case(SMALL, (0,), narrow=0.25),
}


def play(case):
    """Return (link times of the last sound member, copies of the origin)."""

    async def day():
        fault = test_swarm.Fault(case.scale, case.members)
        fault.narrow(case.narrow)
        rng = random.Random(SEED)
        names = [member.name for member in fault.swarm.members]
        fault.swarm.missed = {
            name: rng.sample(names, case.missed) for name in names
        }
        origin = asyncio.ensure_future(_take_origin(fault.swarm, case))
        await fault.name(case.away_s, case.answering)
        await fault.swarm.wait(MOST_TIMES * case.scale.copy_s)
        origin.cancel()
        return fault

    fault = swarm.play(day)
    instances = [
        b for b in fault.swarm.instances.values() if b not in fault.instances
    ]
    ends_s = [box.completed_at or float('inf') for box in instances]
    times = min(max(ends_s) / case.scale.copy_s, MOST_TIMES)
    return round(times, 2), round(fault.swarm.origin_copies, 2)


async def _take_origin(found, case):
    if case.origin_away is None:
        return
    begin_s, length_s = case.origin_away
    await asyncio.sleep(begin_s)
    found.origin_down = True
    await asyncio.sleep(length_s)
    found.origin_down = False


def main():
    """Print the figures of all cases."""
    # Each transfer that lasts writes a line a second.
    loguru.logger.remove()
    figures = {name: play(case) for name, case in CASES.items()}
    print(json.dumps(figures))


if __name__ == '__main__':
    main()
