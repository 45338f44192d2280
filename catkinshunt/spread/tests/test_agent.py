import asyncio
import contextlib
import math

from catkinshunt import errors
from catkinshunt import spread
from catkinshunt.spread import _agent
from catkinshunt.spread import _loader
from catkinshunt.spread.tests import fakes

ME = spread.Member('a0', 'a')


class Sidecar:
    """An agent with its surroundings in memory."""

    def __init__(self, engine=None, version_store=None):
        self.engine = engine or fakes.FakeEngine()
        self.outlook = fakes.FakeOutlook([ME])
        self.origin = fakes.FakeOrigin()
        self.version_store = version_store or spread.VersionStore()
        self.agent = spread.Agent(
            ME,
            self.outlook,
            self.engine,
            self.origin,
            fakes.FakePeers(),
            self.version_store,
            asyncio.get_running_loop().time,
            100.0,
            fakes.Counter(),
            fakes.FakeDoor(),
        )

    @contextlib.asynccontextmanager
    async def running(self):
        task = asyncio.ensure_future(self.agent.run())
        try:
            yield self
        finally:
            task.cancel()

    async def until(self, condition):
        async with asyncio.timeout(5):
            while not condition():
                await asyncio.sleep(0.005)


def whole(version):
    return {i: fakes.chunk(version, i) for i in range(fakes.CHUNKS)}


def run(main, **options):
    async def inside():
        async with Sidecar(**options).running() as sidecar:
            return await main(sidecar)

    return asyncio.run(inside())


def test_an_empty_engine_is_filled():
    async def main(sidecar):
        sidecar.outlook.name(2)
        await sidecar.until(lambda: sidecar.engine.version == 2)
        return sidecar.engine.loaded

    assert run(main) == whole(2)


def test_the_door_knows_when_the_version_of_its_engine_expires():
    """A newer version is named, and cannot be had before it is due.

    Entries may hear of it too late; their requests would begin on the old
    one for as long. The door closes in time, and opens after the load.
    """

    async def main(sidecar):
        door = sidecar.agent.door
        await sidecar.until(lambda: door.expires_in_s is not None)
        calm_s = door.expires_in_s
        sidecar.origin.down = True
        sidecar.outlook.name(2, due_s=3.0)
        await sidecar.until(lambda: door.expires_in_s != calm_s)
        named_s = door.expires_in_s
        sidecar.origin.down = False
        await sidecar.until(lambda: door.expires_in_s == calm_s)
        return calm_s, named_s, sidecar.engine.version

    calm_s, named_s, version = run(main, engine=fakes.FakeEngine(1))
    assert calm_s == float('inf')
    assert named_s <= 3.0
    assert version == 2


def test_the_door_closes_sooner_while_chunks_fill_the_link():
    """A request that waits behind them begins on a version too old."""

    async def main(sidecar):
        door = sidecar.agent.door
        sidecar.origin.down = True
        sidecar.outlook.name(2, due_s=3.0)
        await sidecar.until(lambda: door.expires_in_s not in (None, math.inf))
        began = door.expires_in_s
        await sidecar.until(lambda: door.expires_in_s < began)
        return door.expires_in_s

    expires_in_s = run(main, engine=fakes.FakeEngine(1))
    assert expires_in_s <= 3.0 - _agent.BUSY_LINK_S


def test_chunks_that_turned_bad_are_put_again_before_the_order():
    """Staged chunks can turn bad after they were checked.

    The engine loads what lies there, and would answer from damaged weights.
    """

    async def main(sidecar):
        original = sidecar.engine.put_chunk

        async def put(model, index, data):
            await original(model, index, data)
            if len(sidecar.engine.stage) == fakes.CHUNKS - 1:
                sidecar.engine.stage[0] = b'rotten'
                sidecar.engine.put_chunk = original

        sidecar.engine.put_chunk = put
        sidecar.outlook.name(2)
        await sidecar.until(lambda: sidecar.engine.version == 2)
        return sidecar.engine.loaded

    assert run(main) == whole(2)


def test_a_sidecar_that_restarts_fetches_only_what_is_missing():
    """A sidecar is killed in the middle of a transfer.

    Its chunks lie staged beside the engine; fetched anew they would take
    the time and the bytes of a whole copy again.
    """

    async def main():
        sidecar = Sidecar()
        sidecar.engine.stage = {
            0: fakes.chunk(2, 0),
            1: fakes.chunk(1, 1),
            2: b'rotten',
        }
        async with sidecar.running():
            sidecar.outlook.name(2)
            await sidecar.until(lambda: sidecar.engine.version == 2)
        return sidecar

    sidecar = asyncio.run(main())
    assert sidecar.engine.loaded == whole(2)
    assert 0 not in sidecar.origin.given


def test_an_engine_that_restarted_is_loaded_again():
    async def main(sidecar):
        sidecar.outlook.name(2)
        await sidecar.until(lambda: sidecar.engine.version == 2)
        sidecar.engine.version = 0
        sidecar.agent._loader._ordered_at -= 10
        given = len(sidecar.origin.given)
        await sidecar.until(lambda: sidecar.engine.version == 2)
        return len(sidecar.origin.given) - given

    assert run(main) == 0


def test_an_order_whose_answer_is_lost_never_mixes_versions():
    """The answer to an order is lost, and a newer version is on its way.

    Whether the engine took the order is unknown. If chunks of the newer
    version were staged now, it could load both together. They wait until
    the order has an answer.
    """

    async def main(sidecar):
        staged = []
        original = sidecar.engine.put_chunk

        async def put(model, index, data):
            staged.append((data.split(b':')[0], sidecar.engine.lost_answers))
            await original(model, index, data)

        sidecar.engine.put_chunk = put
        sidecar.engine.lost_answers = 2
        sidecar.outlook.name(2)
        await sidecar.until(lambda: sidecar.engine.orders)
        sidecar.outlook.name(3)
        await sidecar.until(lambda: sidecar.engine.version == 3)
        return staged, sidecar.engine

    staged, engine = run(main)
    assert engine.orders[:3] == [2, 2, 2]
    assert all(lost == 0 for name, lost in staged if name == b'3')
    assert engine.loaded == whole(3)


def test_an_engine_that_serves_waits_for_its_turn(monkeypatch):
    """All engines are whole at about the same time.

    If all load at once nobody serves meanwhile; the last group goes on
    until shortly before the version is due.
    """
    monkeypatch.setattr(_loader, 'LAST_WAVE_LEAD_S', 0.2)
    monkeypatch.setattr(
        spread.SourcePlan, 'wave', lambda self, waves: waves - 1
    )

    async def main(sidecar):
        sidecar.outlook.name(2, due_s=0.8)
        chunk_store = sidecar.version_store.chunk_store(fakes.MODEL, 2)
        await sidecar.until(lambda: chunk_store.is_complete)
        early = list(sidecar.engine.orders)
        await sidecar.until(lambda: sidecar.engine.version == 2)
        left_s = sidecar.outlook.versions[0].due_at - sidecar.outlook.now()
        return early, left_s

    early, left_s = run(main, engine=fakes.FakeEngine(version=1))
    assert early == []
    assert left_s <= 0.25


def test_a_newer_version_does_not_put_off_the_turn(monkeypatch):
    """Version 2 is named, and version 3 long before version 2 is due.

    Engines with version 1 get no requests once version 2 is due. Waiting
    for the time of version 3 they would stand idle in between.
    """
    monkeypatch.setattr(
        spread.SourcePlan, 'wave', lambda self, waves: waves - 1
    )

    async def main(sidecar):
        sidecar.outlook.name(2, due_s=0.2)
        sidecar.outlook.name(3, due_s=60.0)
        await sidecar.until(lambda: sidecar.engine.version == 3)

    run(main, engine=fakes.FakeEngine(version=1))


def test_an_error_nobody_thought_of_does_not_end_the_care():
    async def main(sidecar):
        original = sidecar.engine.report
        failures = []

        async def report():
            if len(failures) < 2:
                failures.append(1)
                raise RuntimeError('not foreseen')
            return await original()

        sidecar.engine.report = report
        sidecar.outlook.name(2)
        await sidecar.until(lambda: sidecar.engine.version == 2)

    run(main)


def test_a_peer_that_asks_names_the_version():
    """A sidecar is cut off from the store, but its peers reach it.

    From their requests it learns that a newer version was named.
    """

    async def main(sidecar):
        sidecar.agent.on_chunk_request(fakes.MODEL, 7)
        return sidecar.outlook.heard

    assert run(main) == [(fakes.MODEL, 7)]


def test_an_engine_that_serves_gives_its_staged_chunks():
    async def main():
        sidecar = Sidecar(fakes.FakeEngine(version=1))
        sidecar.engine.stage = whole(1)
        sidecar.agent.on_chunk_request(fakes.MODEL, 1)
        await sidecar.until(lambda: sidecar.version_store.find(fakes.MODEL, 1))
        return sidecar.version_store.find(fakes.MODEL, 1)

    assert asyncio.run(main()).is_complete


def test_a_version_is_not_dropped_for_one_that_cannot_be_had():
    """A newer version is named, and the origin goes away in that moment.

    Peers hold all that is missing of the older one. Dropped, neither is
    there when the older one is due, and nobody serves.
    """

    async def main():
        sidecar = Sidecar(fakes.FakeEngine(version=1))
        held = asyncio.Event()
        original = sidecar.origin.chunk

        async def chunk(model, version, index):
            if version == 2:
                await held.wait()
            return await original(model, version, index)

        async def manifest(model, version):
            if version == 3:
                raise errors.TransferError('down', step='manifest')
            return fakes.manifest(version)

        sidecar.origin.chunk = chunk
        sidecar.origin.manifest = manifest
        async with sidecar.running():
            sidecar.outlook.name(2, due_s=0.5)
            older = sidecar.version_store.chunk_store(fakes.MODEL, 2)
            await sidecar.until(lambda: older.manifest is not None)
            sidecar.outlook.name(3, due_s=30.0)
            await asyncio.sleep(0.1)
            held.set()
            await sidecar.until(lambda: sidecar.engine.version == 2)

    asyncio.run(main())


def test_a_transfer_that_cannot_begin_is_tried_after_a_pause():
    """The store is away, so the members cannot be listed.

    While an engine is about to load its sidecar looks 20 times a second, and
    each look began the transfer again: hundreds of calls to a store that was
    overloaded already, and as many log lines.
    """
    calls = []

    async def main(sidecar):
        async def members():
            calls.append(1)
            raise errors.StoreUnavailableError('down', step='read')

        sidecar.outlook.members = members
        sidecar.outlook.name(2)
        await sidecar.until(lambda: calls)
        for _ in range(20):
            sidecar.agent._news.set()
            await asyncio.sleep(0.01)

    run(main)
    assert len(calls) == 1
