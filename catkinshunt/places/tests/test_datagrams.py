import asyncio
import random

from catkinshunt import places

ENTRY = '127.0.0.1'
SIDECAR = '127.0.0.2'


class Pair:
    """An entry's client and a sidecar's server on two loopback addresses."""

    def __init__(self, port):
        clock = asyncio.get_running_loop().time
        self.ledger = places.PermitAllocator(spare=0)
        self.server = places.PermitServer(self.ledger, clock)
        self.client = places.PermitClient(port, clock, random.Random(1))
        self.port = port

    async def start(self, sidecar=True):
        await self.client.start(ENTRY)
        if sidecar:
            await self.server.start(SIDECAR, self.port)
        return self

    def request(self, wait_s=1.0, **changes):
        def make_request(number):
            return places.PermitRequest(number, wait_s, 0.5, 0.0, 1, **changes)

        return self.client.request(SIDECAR, make_request)

    async def take(self):
        """Take a place; return its `places.PermitHandle`."""
        asking = self.request()
        await asking.first_reply()
        return asking

    def stop(self):
        self.client.stop()
        self.server.stop()


def run(main, sidecar=True):
    async def inside():
        # A port that was free a moment ago on one of the two addresses.
        loop = asyncio.get_running_loop()
        no_wait, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, local_addr=(ENTRY, 0)
        )
        port = no_wait.get_extra_info('sockname')[1]
        no_wait.close()
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
        asking = await pair.take()
        held = pair.ledger.in_use
        asking.end()
        await until(lambda: pair.ledger.in_use == 0)
        return asking.reply.in_use, held

    assert run(main) == (1, 1)


def test_a_second_request_waits_for_the_place():
    async def main(pair):
        first = await pair.take()
        second = await pair.take()
        kind = second.reply.kind
        first.end()
        return kind, await second.final_reply()

    kind, reply = run(main)
    assert kind == 'queued'
    assert reply.kind == 'granted'


def test_a_request_that_cannot_be_in_time_is_refused():
    async def main(pair):
        await pair.take()
        asking = pair.request(wait_s=0.05)
        await asking.first_reply()
        return await asking.final_reply()

    refusal = run(main)
    assert refusal.reason == places.NO_ROOM
    assert refusal.retry_after_s >= 1.0


def test_a_caller_that_leaves_gives_up_its_wait():
    async def main(pair):
        await pair.take()
        second = await pair.take()
        assert pair.ledger.waiting == 1
        second.end()
        await until(lambda: pair.ledger.waiting == 0)

    run(main)


def test_a_sidecar_that_gives_no_answer_is_left_alone_for_a_while():
    """The process beside an engine is dead, and the engine works on.

    Requests go there without a place; only the first one in a while waits
    for the sidecar.
    """

    async def main(pair):
        assert pair.client.is_responsive(SIDECAR)
        asking = pair.request()
        assert await asking.first_reply() is None
        asking.end()
        return pair.client.is_responsive(SIDECAR)

    assert not run(main, sidecar=False)


def test_a_lost_reply_to_a_queued_ask_does_not_hold_the_caller():
    """The grant is lost on its way, and the caller would wait for ever."""

    async def main(pair):
        await pair.take()
        second = pair.request(wait_s=0.05)
        await second.first_reply()
        pair.server.stop()
        return await second.final_reply()

    assert run(main).kind == 'refused'


def test_a_place_granted_too_late_is_given_back():
    """The grant comes when the request has been sent without it.

    Kept, the place would be missing until the sidecar compares its count
    with what the engine reports.
    """

    async def main(pair):
        granted = places.dump(places.PermitGranted(7, in_use=1))
        request = places.PermitRequest(7, 0.0, 0.5, 0.0, 1)
        pair.ledger.request((ENTRY, pair.port), request, 0.0)
        pair.client.datagram_received(granted, (SIDECAR, pair.port))
        await until(lambda: pair.ledger.in_use == 0)

    run(main)


def test_a_grant_that_comes_twice_leaves_the_place_held():
    async def main(pair):
        asking = await pair.take()
        granted = places.PermitGranted(asking.request.number, in_use=1)
        pair.client.datagram_received(
            places.dump(granted), (SIDECAR, pair.port)
        )
        # The next ask comes behind whatever was sent.
        second = await pair.take()
        return second.reply.kind

    assert run(main) == 'queued'


def test_a_damaged_datagram_is_left_aside():
    async def main(pair):
        pair.client.datagram_received(b'{', (SIDECAR, pair.port))
        pair.server.datagram_received(b'[1', (ENTRY, pair.port))
        return (await pair.take()).reply

    assert run(main).in_use == 1
