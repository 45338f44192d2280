import asyncio
import math

from catkinshunt import spread
from catkinshunt.spread import _loader
from catkinshunt.spread import _progress
from catkinshunt.spread.tests import fakes


class FixedClusterView:
    """A view with a fixed due time."""

    def __init__(self, clock, due_at):
        self.now = clock
        self.due_at = due_at

    def superseded_at(self, model, version):
        return self.due_at


class LoaderSetup:
    """A `Loader` with a fake engine and a clock set by the test."""

    def __init__(self, version=1, wave=0, due_in_s=5.0):
        self.time = 50.0
        self.engine = fakes.FakeEngine(version)
        self.admission = fakes.FakeAdmission()
        self.chunk_store = spread.ChunkStore(fakes.MODEL, 2)
        self.chunk_store.set_manifest(fakes.manifest(2))
        self.loader = _loader.Loader(
            self.engine,
            FixedClusterView(self.clock, self.time + due_in_s),
            self.admission,
            self.clock,
            asyncio.Lock(),
        )
        self.loader.set_wave(fakes.MODEL, 2, wave)

    def clock(self):
        return self.time

    def fill(self):
        for index in range(fakes.CHUNKS):
            self.chunk_store.put(index, fakes.chunk(2, index))

    async def step(self, complete_in_s=0.0, newer_complete_in_s=math.inf):
        report = await self.engine.report()
        self.loader.observe(report)
        if report.versions.get(fakes.MODEL, 0) >= 2:
            return
        await self.loader.step(
            report, self.chunk_store, complete_in_s, newer_complete_in_s
        )

    def closes_in_s(self):
        """Return the closing time last set, None if open."""
        calls = [
            one for one in self.admission.calls if one[0] in ('close', 'open')
        ]
        return calls[-1][1] if calls and calls[-1][0] == 'close' else None


def test_engine_is_drained_while_the_version_arrives():
    """The engine loads as soon as the last chunk arrives.

    Long requests that start right before would delay the load by seconds, in
    which the engine accepts no other requests.
    """

    async def main():
        setup = LoaderSetup()
        await setup.step(complete_in_s=0.8)
        return setup.closes_in_s(), setup.engine.orders

    closes_in_s, orders = asyncio.run(main())
    assert closes_in_s == 0.8 + _loader.DRAIN_S
    assert orders == []


def test_loaded_engine_accepts_requests_again():
    async def main():
        setup = LoaderSetup()
        setup.fill()
        await setup.step()
        await setup.step()
        return setup.engine.orders, setup.admission.calls[-1]

    orders, call = asyncio.run(main())
    assert orders == [2]
    assert call == ('open',)


def test_last_wave_skips_a_version_that_is_soon_replaced():
    """Two versions are announced four seconds apart.

    The second is complete everywhere when the first is due. All engines would
    have to load it within one second, and none would serve meanwhile.
    """

    async def main(newer_complete_in_s):
        setup = LoaderSetup(wave=_loader.WAVES - 1, due_in_s=0.5)
        setup.fill()
        await setup.step(newer_complete_in_s=newer_complete_in_s)
        setup.time += 0.6
        await setup.step(newer_complete_in_s=newer_complete_in_s - 0.6)
        return setup.engine.orders, setup.closes_in_s()

    assert asyncio.run(main(3.0)) == ([], None)
    orders, _ = asyncio.run(main(6.0))
    assert orders == [2]


def test_skipped_version_is_loaded_if_the_newer_one_is_late():
    """The origin becomes unreachable during the newer transfer.

    The engine would be idle until it is back, although it could load the
    skipped version.
    """

    async def main():
        setup = LoaderSetup(wave=_loader.WAVES - 1, due_in_s=0.5)
        setup.fill()
        await setup.step(newer_complete_in_s=2.0)
        setup.time += 3.0
        await setup.step(newer_complete_in_s=4.0)
        return setup.engine.orders

    assert asyncio.run(main()) == [2]


def test_engine_without_version_is_loaded_at_once():
    async def main():
        setup = LoaderSetup(version=0, wave=_loader.WAVES - 1)
        setup.fill()
        await setup.step(newer_complete_in_s=1.0)
        return setup.engine.orders

    assert asyncio.run(main()) == [2]


def test_stalled_transfer_has_a_long_remaining_time():
    """The last chunks come from a source with a slow link.

    From the missing share alone the version would seem complete soon, and
    drained engines would reject requests that they could serve.
    """
    progress = _progress.Progress()
    for step in range(5):
        progress.add_sample(0.5 - 0.1 * step, now=0.25 * step)
    assert progress.remaining_s(now=1.0) < 0.3
    for step in range(5):
        progress.add_sample(0.1, now=1.25 + 0.25 * step)
    assert progress.remaining_s(now=2.25) > 10
