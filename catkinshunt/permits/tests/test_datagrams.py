import asyncio
import random

from catkinshunt import permits

ENTRY = '127.0.0.1'
SIDECAR = '127.0.0.2'


class Pair:
    """An entry's client and a sidecar's server on two loopback addresses."""

    def __init__(self, port):
        clock = asyncio.get_running_loop().time
        self.allocator = permits.PermitAllocator(spare=0)
        self.server = permits.PermitServer(self.allocator, clock)
        self.client = permits.PermitClient(port, clock, random.Random(1))
        self.port = port

    async def start(self, sidecar=True):
        await self.client.start(ENTRY)
        if sidecar:
            await self.server.start(SIDECAR, self.port)
        return self

    def request(self, wait_s=1.0, **changes):
        def make_request(number):
            return permits.PermitRequest(
                number, wait_s, 0.5, 0.0, 1, **changes
            )

        return self.client.make_handle(SIDECAR, make_request)

    async def acquire(self):
        """Request a permit; return its handle after the first reply."""
        handle = self.request()
        await handle.send_and_wait()
        return handle

    def stop(self):
        self.client.stop()
        self.server.stop()


def run(main, sidecar=True):
    async def inside():
        # A port that was just free on one of the two addresses.
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, local_addr=(ENTRY, 0)
        )
        port = transport.get_extra_info('sockname')[1]
        transport.close()
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


def test_permit_is_granted_and_released():
    async def main(pair):
        handle = await pair.acquire()
        in_use = pair.allocator.in_use
        handle.end()
        await until(lambda: pair.allocator.in_use == 0)
        return handle.reply.in_use, in_use

    assert run(main) == (1, 1)


def test_second_request_waits_for_the_permit():
    async def main(pair):
        first = await pair.acquire()
        second = await pair.acquire()
        kind = second.reply.kind
        first.end()
        return kind, await second.await_decision()

    kind, reply = run(main)
    assert kind == 'queued'
    assert reply.kind == 'granted'


def test_request_that_cannot_be_in_time_is_rejected():
    async def main(pair):
        await pair.acquire()
        handle = pair.request(wait_s=0.05)
        await handle.send_and_wait()
        return await handle.await_decision()

    rejection = run(main)
    assert rejection.reason == permits.NO_ROOM
    assert rejection.retry_after_s >= 1.0


def test_ended_request_leaves_the_queue():
    async def main(pair):
        await pair.acquire()
        second = await pair.acquire()
        assert pair.allocator.waiting == 1
        second.end()
        await until(lambda: pair.allocator.waiting == 0)

    run(main)


def test_unresponsive_sidecar_is_backed_off():
    """The sidecar of an engine is dead, but the engine still serves.

    Requests are sent there without a permit; only the first one in each
    back-off waits for the sidecar.
    """

    async def main(pair):
        assert pair.client.is_responsive(SIDECAR)
        handle = pair.request()
        assert await handle.send_and_wait() is None
        handle.end()
        return pair.client.is_responsive(SIDECAR)

    assert not run(main, sidecar=False)


def test_lost_final_reply_counts_as_a_rejection():
    """The grant is lost, and the request would wait forever."""

    async def main(pair):
        await pair.acquire()
        second = pair.request(wait_s=0.05)
        await second.send_and_wait()
        pair.server.stop()
        return await second.await_decision()

    assert run(main).kind == 'refused'


def test_permit_granted_too_late_is_released():
    """The grant arrives after the request was sent without a permit.

    If not released, the permit would be unavailable until the sidecar
    reconciles its count with the engine.
    """

    async def main(pair):
        granted = permits.dump(permits.PermitGranted(7, in_use=1))
        request = permits.PermitRequest(7, 0.0, 0.5, 0.0, 1)
        pair.allocator.request((ENTRY, pair.port), request, 0.0)
        pair.client.datagram_received(granted, (SIDECAR, pair.port))
        await until(lambda: pair.allocator.in_use == 0)

    run(main)


def test_duplicate_grant_keeps_the_permit():
    async def main(pair):
        handle = await pair.acquire()
        granted = permits.PermitGranted(handle.request.number, in_use=1)
        pair.client.datagram_received(
            permits.dump(granted), (SIDECAR, pair.port)
        )
        # Any release would arrive before this request.
        second = await pair.acquire()
        return second.reply.kind

    assert run(main) == 'queued'


def test_malformed_datagram_is_ignored():
    async def main(pair):
        pair.client.datagram_received(b'{', (SIDECAR, pair.port))
        pair.server.datagram_received(b'[1', (ENTRY, pair.port))
        return (await pair.acquire()).reply

    assert run(main).in_use == 1
