import asyncio
import math

import pytest

from catkinshunt import errors
from catkinshunt import spread
from catkinshunt.spread import _load_order
from catkinshunt.spread import _loader
from catkinshunt.spread.tests import fakes

#: Duration of a read, and longer than a chunk may be bad.
READ_S = 0.01
STANDSTILL_S = 4.5
#: Time-out of an order.
REPLY_TIMEOUT_S = 1.5


class TimedEngine(fakes.FakeEngine):
    """An engine whose calls take time on a clock of its own.

    Attributes:
        now: the time in seconds.
        too_long_bad: chunks that had been bad for too long when an order was
            accepted, by index the seconds.
        on_read: called with the index after each read.
        on_order: called with the number of the order, from 1, in place of the
            normal answer. It may call `accept`.
    """

    def __init__(self, version=1):
        super().__init__(version)
        self.stage = {i: fakes.chunk(2, i) for i in range(fakes.CHUNKS)}
        self.now = 100.0
        self.bad_since = {}
        self.too_long_bad = {}
        self.on_read = lambda index: None
        self.on_order = lambda number: self.accept()

    def clock(self):
        return self.now

    def spoil(self, index):
        self.stage[index] = b'bad'
        self.bad_since[index] = self.now

    def accept(self):
        """Load what is staged now."""
        for index, since in self.bad_since.items():
            if self.now - since > _load_order.MAX_BAD_S:
                self.too_long_bad[index] = self.now - since
        self.version = 2

    def lose_reply(self):
        """Let the order time out."""
        self.now += REPLY_TIMEOUT_S
        raise spread.LoadOutcomeUnknownError('no data', step='load')

    async def put_chunk(self, model, index, data):
        await super().put_chunk(model, index, data)
        self.bad_since.pop(index, None)

    async def get_chunk(self, model, index):
        self.now += READ_S
        data = await super().get_chunk(model, index)
        self.on_read(index)
        return data

    async def load(self, model, version):
        self.orders.append(version)
        self.on_order(len(self.orders))


@pytest.fixture(autouse=True)
def no_pause(monkeypatch):
    monkeypatch.setattr(_load_order, 'ORDER_RETRY_S', 0)


def make_chunk_store():
    chunk_store = spread.ChunkStore(fakes.MODEL, 2)
    chunk_store.set_manifest(fakes.manifest(2))
    for index in range(fakes.CHUNKS):
        chunk_store.put(index, fakes.chunk(2, index))
    return chunk_store


def run_order(engine):
    """Order the load; return the `LoadOrder`."""
    order = _load_order.LoadOrder(make_chunk_store(), engine, engine.clock)
    asyncio.run(asyncio.wait_for(order.run(), 5))
    return order


def stand_still(engine, spoilt):
    """Spoil a chunk and let the time pass in which the process is stopped."""
    engine.spoil(spoilt)
    engine.now += STANDSTILL_S


@pytest.mark.parametrize('last_read', [0, 3, fakes.CHUNKS - 1])
def test_standstill_after_a_read_does_not_age_the_comparison(last_read):
    """A process that stands still must not load chunks that turned bad."""
    engine = TimedEngine()

    def stop_once(index):
        if index == last_read:
            engine.on_read = lambda index: None
            stand_still(engine, 0)

    engine.on_read = stop_once
    order = run_order(engine)
    assert engine.version == 2
    assert engine.too_long_bad == {}
    assert order.damaged == set()


def test_standstill_while_the_order_is_sent_is_detected():
    """Chunks that turn bad before the order is written may be loaded."""
    engine = TimedEngine()

    def stop_and_accept(number):
        stand_still(engine, 4)
        engine.accept()

    engine.on_order = stop_and_accept
    assert run_order(engine).damaged == {4}


def test_standstill_without_bad_chunks_damages_nothing():
    """An order that is accepted late must not make an engine unusable."""
    engine = TimedEngine()

    def accept_and_stop(number):
        engine.accept()
        engine.now += STANDSTILL_S

    engine.on_order = accept_and_stop
    assert run_order(engine).damaged == set()
    assert engine.orders == [2]


def test_repeated_order_follows_another_comparison():
    """Chunks that turn bad between two orders must not be loaded."""
    engine = TimedEngine()

    def answer_fourth(number):
        if number == 4:
            return engine.accept()
        if number == 1:
            engine.spoil(2)
        engine.lose_reply()

    engine.on_order = answer_fourth
    order = run_order(engine)
    assert engine.orders == [2, 2, 2, 2]
    assert engine.too_long_bad == {}
    assert order.damaged == set()


def test_order_accepted_after_its_timeout_meets_repaired_chunks():
    """An engine may accept an order that timed out, while chunks turn bad."""
    engine = TimedEngine()
    reads = []

    def accept_late(index):
        reads.append(index)
        # The third comparison is in progress.
        if len(reads) == 2 * fakes.CHUNKS + 4:
            engine.accept()

    def never_answer(number):
        if engine.version == 2:
            return
        engine.spoil(number)
        engine.lose_reply()

    engine.on_read = accept_late
    engine.on_order = never_answer
    order = run_order(engine)
    assert engine.version == 2
    assert engine.too_long_bad == {}
    assert order.damaged == set()


def test_order_accepted_during_a_standstill_is_detected():
    """A sidecar that stands still repairs no chunks before a late accept."""
    engine = TimedEngine()

    def accept_late(number):
        if number == 1:
            stand_still(engine, 1)
            engine.accept()
            engine.lose_reply()

    engine.on_order = accept_late
    order = run_order(engine)
    assert order.damaged == {1}
    assert order.age_s > STANDSTILL_S


def test_repair_in_a_comparison_that_fails_is_remembered():
    """The next comparison finds nothing to repair, though bad chunks ran."""
    engine = TimedEngine()

    def fail_after_repair(index):
        if index == 4:
            engine.on_read = lambda index: None
            raise errors.TransferError('no data', step='get chunk')

    def accept_late(number):
        if number == 1:
            stand_still(engine, 1)
            engine.accept()
            engine.on_read = fail_after_repair
            engine.lose_reply()

    engine.on_order = accept_late
    assert run_order(engine).damaged == {1}


def test_repair_before_a_late_order_is_no_damage():
    """An order that was not accepted yet cannot have met a bad chunk."""
    engine = TimedEngine()

    def accept_second(number):
        if number == 2:
            return engine.accept()
        stand_still(engine, 1)
        engine.lose_reply()

    engine.on_order = accept_second
    assert run_order(engine).damaged == set()
    assert engine.too_long_bad == {}


def test_rejection_after_an_unknown_outcome_is_no_failure():
    """The engine rejects a repetition, since it accepted the first order."""
    engine = TimedEngine()

    def reject_second(number):
        if number == 1:
            engine.accept()
            engine.lose_reply()
        raise errors.OrderError('the engine answered 409', step='load')

    engine.on_order = reject_second
    run_order(engine)
    assert engine.orders == [2, 2]


def test_outstanding_order_is_followed_through_an_outage_of_the_engine():
    """A failed call must not let chunks of the next version be staged."""
    engine = TimedEngine()
    failures = iter([errors.TransferError('refused', step='connect')] * 3)

    def fail_reads(index):
        for exc in failures:
            raise exc

    def lose_first(number):
        if number > 1:
            return engine.accept()
        engine.on_read = fail_reads
        engine.lose_reply()

    engine.on_order = lose_first
    run_order(engine)
    assert engine.orders == [2, 2]


def test_order_that_was_not_sent_fails_with_the_engine():
    """An engine that is down must not block its sidecar."""
    engine = TimedEngine()

    def fail(index):
        raise errors.TransferError('refused', step='connect')

    engine.on_read = fail
    with pytest.raises(errors.TransferError):
        run_order(engine)
    assert engine.orders == []


@pytest.mark.parametrize('spoilt', [None, 5])
def test_engine_with_slow_reads_loads_and_is_checked(spoilt):
    """Reads that always take too long must not keep a version out."""
    engine = TimedEngine()

    def read_slowly(index):
        engine.now += 1.0

    def accept(number):
        if spoilt is not None:
            engine.spoil(spoilt)
            engine.now += STANDSTILL_S
        engine.accept()

    engine.on_read = read_slowly
    engine.on_order = accept
    order = run_order(engine)
    assert engine.orders == [2]
    assert order.damaged == set(engine.too_long_bad)
    assert order.damaged == ({spoilt} if spoilt is not None else set())


class LoaderSetup:
    """An `Agent`'s `Loader` beside a `TimedEngine`."""

    def __init__(self, engine, clock):
        self.engine = engine
        self.cluster_view = fakes.FakeClusterView()
        self.cluster_view.now = engine.clock
        self.cluster_view.announce_version(2, due_s=0.0)
        self.loader = _loader.Loader(
            engine,
            self.cluster_view,
            fakes.FakeAdmission(),
            clock,
            asyncio.Lock(),
        )

    async def step(self):
        await self.loader.step(
            await self.engine.report(), make_chunk_store(), 0.0, math.inf
        )


def test_suspend_ages_the_comparison():
    """The monotonic clock stops in a suspend, while chunks turn bad."""
    engine = TimedEngine()

    def suspend(index):
        if index == 3:
            engine.on_read = lambda index: None
            stand_still(engine, 0)

    engine.on_read = suspend
    asyncio.run(LoaderSetup(engine, lambda: 7.0).step())
    assert engine.version == 2
    assert engine.too_long_bad == {}


def test_version_with_damaged_chunks_is_remembered_until_it_is_replaced():
    """Requests must not start on it, also once the load has ended."""
    engine = TimedEngine()

    def stop_and_accept(number):
        stand_still(engine, 4)
        engine.accept()

    async def main():
        engine.on_order = stop_and_accept
        setup = LoaderSetup(engine, engine.clock)
        await setup.step()
        found = [setup.loader.is_damaged(await engine.report())]
        engine.version = 3
        found.append(setup.loader.is_damaged(await engine.report()))
        engine.version = 2
        found.append(setup.loader.is_damaged(await engine.report()))
        return found

    assert asyncio.run(main()) == [True, False, False]
