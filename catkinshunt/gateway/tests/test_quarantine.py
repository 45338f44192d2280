"""Requests that crash their upstreams, before several entries."""

import asyncio
import contextlib

from catkinshunt.gateway.tests import scene as scenes
from catkinshunt import quarantine
from catkinshunt.quarantine.tests import entries

BAD = b'a prompt that no engine survives'
#: Seconds within which all entries must know, in the users' deployments.
CONTACT_S = 3.0
#: Runs that are allowed after that.
MOST_RETRIES = 3


class CrashingUpstream(scenes.FakeUpstream):
    """An engine that ends with all its connections under a bad request."""

    def __init__(self, name, on_crash):
        super().__init__(name, self._answer, 'plain')
        self.on_crash = on_crash
        self.writers = []

    async def _serve(self, reader, writer):
        self.writers.append(writer)
        await super()._serve(reader, writer)

    async def _answer(self, head, writer, upstream):
        if scenes.field(head, 'Content-Length') == str(len(BAD)):
            self.stop()
            for each in self.writers:
                each.transport.abort()
            self.on_crash(self)
            return
        await asyncio.sleep(0.05)
        writer.write(scenes.reply(head))


class Fleet:
    """Entries that share upstreams; a crashed one is replaced at once."""

    def __init__(self):
        self.scenes = []
        self.upstreams = []
        self.crashed_at = []
        self.when_crashed = lambda: None
        self._tasks = set()

    async def add_upstream(self):
        number = len(self.upstreams)
        upstream = CrashingUpstream(f'u{number}', self._on_crash)
        self.upstreams.append(await upstream.start())
        for scene in self.scenes:
            scene.context.catalog.put_upstream(upstream.entry())

    def _on_crash(self, upstream):
        self.crashed_at.append(asyncio.get_running_loop().time())
        self.when_crashed()
        for scene in self.scenes:
            scene.context.catalog.drop_upstream(upstream.name, 0.0)
        task = asyncio.ensure_future(self.add_upstream())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def request(self, number, path='/read/1', body=BAD, **headers):
        scene = self.scenes[number % len(self.scenes)]
        return await scene.request(path, 'POST', body, **headers)


@contextlib.asynccontextmanager
async def fleet(count=3, upstreams=4, guarded=True):
    found = Fleet()
    async with contextlib.AsyncExitStack() as stack:
        known = await stack.enter_async_context(
            entries.Entries(count).running()
        )
        for gossip in known.gossips.values():
            guard = quarantine.Guard(gossip) if guarded else None
            found.scenes.append(
                await stack.enter_async_context(
                    scenes.scene(retry_burst=100.0, guard=guard)
                )
            )
        for _ in range(upstreams):
            await found.add_upstream()
        try:
            yield found
        finally:
            for upstream in found.upstreams:
                upstream.stop()


def run(main, **options):
    async def inside():
        async with fleet(**options) as found:
            return await main(found)

    return asyncio.run(inside())


async def ask_often(found):
    """Let the bad request come to each entry in turn; return its replies."""
    replies = []
    for number in range(24):
        replies.append(await found.request(number))
        await asyncio.sleep(0.05)
    return replies


def test_a_request_that_crashes_its_upstreams_is_not_run_for_ever():
    """It comes again at any entry, and each sees some of the crashes.

    All upstreams of a service would go down one after the other, and all
    that they were working on with them.
    """

    async def main(found):
        replies = await ask_often(found)
        third = found.crashed_at[2]
        late = [t for t in found.crashed_at if t > third + CONTACT_S]
        before = len(found.crashed_at)
        last = [await found.request(number) for number in range(3)]
        return replies, late, len(found.crashed_at) - before, last

    replies, late, further, last = run(main)
    assert len(late) <= MOST_RETRIES
    assert further == 0
    for status, head, _ in last:
        assert status == 503
        assert float(scenes.field(head, 'Retry-After')) > 0
    assert replies[0][0] == 502


def test_callers_beside_a_crash_are_still_served():
    """Their requests ended with the upstream, again and again."""

    async def main(found):
        stop = asyncio.Event()
        statuses = []

        async def work(name):
            while not stop.is_set():
                body = f'a sound prompt of {name}'.encode()
                statuses.append((await found.request(name, body=body))[0])

        workers = [asyncio.ensure_future(work(n)) for n in range(12)]
        await ask_often(found)
        stop.set()
        await asyncio.gather(*workers)
        last = []
        for name in range(12):
            body = f'a sound prompt of {name}'.encode()
            last.append((await found.request(name, body=body))[0])
        return statuses, last

    statuses, last = run(main)
    assert 503 not in statuses
    assert last == [200] * 12


def test_other_requests_of_the_same_caller_and_path_are_served():
    async def main(found):
        await ask_often(found)
        return await found.request(0, body=b'sound'), await found.request(0)

    sound, bad = run(main)
    assert sound[0] == 200
    assert bad[0] == 503


def test_a_refusal_after_a_run_does_not_say_that_it_has_not_run():
    """A request is barred while its own try is at an upstream."""

    async def main(found):
        gossip = found.scenes[0].context.guard.gossip
        request = quarantine.fingerprint(
            scenes.HOST, 'POST', '/read/1', 'workshop', BAD
        )
        found.when_crashed = lambda: gossip.add(request, 60.0)
        first = await found.request(0)
        return first, await found.request(0), len(found.crashed_at)

    first, second, crashes = run(main)
    assert first[0] == 502
    assert second[0] == 503
    assert crashes == 1
