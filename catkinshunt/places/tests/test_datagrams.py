import asyncio
import random

import pytest

from catkinshunt import places

ENTRY = '127.0.0.1'
SIDECAR = '127.0.0.2'


class Pair:
    """An entry's client and a sidecar's server on two loopback addresses."""

    def __init__(self, port):
        clock = asyncio.get_running_loop().time
        self.ledger = places.Ledger(spare=0)
        self.server = places.PlaceServer(self.ledger, clock)
        self.client = places.PlaceClient(port, clock, random.Random(1))
        self.port = port

    async def start(self, sidecar=True):
        await self.client.start(ENTRY)
        if sidecar:
            await self.server.start(SIDECAR, self.port)
        return self

    async def take(self, wait_s=1.0, **changes):
        def make_ask(number):
            return places.Ask(number, wait_s, 0.5, 1, **changes)

        return await self.client.take(SIDECAR, make_ask)

    def stop(self):
        self.client.stop()
        self.server.stop()


def run(main, sidecar=True):
    async def inside():
        # A port that was free a moment ago on one of the two addresses.
        loop = asyncio.get_running_loop()
        probe, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, local_addr=(ENTRY, 0)
        )
        port = probe.get_extra_info('sockname')[1]
        probe.close()
        await asyncio.sleep(0)
        pair = await Pair(port).start(sidecar)
        try:
            return await main(pair)
        finally:
            pair.stop()

    return asyncio.run(inside())


async def until(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.005)


def test_a_place_is_taken_and_given_back():
    async def main(pair):
        place = await pair.take()
        held = pair.ledger.held
        place.release()
        await until(lambda: pair.ledger.held == 0)
        return held

    assert run(main) == 1


def test_a_second_request_waits_for_the_place():
    async def main(pair):
        first = await pair.take()
        second = asyncio.ensure_future(pair.take())
        await until(lambda: pair.ledger.waiting == 1)
        first.release()
        return await second

    assert run(main).held == 1


def test_a_request_that_cannot_be_in_time_is_refused():
    async def main(pair):
        await pair.take()
        with pytest.raises(places.NoPlaceError) as caught:
            await pair.take(wait_s=0.05)
        return caught.value

    refusal = run(main)
    assert refusal.ran == 'no'
    assert refusal.retry_after_s >= 1.0


def test_a_caller_that_leaves_gives_up_its_wait():
    async def main(pair):
        await pair.take()
        waiting = asyncio.ensure_future(pair.take())
        await until(lambda: pair.ledger.waiting == 1)
        waiting.cancel()
        await until(lambda: pair.ledger.waiting == 0)

    run(main)


def test_a_sidecar_that_gives_no_answer_holds_nobody_up():
    """The process beside an engine is dead, and the engine works on.

    Requests go there without a place; only the first one in a while waits
    for the sidecar.
    """

    async def main(pair):
        assert await pair.take() is None
        began = pair.client.clock()
        for _ in range(20):
            assert await pair.take() is None
        return pair.client.clock() - began

    assert run(main, sidecar=False) < places.ANSWER_S


def test_a_place_granted_too_late_is_given_back():
    """The grant comes when the request has been sent without it.

    Kept, the place would be missing until the sidecar compares its count
    with what the engine reports.
    """

    async def main(pair):
        granted = places.dump(places.Granted(7, held=1))
        pair.ledger.ask((ENTRY, pair.port), places.Ask(7, 0, 0.5, 1), 0.0)
        pair.client.datagram_received(granted, (SIDECAR, pair.port))
        await until(lambda: pair.ledger.held == 0)

    run(main)


def test_a_grant_that_comes_twice_leaves_the_place_held():
    async def main(pair):
        place = await pair.take()
        granted = places.Granted(place.number, held=1)
        pair.client.datagram_received(
            places.dump(granted), (SIDECAR, pair.port)
        )
        # The next ask comes behind whatever was sent.
        waiting = asyncio.ensure_future(pair.take())
        await until(lambda: pair.ledger.waiting == 1)
        waiting.cancel()
        return pair.ledger.held

    assert run(main) == 1


def test_a_damaged_datagram_is_left_aside():
    async def main(pair):
        pair.client.datagram_received(b'{', (SIDECAR, pair.port))
        pair.server.datagram_received(b'[1', (ENTRY, pair.port))
        return await pair.take()

    assert run(main).held == 1
