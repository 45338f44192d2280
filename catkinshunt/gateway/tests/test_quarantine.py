"""Requests that crash their upstreams, at several entries."""

import asyncio
import contextlib

import pytest

from catkinshunt.gateway.tests import harness
from catkinshunt import quarantine
from catkinshunt.quarantine.tests import network

BAD = b'a prompt that no engine survives'
#: Part of a prompt that no engine survives, and one that all prompts have.
BAD_PART = 'bad1'
FIRST_PART = '5c1e'
#: Second parts of the prompts of sound requests.
SOUND_PARTS = 8
#: Seconds after which a client with a sound request gives up.
PATIENCE_S = 5.0
#: Seconds that a sound request runs; a bad one crashes its engine after half.
RUN_S = 0.05
#: Required bound, in seconds, for the news of a crash to reach all entries.
PROPAGATION_LIMIT_S = 3.0
#: Runs allowed after that.
MAX_RETRIES = 3


class CrashingUpstream(harness.FakeUpstream):
    """An engine that a bad request crashes, with all its connections."""

    def __init__(self, name, on_crash):
        super().__init__(name, self._answer, 'plain')
        self.on_crash = on_crash
        self.writers = []

    async def _serve(self, reader, writer):
        self.writers.append(writer)
        await super()._serve(reader, writer)

    async def _answer(self, head, writer, upstream):
        parts = harness.header(head, 'Parts').split()
        length = harness.header(head, 'Content-Length')
        if BAD_PART in parts or (not parts and length == str(len(BAD))):
            await asyncio.sleep(RUN_S / 2)
            self.stop()
            for each in self.writers:
                each.transport.abort()
            self.on_crash(self)
            return
        await asyncio.sleep(RUN_S)
        writer.write(harness.reply(head))


class SharedUpstreams:
    """Entries that share upstreams; a crashed one is replaced at once."""

    def __init__(self):
        self.gateways = []
        self.upstreams = []
        self.crashed_at = []
        self.when_crashed = lambda: None
        self._tasks = set()

    async def add_upstream(self):
        number = len(self.upstreams)
        upstream = CrashingUpstream(f'u{number}', self._on_crash)
        self.upstreams.append(await upstream.start())
        for gateway in self.gateways:
            gateway.context.catalog.put_upstream(upstream.listed())

    def _on_crash(self, upstream):
        self.crashed_at.append(asyncio.get_running_loop().time())
        self.when_crashed()
        for gateway in self.gateways:
            gateway.context.catalog.drop_upstream(upstream.name, 0.0)
        task = asyncio.ensure_future(self.add_upstream())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def confirm(self):
        """Tell the entries that their state is the newest one."""
        now = asyncio.get_running_loop().time()
        for gateway in self.gateways:
            gateway.context.catalog.confirm(now)

    async def request(self, number, path='/read/1', body=BAD, **headers):
        self.confirm()
        gateway = self.gateways[number % len(self.gateways)]
        return await gateway.request(path, 'POST', body, **headers)


@contextlib.asynccontextmanager
async def shared_upstreams(count=3, upstreams=4, guarded=True):
    shared = SharedUpstreams()
    async with contextlib.AsyncExitStack() as stack:
        known = await stack.enter_async_context(
            network.GossipNetwork(count).running()
        )
        for gossip in known.gossips.values():
            guard = None
            if guarded:
                guard = quarantine.Guard(gossip, lambda _: upstreams)
            shared.gateways.append(
                await stack.enter_async_context(
                    harness.running_gateway(retry_burst=100.0, guard=guard)
                )
            )
        for _ in range(upstreams):
            await shared.add_upstream()
        try:
            yield shared
        finally:
            for upstream in shared.upstreams:
                upstream.stop()


def run(main, **options):
    async def inside():
        async with shared_upstreams(**options) as shared:
            return await main(shared)

    return asyncio.run(inside())


async def request_repeatedly(shared):
    """Send the bad request to the entries in turn; return the replies."""
    replies = []
    for number in range(24):
        replies.append(await shared.request(number))
        await asyncio.sleep(0.05)
    return replies


def test_request_that_crashes_upstreams_is_quarantined():
    """The request is retried at any entry, and each detects some crashes.

    Without the quarantine all upstreams of a service would crash one after
    the other, together with the other requests that they run.
    """

    async def main(shared):
        replies = await request_repeatedly(shared)
        third = shared.crashed_at[2]
        late = [
            t for t in shared.crashed_at if t > third + PROPAGATION_LIMIT_S
        ]
        before = len(shared.crashed_at)
        last = [await shared.request(number) for number in range(3)]
        return replies, late, len(shared.crashed_at) - before, last

    replies, late, further, last = run(main)
    assert len(late) <= MAX_RETRIES
    assert further == 0
    for status, head, _ in last:
        assert status == 503
        assert float(harness.header(head, 'Retry-After')) > 0
    assert replies[0][0] == 502


def test_other_requests_at_crashed_upstreams_are_still_served():
    """Their connections are lost with each crash, but they cause none."""

    async def main(shared):
        stop = asyncio.Event()
        statuses = []

        async def work(name):
            while not stop.is_set():
                body = f'a harmless prompt of {name}'.encode()
                statuses.append((await shared.request(name, body=body))[0])

        workers = [asyncio.ensure_future(work(n)) for n in range(12)]
        await request_repeatedly(shared)
        stop.set()
        await asyncio.gather(*workers)
        last = []
        for name in range(12):
            body = f'a harmless prompt of {name}'.encode()
            last.append((await shared.request(name, body=body))[0])
        return statuses, last

    statuses, last = run(main)
    assert 503 not in statuses
    assert last == [200] * 12


def test_other_requests_of_the_same_client_are_served():
    async def main(shared):
        await request_repeatedly(shared)
        return await shared.request(0, body=b'sound'), await shared.request(0)

    other, bad = run(main)
    assert other[0] == 200
    assert bad[0] == 503


def test_quarantine_during_an_attempt_does_not_claim_it_was_not_run():
    """The request is quarantined while its own attempt is running."""

    async def main(shared):
        gossip = shared.gateways[0].context.guard.gossip
        request = quarantine.fingerprint(
            harness.HOST, 'POST', '/read/1', 'workshop', BAD
        )
        shared.when_crashed = lambda: gossip.report_quarantine(request, 60.0)
        first = await shared.request(0)
        return first, await shared.request(0), len(shared.crashed_at)

    first, second, crashes = run(main)
    assert first[0] == 502
    assert second[0] == 503
    assert crashes == 1


async def request_part(shared, number, part):
    """Send a request that shares two parts of its prompt, and nothing else."""
    return await shared.request(
        number,
        body=f'{part} and what only prompt {number} has'.encode(),
        Parts=f'{FIRST_PART} {part} {number:x}',
        Request_Id=f'{part}-{number}',
    )


class SoundRequests:
    """Clients with requests without the bad part, no two alike.

    A client whose request fails or is refused sends it again, until it has
    waited for `PATIENCE_S`.

    Attributes:
        served: number of requests that were answered.
        given_up: times at which the requests that were not answered were
            first sent.
    """

    def __init__(self, shared, clients=6):
        self.shared = shared
        self.clients = clients
        self.served = 0
        self.given_up = []
        self._stop = asyncio.Event()

    async def __aenter__(self):
        self._tasks = [
            asyncio.ensure_future(self._run(client))
            for client in range(self.clients)
        ]
        return self

    async def __aexit__(self, *exc_info):
        self._stop.set()
        await asyncio.gather(*self._tasks)

    async def wait_for(self, count):
        """Wait until `count` more requests are served."""
        enough = self.served + count
        await network.wait_until(lambda: self.served >= enough)

    async def _run(self, client):
        number = client
        while not self._stop.is_set():
            await self._send(number)
            number += self.clients

    async def _send(self, number):
        clock = asyncio.get_running_loop().time
        began = clock()
        while clock() - began < PATIENCE_S:
            status, head, _ = await request_part(
                self.shared, number, f'good{number % SOUND_PARTS}'
            )
            if status == 200:
                self.served += 1
                return
            after_s = float(harness.header(head, 'Retry-After') or 0.1)
            await asyncio.sleep(min(after_s, 0.5))
        self.given_up.append(began)


def test_requests_that_share_a_bad_part_are_stopped_at_all_entries():
    """One part of a prompt crashes each engine that begins to answer it.

    No two of the requests are alike. Sound requests share the first part of
    the prompt and the account with them.
    """

    async def main(shared):
        clock = asyncio.get_running_loop().time
        began = clock()
        number = 0
        async with SoundRequests(shared) as sound:
            await sound.wait_for(24)
            while clock() - began < 8.0:
                await request_part(shared, number, BAD_PART)
                number += 1
                await asyncio.sleep(0.1)
                crashes = shared.crashed_at
                if len(crashes) >= 5 and clock() - crashes[4] > 3.0:
                    break
            in_time = len(shared.crashed_at)
            last = [
                await request_part(shared, number + more, BAD_PART)
                for more in range(12)
            ]
            await sound.wait_for(24)
        later = len(shared.crashed_at) - in_time
        return shared.crashed_at, later, last, sound.given_up

    crashed_at, later, last, given_up = run(main)
    assert len(crashed_at) >= 3
    assert later <= MAX_RETRIES
    assert sum(status == 503 for status, _, _ in last) >= 12 - MAX_RETRIES
    for status, head, body in last:
        if status == 503:
            assert float(harness.header(head, 'Retry-After')) > 0
            assert f'part {BAD_PART} of the prompt'.encode() in body
    # Requests that were at several crashes may still be suspected, and are
    # given up; all that came after the fifth crash are served.
    known_at = crashed_at[:5][-1]
    assert all(began < known_at for began in given_up)


@pytest.mark.parametrize('is_suspect', [True, False])
def test_retry_waits_for_what_the_crash_before_it_shows(is_suspect):
    """One request would crash two engines within a moment.

    Its part is quarantined while the crash in its first run is checked.
    """

    async def main(shared):
        gossip = shared.gateways[0].context.guard.gossip
        part = quarantine.part_fingerprint(BAD_PART)
        if is_suspect:
            gossip.report_crash('another', {part: 0.1}, 4)
        shared.when_crashed = lambda: asyncio.get_running_loop().call_later(
            0.03, gossip.report_quarantine, part, 60.0
        )
        reply = await request_part(shared, 0, BAD_PART)
        return reply, len(shared.crashed_at)

    (status, _, _), crashes = run(main)
    assert crashes == 1
    # It has run, so that it must not be said that it has not.
    assert status == 502
