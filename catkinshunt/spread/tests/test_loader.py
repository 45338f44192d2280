import asyncio
import math

from catkinshunt import spread
from catkinshunt.spread import _loader
from catkinshunt.spread import _progress
from catkinshunt.spread.tests import fakes


class Outlook:
    """Tells the time, and when engines with the old version end."""

    def __init__(self, clock, due_at):
        self.now = clock
        self.due_at = due_at

    def superseded_at(self, model, version):
        return self.due_at


class Engine:
    """A loader beside a fake engine, at a time that the test sets."""

    def __init__(self, version=1, wave=0, due_in_s=5.0):
        self.time = 50.0
        self.engine = fakes.FakeEngine(version)
        self.door = fakes.FakeDoor()
        self.chunk_store = spread.ChunkStore(fakes.MODEL, 2)
        self.chunk_store.describe(fakes.manifest(2))
        self.loader = _loader.Loader(
            self.engine,
            Outlook(self.clock, self.time + due_in_s),
            self.door,
            self.clock,
            asyncio.Lock(),
        )
        self.loader.set_wave(2, wave)

    def clock(self):
        return self.time

    def fill(self):
        for index in range(fakes.CHUNKS):
            self.chunk_store.put(index, fakes.chunk(2, index))

    async def step(self, whole_in_s=0.0, newer_whole_in_s=math.inf):
        report = await self.engine.report()
        self.loader.note(report)
        if report.versions.get(fakes.MODEL, 0) >= 2:
            return
        await self.loader.step(
            report, self.chunk_store, whole_in_s, newer_whole_in_s
        )

    def closes_in_s(self):
        """Return when the door closes by the last word, or None."""
        told = [one for one in self.door.told if one[0] in ('close', 'open')]
        return told[-1][1] if told and told[-1][0] == 'close' else None


def test_an_engine_runs_empty_while_the_version_is_on_its_way():
    """Its turn comes with the last chunk.

    Long answers that begin right before keep it from loading for seconds,
    and it takes nothing new meanwhile.
    """

    async def main():
        found = Engine()
        await found.step(whole_in_s=0.8)
        return found.closes_in_s(), found.engine.orders

    closes_in_s, orders = asyncio.run(main())
    assert closes_in_s == 0.8 + _loader.EMPTYING_S
    assert orders == []


def test_a_loaded_engine_takes_requests_again():
    async def main():
        found = Engine()
        found.fill()
        await found.step()
        await found.step()
        return found.engine.orders, found.door.told[-1]

    orders, told = asyncio.run(main())
    assert orders == [2]
    assert told == ('open',)


def test_the_last_group_leaves_out_a_version_that_is_soon_replaced():
    """Two versions are named four seconds apart.

    All engines have the second one when the first is due, and would have to
    load it in the second that is left: nobody serves meanwhile.
    """

    async def main(newer_whole_in_s):
        found = Engine(wave=_loader.WAVES - 1, due_in_s=0.5)
        found.fill()
        await found.step(newer_whole_in_s=newer_whole_in_s)
        found.time += 0.6
        await found.step(newer_whole_in_s=newer_whole_in_s - 0.6)
        return found.engine.orders, found.closes_in_s()

    assert asyncio.run(main(3.0)) == ([], None)
    orders, _ = asyncio.run(main(6.0))
    assert orders == [2]


def test_a_version_left_out_is_loaded_when_the_newer_one_does_not_come():
    """The origin went away in the middle of the newer version.

    The engine would stand idle until it is back, with a version that it
    could serve.
    """

    async def main():
        found = Engine(wave=_loader.WAVES - 1, due_in_s=0.5)
        found.fill()
        await found.step(newer_whole_in_s=2.0)
        found.time += 3.0
        await found.step(newer_whole_in_s=4.0)
        return found.engine.orders

    assert asyncio.run(main()) == [2]


def test_an_engine_that_holds_nothing_is_loaded_as_soon_as_it_can_be():
    async def main():
        found = Engine(version=0, wave=_loader.WAVES - 1)
        found.fill()
        await found.step(newer_whole_in_s=1.0)
        return found.engine.orders

    assert asyncio.run(main()) == [2]


def test_an_engine_is_not_emptied_for_a_transfer_that_stands_still():
    """One source has a narrow link, and the last chunks come through it.

    By the share that is missing the version would be whole in a moment, and
    all engines refuse what they could answer until then.
    """
    progress = _progress.Progress()
    for step in range(5):
        progress.see(0.5 - 0.1 * step, now=0.25 * step)
    assert progress.end_in_s(now=1.0) < 0.3
    for step in range(5):
        progress.see(0.1, now=1.25 + 0.25 * step)
    assert progress.end_in_s(now=2.25) > 10
