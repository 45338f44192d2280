import asyncio
import contextlib
import math

from catkinshunt import errors
from catkinshunt import spread
from catkinshunt.spread import _agent
from catkinshunt.spread import _loader
from catkinshunt.spread.tests import fakes

LOCAL_MEMBER = spread.Member('a0', 'a')


class Sidecar:
    """An agent with in-memory fakes."""

    def __init__(self, engine=None, version_store=None):
        self.engine = engine or fakes.FakeEngine()
        self.cluster_view = fakes.FakeClusterView([LOCAL_MEMBER])
        self.origin = fakes.FakeOrigin()
        self.version_store = version_store or spread.VersionStore()
        self.agent = spread.Agent(
            LOCAL_MEMBER,
            self.cluster_view,
            self.engine,
            self.origin,
            fakes.FakePeers(),
            self.version_store,
            asyncio.get_running_loop().time,
            100.0,
            fakes.Counter(),
            fakes.FakeAdmission(),
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


def all_chunks(version):
    return {i: fakes.chunk(version, i) for i in range(fakes.CHUNKS)}


def run(main, **options):
    async def inside():
        async with Sidecar(**options).running() as sidecar:
            return await main(sidecar)

    return asyncio.run(inside())


def test_engine_without_version_is_loaded():
    async def main(sidecar):
        sidecar.cluster_view.announce_version(2)
        await sidecar.until(lambda: sidecar.engine.version == 2)
        return sidecar.engine.loaded

    assert run(main) == all_chunks(2)


def test_expiry_follows_the_served_version():
    """A newer version is announced but unavailable until it is due.

    Entries may receive it late, and their requests would start on the older
    version. The admission expires in time and reopens after the load.
    """

    async def main(sidecar):
        admission = sidecar.agent.admission
        await sidecar.until(lambda: admission.expires_in_s is not None)
        initial_s = admission.expires_in_s
        sidecar.origin.down = True
        sidecar.cluster_view.announce_version(2, due_s=3.0)
        await sidecar.until(lambda: admission.expires_in_s != initial_s)
        announced_s = admission.expires_in_s
        sidecar.origin.down = False
        await sidecar.until(lambda: admission.expires_in_s == initial_s)
        return initial_s, announced_s, sidecar.engine.version

    initial_s, announced_s, version = run(main, engine=fakes.FakeEngine(1))
    assert initial_s == float('inf')
    assert announced_s <= 3.0
    assert version == 2


def test_expiry_is_earlier_during_a_transfer():
    """A request queued on the link behind chunks starts too late."""

    async def main(sidecar):
        admission = sidecar.agent.admission
        sidecar.origin.down = True
        sidecar.cluster_view.announce_version(2, due_s=3.0)
        await sidecar.until(
            lambda: admission.expires_in_s not in (None, math.inf)
        )
        began = admission.expires_in_s
        await sidecar.until(lambda: admission.expires_in_s < began)
        return admission.expires_in_s

    expires_in_s = run(main, engine=fakes.FakeEngine(1))
    assert expires_in_s <= 3.0 - _agent.LINK_QUEUE_S


def test_corrupted_staged_chunks_are_replaced_before_the_load():
    """Staged chunks are corrupted after their verification.

    The engine would load them and serve damaged weights.
    """

    async def main(sidecar):
        original = sidecar.engine.put_chunk

        async def put(model, index, data):
            await original(model, index, data)
            if len(sidecar.engine.stage) == fakes.CHUNKS - 1:
                sidecar.engine.stage[0] = b'corrupt'
                sidecar.engine.put_chunk = original

        sidecar.engine.put_chunk = put
        sidecar.cluster_view.announce_version(2)
        await sidecar.until(lambda: sidecar.engine.version == 2)
        return sidecar.engine.loaded

    assert run(main) == all_chunks(2)


def test_restarted_sidecar_fetches_only_missing_chunks():
    """A sidecar is killed during a transfer.

    Its chunks are still staged; fetching them again would take the time and
    the bytes of another copy.
    """

    async def main():
        sidecar = Sidecar()
        sidecar.engine.stage = {
            0: fakes.chunk(2, 0),
            1: fakes.chunk(1, 1),
            2: b'corrupt',
        }
        async with sidecar.running():
            sidecar.cluster_view.announce_version(2)
            await sidecar.until(lambda: sidecar.engine.version == 2)
        return sidecar

    sidecar = asyncio.run(main())
    assert sidecar.engine.loaded == all_chunks(2)
    assert 0 not in sidecar.origin.sent_chunks


def test_restarted_engine_is_loaded_again():
    async def main(sidecar):
        sidecar.cluster_view.announce_version(2)
        await sidecar.until(lambda: sidecar.engine.version == 2)
        sidecar.engine.version = 0
        sidecar.agent._loader._ordered_at -= 10
        sent_before = len(sidecar.origin.sent_chunks)
        await sidecar.until(lambda: sidecar.engine.version == 2)
        return len(sidecar.origin.sent_chunks) - sent_before

    assert run(main) == 0


def test_lost_reply_to_a_load_order_never_mixes_versions():
    """The reply to a load order is lost during the next transfer.

    Whether the engine accepted the order is unknown. If chunks of the newer
    version were staged now, the engine could load both versions mixed.
    """

    async def main(sidecar):
        staged = []
        original = sidecar.engine.put_chunk

        async def put(model, index, data):
            staged.append((data.split(b':')[0], sidecar.engine.lost_replies))
            await original(model, index, data)

        sidecar.engine.put_chunk = put
        sidecar.engine.lost_replies = 2
        sidecar.cluster_view.announce_version(2)
        await sidecar.until(lambda: sidecar.engine.orders)
        sidecar.cluster_view.announce_version(3)
        await sidecar.until(lambda: sidecar.engine.version == 3)
        return staged, sidecar.engine

    staged, engine = run(main)
    assert engine.orders[:3] == [2, 2, 2]
    assert all(lost == 0 for name, lost in staged if name == b'3')
    assert engine.loaded == all_chunks(3)


def test_agent_that_fails_at_every_turn_starts_afresh():
    """A state that cannot be handled must not stop the sidecar for good."""

    async def main(sidecar):
        find = sidecar.version_store.of_model
        poisoned = sidecar.version_store.get_or_create(fakes.MODEL, 2)

        def fail_while_poisoned(model):
            if poisoned in find(model):
                raise KeyError(model)
            return find(model)

        sidecar.version_store.of_model = fail_while_poisoned
        sidecar.cluster_view.announce_version(2)
        await sidecar.until(lambda: not sidecar.agent.is_ready())
        await sidecar.until(lambda: sidecar.engine.version == 2)
        await sidecar.until(sidecar.agent.is_ready)

    run(main)


def test_manifest_that_nobody_has_is_not_requested_forever():
    """A peer asks for the loaded version, which the origin has withdrawn."""

    async def main(sidecar):
        sidecar.origin.down = True
        sidecar.agent.on_chunk_request(fakes.MODEL, 1)
        await sidecar.until(lambda: not sidecar.agent._starting_to_serve)

    run(main, engine=fakes.FakeEngine(1))


def test_no_request_starts_on_a_version_with_damaged_chunks():
    """An order is accepted long after its comparison, with a bad chunk."""

    async def main(sidecar):
        original = sidecar.engine.load

        async def accept_late(model, version):
            sidecar.cluster_view.offset_s += 4.5
            sidecar.engine.stage[1] = b'corrupt'
            await original(model, version)

        sidecar.engine.load = accept_late
        sidecar.cluster_view.announce_version(2)
        await sidecar.until(lambda: sidecar.agent.damaged_versions())
        await sidecar.until(lambda: sidecar.engine.version == 2)
        await sidecar.until(lambda: ('open',) in sidecar.agent.admission.calls)
        return sidecar

    sidecar = run(main, engine=fakes.FakeEngine(1))
    assert sidecar.agent.damaged_versions() == {(fakes.MODEL,): 2}
    assert sidecar.agent.load_order_ages()[fakes.MODEL,] >= 4.5
    assert sidecar.agent.admission.expires_in_s == -math.inf


def test_serving_engine_waits_for_its_wave(monkeypatch):
    """All members complete a version at about the same time.

    If all engines loaded at once, none would serve meanwhile. The last wave
    serves until shortly before the version is due.
    """
    monkeypatch.setattr(_loader, 'LAST_WAVE_LEAD_S', 0.2)
    monkeypatch.setattr(
        spread.SourcePlan, 'wave', lambda self, waves: waves - 1
    )

    async def main(sidecar):
        sidecar.cluster_view.announce_version(2, due_s=0.8)
        chunk_store = sidecar.version_store.get_or_create(fakes.MODEL, 2)
        await sidecar.until(lambda: chunk_store.is_complete)
        ordered_early = list(sidecar.engine.orders)
        await sidecar.until(lambda: sidecar.engine.version == 2)
        left_s = (
            sidecar.cluster_view.versions[0].due_at
            - sidecar.cluster_view.now()
        )
        return ordered_early, left_s

    ordered_early, left_s = run(main, engine=fakes.FakeEngine(version=1))
    assert ordered_early == []
    assert left_s <= 0.25


def test_newer_version_does_not_delay_the_load(monkeypatch):
    """Version 3 is announced long before version 2 is due.

    Engines at version 1 receive no requests once version 2 is due. If they
    waited for the due time of version 3, they would be idle in between.
    """
    monkeypatch.setattr(
        spread.SourcePlan, 'wave', lambda self, waves: waves - 1
    )

    async def main(sidecar):
        sidecar.cluster_view.announce_version(2, due_s=0.2)
        sidecar.cluster_view.announce_version(3, due_s=60.0)
        await sidecar.until(lambda: sidecar.engine.version == 3)

    run(main, engine=fakes.FakeEngine(version=1))


def test_unexpected_error_does_not_end_the_loop():
    async def main(sidecar):
        original = sidecar.engine.report
        failures = []

        async def report():
            if len(failures) < 2:
                failures.append(1)
                raise RuntimeError('unexpected')
            return await original()

        sidecar.engine.report = report
        sidecar.cluster_view.announce_version(2)
        await sidecar.until(lambda: sidecar.engine.version == 2)

    run(main)


def test_chunk_request_reveals_a_new_version():
    """A sidecar without access to the store gets versions from peers."""

    async def main(sidecar):
        sidecar.agent.on_chunk_request(fakes.MODEL, 7)
        return sidecar.cluster_view.noted

    assert run(main) == [(fakes.MODEL, 7)]


def test_staged_chunks_of_the_served_version_are_offered():
    async def main():
        sidecar = Sidecar(fakes.FakeEngine(version=1))
        sidecar.engine.stage = all_chunks(1)
        sidecar.agent.on_chunk_request(fakes.MODEL, 1)
        await sidecar.until(lambda: sidecar.version_store.find(fakes.MODEL, 1))
        return sidecar.version_store.find(fakes.MODEL, 1)

    assert asyncio.run(main()).is_complete


def test_transfer_is_not_dropped_for_an_unavailable_version():
    """A newer version is announced just as the origin becomes unreachable.

    Peers have all missing chunks of the older version. If its transfer were
    dropped, neither version would be complete when the older one is due.
    """

    async def main():
        sidecar = Sidecar(fakes.FakeEngine(version=1))
        resume = asyncio.Event()
        original = sidecar.origin.chunk

        async def chunk(model, version, index):
            if version == 2:
                await resume.wait()
            return await original(model, version, index)

        async def manifest(model, version):
            if version == 3:
                raise errors.TransferError('down', step='manifest')
            return fakes.manifest(version)

        sidecar.origin.chunk = chunk
        sidecar.origin.manifest = manifest
        async with sidecar.running():
            sidecar.cluster_view.announce_version(2, due_s=0.5)
            older = sidecar.version_store.get_or_create(fakes.MODEL, 2)
            await sidecar.until(lambda: older.manifest is not None)
            sidecar.cluster_view.announce_version(3, due_s=30.0)
            await asyncio.sleep(0.1)
            resume.set()
            await sidecar.until(lambda: sidecar.engine.version == 2)

    asyncio.run(main())


def test_failed_transfer_is_retried_after_a_pause():
    """An outage of the store prevents the listing of members.

    Shortly before a load the sidecar polls 20 times a second. If each poll
    starts the transfer again, the members send hundreds of calls to an
    overloaded store and write as many log lines.
    """
    calls = []

    async def main(sidecar):
        async def members():
            calls.append(1)
            raise errors.StoreUnavailableError('down', step='read')

        sidecar.cluster_view.members = members
        sidecar.cluster_view.announce_version(2)
        await sidecar.until(lambda: calls)
        for _ in range(20):
            sidecar.agent._wakeup.set()
            await asyncio.sleep(0.01)

    run(main)
    assert len(calls) == 1


def test_leaving_engine_gets_no_orders_and_no_requests():
    """It would load a version that it never serves."""
    engine = fakes.FakeEngine(version=1)
    engine.is_leaving = True

    async def main(sidecar):
        sidecar.cluster_view.announce_version(2)
        calls = sidecar.agent.admission.calls
        await sidecar.until(lambda: ('leave', 5) in calls)
        await sidecar.until(lambda: calls.count(('leave', 5)) > 1)
        orders, fetched = list(engine.orders), sidecar.origin.requests
        engine.is_leaving = False
        await sidecar.until(lambda: engine.version == 2)
        return orders, fetched, calls.count(('back',))

    assert run(main, engine=engine) == ([], 0, 1)


def test_restarted_engine_loads_a_version_that_nobody_announced():
    """An engine crashes, its sidecar restarts, and no member has a version."""

    async def main(sidecar):
        await sidecar.until(lambda: sidecar.engine.version == 1)
        return sidecar.engine.loaded, sidecar.origin.sent_chunks

    engine = fakes.FakeEngine()
    engine.stage = all_chunks(1)
    assert run(main, engine=engine) == (all_chunks(1), [])


def test_announced_version_replaces_that_of_the_origin():
    """A version is announced after the origin was asked for its newest."""

    async def main(sidecar):
        await sidecar.until(lambda: sidecar.engine.version == 1)
        sidecar.cluster_view.announce_version(2)
        await sidecar.until(lambda: sidecar.engine.version == 2)
        return sidecar.engine.loaded

    assert run(main) == all_chunks(2)


def test_damaged_version_of_the_origin_is_asked_for_again():
    """The number of the newest version is damaged in transit."""

    async def main(sidecar):
        sidecar.origin.newest = 7
        sidecar.origin.unknown_versions = {7}
        await asyncio.sleep(0.1)
        sidecar.origin.newest = 1
        await sidecar.until(lambda: sidecar.engine.version)
        return sidecar.engine.version

    engine = fakes.FakeEngine()
    engine.stage = all_chunks(1)
    assert run(main, engine=engine) == 1
