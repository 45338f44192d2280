import asyncio
import time

import pytest

from catkinshunt.gateway.tests import harness
from catkinshunt import permits

#: Address of an engine whose sidecar is marked unresponsive.
UNRESPONSIVE_HOST = '127.0.0.2'
CHAT = {'Model': harness.MODEL, 'Tokens': '100,20'}


class FakePermitClient:
    """Permit client whose requests get the given replies in order.

    A reply is a message class, the reason of a rejection, or None for no
    reply. After the last one, permits are granted.
    """

    is_started = True

    def __init__(self, *answers):
        self.answers = list(answers)
        self.requests = []
        self.in_use = 0
        self.granted = 0
        self.request_class = FakePermitRequest

    def is_responsive(self, host):
        return True

    async def probe(self, host, slots):
        return True

    def make_handle(self, host, make_request):
        permit_request = make_request(len(self.requests))
        self.requests.append(permit_request)
        answer = self.answers.pop(0) if self.answers else permits.PermitGranted
        return self.request_class(self, permit_request, answer)


class FakePermitRequest:
    def __init__(self, client, permit_request, answer):
        self.client = client
        self.request = permit_request
        self.answer = answer
        self.reply = None

    async def send_and_wait(self):
        if self.answer is permits.PermitGranted:
            self.client.in_use += 1
            self.client.granted += 1
            self.reply = permits.PermitGranted(self.request.number, 1)
        elif self.answer is permits.PermitQueued:
            self.reply = permits.PermitQueued(self.request.number)
        elif self.answer is not None:
            self.reply = permits.PermitRejected(
                self.request.number, self.answer, 1.7
            )
        return self.reply

    async def await_decision(self):
        self.answer = permits.PermitGranted
        return await self.send_and_wait()

    def end(self):
        self.client.in_use -= isinstance(self.reply, permits.PermitGranted)


def make_engine(name, answer, version=1, host='127.0.0.1'):
    return harness.FakeUpstream(
        name, answer, 'model', {harness.MODEL: version}, host
    )


def request_once(client, *engines, **headers):
    """Send one request through a gateway; return the reply."""

    async def main():
        async with harness.running_gateway(*engines) as gateway:
            gateway.context.permit_client = client
            return await gateway.request(
                '/chat/1', 'POST', b'hello', **CHAT, **headers
            )

    return asyncio.run(main())


def test_permit_is_held_until_the_reply_ends():
    client = FakePermitClient()
    held = []

    async def answer(head, writer, upstream):
        held.append(client.in_use)
        return await harness.streaming(3)(head, writer, upstream)

    status, _, _ = request_once(client, make_engine('u1', answer))
    assert (status, held, client.in_use) == (200, [1], 0)


def test_permit_is_released_when_the_engine_fails():
    client = FakePermitClient()

    async def answer(head, writer, upstream):
        return 'close'

    status, _, _ = request_once(client, make_engine('u1', answer))
    assert status == 502
    assert client.in_use == 0


def test_unresponsive_sidecar_makes_the_old_version_outdated_early():
    """A version is about to be due while a link between regions is saturated.

    The sidecar of an engine with the old version does not answer in time. A
    request sent there without a permit can arrive after the old version has
    become outdated, and begin on weights that must no longer serve.
    """
    old = make_engine('a', harness.streaming(3), version=1)
    new = make_engine('b', harness.streaming(3), version=2)

    async def main():
        async with harness.running_gateway(old, new) as gateway:
            context = gateway.context
            context.permit_client = FakePermitClient(None, None)
            context.version_grace_s = 8.0
            context.catalog.add_announced_version(
                harness.MODEL, 2, context.boot_clock() - 7.0
            )
            gateway.pause(new, 0.2)
            return await gateway.request('/chat/1', 'POST', b'hello', **CHAT)

    status, _, _ = asyncio.run(main())
    assert status == 200
    assert not old.heads


def test_version_is_checked_after_waiting_for_a_permit():
    """The version becomes outdated while a request waits for its permit."""
    old = make_engine('a', harness.streaming(3), version=1)
    client = FakePermitClient(permits.PermitQueued)

    async def main():
        async with harness.running_gateway(old) as gateway:
            context = gateway.context
            context.permit_client = client
            context.version_grace_s = 8.0

            class Waiting(FakePermitRequest):
                async def await_decision(self):
                    now = context.boot_clock()
                    context.catalog.add_announced_version(
                        harness.MODEL, 2, now - 9.0
                    )
                    return await super().await_decision()

            client.request_class = Waiting
            return await gateway.request('/chat/1', 'POST', b'hello', **CHAT)

    status, _, _ = asyncio.run(main())
    assert status == 429
    assert not old.heads
    assert client.in_use == 0


def test_request_is_rejected_when_all_engines_are_full():
    """In overload every engine is full of requests of all entries.

    A request sent there anyway would wait for seconds, be late, and delay
    others. It is rejected at once, as not run, with `Retry-After`.
    """
    engines = [make_engine(name, harness.streaming(3)) for name in 'abc']
    status, head, _ = request_once(
        FakePermitClient(*[permits.NO_ROOM] * 3), *engines
    )
    assert status == 429
    assert harness.header(head, 'Retry-After') == '1.7'
    assert not any(one.heads for one in engines)


def test_another_engine_is_tried_when_one_is_full():
    engines = [make_engine(name, harness.streaming(3)) for name in 'ab']
    status, _, _ = request_once(FakePermitClient(permits.NO_ROOM), *engines)
    assert status == 200


def test_queued_permit_is_used_when_other_engines_are_full():
    engines = [make_engine(name, harness.streaming(3)) for name in 'abc']
    client = FakePermitClient(
        permits.PermitQueued, permits.NO_ROOM, permits.NO_ROOM
    )
    status, _, _ = request_once(client, *engines)
    assert status == 200
    assert [r.no_wait for r in client.requests] == [False, True, True]
    assert client.in_use == 0


def test_free_engine_is_preferred_to_a_queued_permit():
    """An entry cannot measure the load of other entries on an engine.

    The engine it prefers can be full while others are idle.
    """
    engines = [make_engine(name, harness.streaming(3)) for name in 'abc']
    client = FakePermitClient(
        permits.PermitQueued, permits.NO_ROOM, permits.PermitGranted
    )
    status, _, _ = request_once(client, *engines)
    assert status == 200
    assert client.in_use == 0


def test_reloading_engine_is_skipped():
    """Some engines load a version while the others serve."""
    engines = [make_engine(name, harness.streaming(3)) for name in 'abcd']
    client = FakePermitClient(*[permits.RELOADING] * 3)
    status, _, _ = request_once(client, *engines)
    assert status == 200
    assert len(client.requests) == 4


def test_request_waits_for_a_reloading_engine():
    async def main():
        only = make_engine('u1', harness.streaming(3))
        async with harness.running_gateway(only) as gateway:
            gateway.context.permit_client = FakePermitClient(permits.RELOADING)
            task = asyncio.ensure_future(
                gateway.request('/chat/1', 'POST', b'hello', **CHAT)
            )
            await asyncio.sleep(0.1)
            changed = only.listed(versions={harness.MODEL: 2})
            gateway.context.catalog.put_upstream(changed)
            return await task

    status, _, _ = asyncio.run(main())
    assert status == 200


def test_unresponsive_sidecar_does_not_block_requests():
    client = FakePermitClient(None)
    status, _, _ = request_once(
        client, make_engine('u1', harness.streaming(3))
    )
    assert status == 200


def test_queued_permit_is_preferred_to_an_unresponsive_sidecar():
    """Over a slow link a request arrives after its client has left."""
    first, second = (make_engine(name, harness.streaming(3)) for name in 'ab')
    client = FakePermitClient(permits.PermitQueued, None)
    status, _, _ = request_once(client, first, second)
    heads = sorted(len(each.heads) for each in (first, second))
    assert (status, heads) == (200, [0, 1])
    assert client.in_use == 0
    assert client.granted == 1


def test_responsive_sidecar_is_preferred():
    """The first sidecar is behind a saturated link, other engines are free."""
    engines = [make_engine(name, harness.streaming(3)) for name in 'ab']
    client = FakePermitClient(None)
    status, _, _ = request_once(client, *engines)
    assert status == 200
    assert (client.granted, client.in_use) == (1, 0)


@pytest.mark.parametrize('unresponsive', ['a', 'b'])
def test_sidecar_known_as_unresponsive_is_tried_last(unresponsive):
    """Its sidecar did not answer recently, and gets no permit request."""
    engines = [make_engine(name, harness.streaming(3)) for name in 'ab']
    (first,) = [each for each in engines if each.name == unresponsive]
    client = FakePermitClient()
    client.is_responsive = lambda host: host != UNRESPONSIVE_HOST

    async def main():
        async with harness.running_gateway(*engines) as gateway:
            context = gateway.context
            context.permit_client = client
            changed = first.listed(address=(UNRESPONSIVE_HOST, first.port))
            context.catalog.put_upstream(changed)
            status, _, _ = await gateway.request(
                '/chat/1', 'POST', b'hello', **CHAT
            )
            return status, context.tracker.state(changed).failures_in_row

    assert asyncio.run(main()) == (200, 0)
    assert client.granted == 1


def delay_connections(context, upstream, seconds):
    """Delay new connections to an upstream by `seconds`."""
    pool = context.pool(upstream.listed())
    take = pool.acquire

    async def take_slowly(fresh=False):
        await asyncio.sleep(seconds)
        return await take(fresh)

    pool.acquire = take_slowly


def test_no_request_is_sent_over_a_saturated_link():
    """The link to a sidecar and its engine is saturated.

    A request sent over it would arrive and run after its client has left.
    """
    only = make_engine('u1', harness.streaming(3))

    async def main():
        async with harness.running_gateway(only) as gateway:
            context = gateway.context
            context.permit_client = FakePermitClient(None)
            delay_connections(context, only, 0.4)
            began = context.clock()
            reply = await gateway.request('/chat/1', 'POST', b'hello', **CHAT)
            return reply, context.clock() - began

    (status, head, _), took_s = asyncio.run(main())
    assert status == 429
    assert harness.header(head, 'Retry-After')
    assert not only.heads
    assert took_s < 0.4


def test_queued_permit_is_kept_while_probing_a_saturated_link():
    """Withdrawing it for that engine would lose its position in the queue."""
    engines = [make_engine(name, harness.streaming(3)) for name in 'ab']
    client = FakePermitClient(permits.PermitQueued, None)

    class Waiting(FakePermitRequest):
        async def await_decision(self):
            await asyncio.sleep(0.2)
            return await super().await_decision()

    client.request_class = Waiting

    async def main():
        async with harness.running_gateway(*engines) as gateway:
            gateway.context.permit_client = client
            for each in engines:
                delay_connections(gateway.context, each, 0.3)
            return await gateway.request('/chat/1', 'POST', b'hello', **CHAT)

    status, _, _ = asyncio.run(main())
    assert (status, client.granted, client.in_use) == (200, 1, 0)


def test_engine_with_an_unresponsive_sidecar_is_used_when_others_are_full():
    """The engine of that sidecar works, and all others are full."""
    engines = [make_engine(name, harness.streaming(3)) for name in 'ab']
    client = FakePermitClient(permits.PermitQueued, None)

    class Rejecting(FakePermitRequest):
        async def await_decision(self):
            await asyncio.sleep(2.0)
            return permits.PermitRejected(
                self.request.number, permits.NO_ROOM, 1.7
            )

    client.request_class = Rejecting
    began = time.monotonic()
    status, _, _ = request_once(client, *engines)
    assert status == 200
    assert time.monotonic() - began < 1.0
    assert sum(len(each.heads) for each in engines) == 1
    assert client.granted == 0


def test_requests_are_served_while_all_sidecars_start():
    """After a power failure no sidecar answers for some seconds."""
    engines = [make_engine(name, harness.streaming(3)) for name in 'abcdef']
    client = FakePermitClient(*[None] * 20)

    class Slow(FakePermitRequest):
        async def send_and_wait(self):
            await asyncio.sleep(0.5)
            return await super().send_and_wait()

    client.request_class = Slow

    async def main():
        async with harness.running_gateway(*engines) as gateway:
            gateway.context.permit_client = client
            began = gateway.context.clock()
            reply = await gateway.request('/chat/1', 'POST', b'hello', **CHAT)
            return reply[0], gateway.context.clock() - began

    status, took_s = asyncio.run(main())
    assert status == 200
    assert took_s < 0.9
    assert len(client.requests) <= 2


def test_unanswered_permit_request_is_withdrawn_before_waiting():
    """A late grant would occupy a permit that no request uses."""
    engines = [make_engine(name, harness.streaming(3)) for name in 'ab']
    client = FakePermitClient(None, permits.PermitQueued)
    ended = []

    class Recording(FakePermitRequest):
        async def await_decision(self):
            ended.append(len(ends))
            return await super().await_decision()

        def end(self):
            ends.append(self.request.number)
            super().end()

    ends = []
    client.request_class = Recording
    status, _, _ = request_once(client, *engines)
    assert (status, ended) == (200, [1])
    assert sorted(ends) == [0, 1]


def test_engine_without_permits_is_not_overloaded():
    """The sidecar of the only engine does not answer.

    No sidecar counts the requests at that engine. If it got all that others
    reject, its queue would grow to seconds, and its answers would be late.
    """

    async def main():
        hangs = harness.streaming(3, breaks_after=1, hangs=True)
        hanging = make_engine('u1', hangs)
        async with harness.running_gateway(hanging) as gateway:
            gateway.context.permit_client = FakePermitClient(*[None] * 20)
            tasks = [
                asyncio.ensure_future(
                    gateway.request('/chat/1', 'POST', b'hello', **CHAT)
                )
                for _ in range(5)
            ]
            done, waiting = await asyncio.wait(tasks, timeout=0.5)
            for task in waiting:
                task.cancel()
            return [task.result()[0] for task in done], len(hanging.heads)

    statuses, sent = asyncio.run(main())
    assert sent == 1
    assert statuses == [429] * 4


def test_interrupted_stream_resumes_when_all_engines_are_full():
    """The client is reading; a rejection would waste what it has got."""
    first = make_engine('u1', harness.streaming(6, breaks_after=3))
    second = make_engine('u2', harness.streaming(6, breaks_after=3))
    client = FakePermitClient(permits.PermitGranted, *[permits.NO_ROOM] * 3)

    async def answer(head, writer, upstream):
        if harness.header(head, 'Last-Event-Id'):
            return await harness.streaming(6)(head, writer, upstream)
        return await harness.streaming(6, breaks_after=3)(
            head, writer, upstream
        )

    first.answer = second.answer = answer
    status, _, body = request_once(client, first, second)
    assert status == 200
    assert body.endswith(harness.event(6))
    assert [r.resumed for r in client.requests] == [False, True]


def test_permit_request_waits_until_the_first_token_target():
    client = FakePermitClient()
    request_once(client, make_engine('u1', harness.streaming(3)))
    (permit_request,) = client.requests
    assert not permit_request.late
    assert 0 < permit_request.wait_s < 1.0
    assert permit_request.slots == 4


def test_client_retry_is_late():
    """A deadline shorter than usual marks a retry, which cannot be in time."""
    client = FakePermitClient()

    async def main():
        async with harness.running_gateway(
            make_engine('u1', harness.streaming(3))
        ) as gateway:
            gateway.context.permit_client = client
            for left_ms in ('5000', '5000', '3000'):
                await gateway.request(
                    '/chat/1', 'POST', b'hello', Left_Ms=left_ms, **CHAT
                )

    asyncio.run(main())
    assert [r.late for r in client.requests] == [False, False, True]


def test_resumed_stream_avoids_an_engine_whose_version_expires():
    """The stream would go on there, without a permit, on an old version.

    No engine has a permit for the rest of it. Its version expires at the first
    one that is asked, and the other one is full.
    """
    client = FakePermitClient(
        permits.PermitGranted, permits.RELOADING, permits.NO_ROOM
    )
    asked, resumed = [], []
    make_handle = client.make_handle

    def record(host, make_request):
        asked.append(host)
        return make_handle(host, make_request)

    client.make_handle = record

    async def answer(head, writer, upstream):
        if not harness.header(head, 'Last-Event-Id'):
            return await harness.streaming(6, breaks_after=3)(
                head, writer, upstream
            )
        resumed.append(upstream)
        return await harness.streaming(6)(head, writer, upstream)

    hosts = [f'127.0.0.{number}' for number in (3, 4, 5)]
    engines = [make_engine(f'u{host}', answer, host=host) for host in hosts]
    status, _, _ = request_once(client, *engines)
    assert status == 200
    assert [engine.host for engine in resumed] == asked[2:3]


def test_request_that_waited_through_a_suspend_is_not_sent():
    """Meanwhile, a version may have become due or its key been revoked."""
    engine = make_engine('u1', harness.streaming(3))
    client = FakePermitClient(permits.PermitQueued)

    async def main():
        async with harness.running_gateway(engine) as gateway:
            context = gateway.context
            context.permit_client = client
            boot_clock, offset = context.boot_clock, [0.0]
            context.boot_clock = lambda: boot_clock() + offset[0]

            class Suspended(FakePermitRequest):
                async def await_decision(self):
                    offset[0] = 9.0
                    return await super().await_decision()

            client.request_class = Suspended
            return await gateway.request('/chat/1', 'POST', b'hello', **CHAT)

    status, headers, _ = asyncio.run(main())
    assert status == 503
    assert float(harness.header(headers, 'Retry-After')) < 1
    assert not engine.heads


def shift_boot_clock(context):
    """Return a list with the seconds that its boot-time clock is ahead."""
    boot_clock, offset = context.boot_clock, [0.0]
    context.boot_clock = lambda: boot_clock() + offset[0]
    return offset


@pytest.mark.parametrize(('age_s', 'status'), [(7.0, 429), (6.0, 200)])
def test_entry_that_is_cut_off_needs_a_sidecar_to_know_the_version(
    age_s, status
):
    """A version that it never hears of may have become due meanwhile."""
    engine = make_engine('u1', harness.streaming(3))

    async def main():
        async with harness.running_gateway(engine, accounts=None) as gateway:
            context = gateway.context
            context.permit_client = FakePermitClient(None)
            shift_boot_clock(context)[0] = age_s
            return await gateway.request('/chat/1', 'POST', b'hello', **CHAT)

    assert asyncio.run(main())[0] == status
    assert len(engine.heads) == (status == 200)


def test_entry_that_is_cut_off_serves_what_sidecars_admit():
    """A long outage of the store ends no work on engines."""
    engine = make_engine('u1', harness.streaming(3))

    async def main():
        async with harness.running_gateway(engine, accounts=None) as gateway:
            context = gateway.context
            context.permit_client = FakePermitClient()
            shift_boot_clock(context)[0] = 60.0
            return await gateway.request('/chat/1', 'POST', b'hello', **CHAT)

    assert asyncio.run(main())[0] == 200


def test_permit_from_before_a_suspend_shows_no_version():
    """A version may have become due in the suspend, also without keys."""
    engine = make_engine('u1', harness.streaming(3))
    client = FakePermitClient(permits.PermitQueued)

    async def main():
        async with harness.running_gateway(engine, accounts=None) as gateway:
            context = gateway.context
            context.permit_client = client
            offset = shift_boot_clock(context)

            class Suspended(FakePermitRequest):
                async def await_decision(self):
                    offset[0] = 9.0
                    return await super().await_decision()

            client.request_class = Suspended
            reply = await gateway.request('/chat/1', 'POST', b'hello', **CHAT)
            return reply, len(client.requests)

    (status, _, _), asked = asyncio.run(main())
    # The sidecar is asked again.
    assert (status, asked) == (200, 2)


def test_resumed_stream_needs_a_sidecar_that_knows_the_version():
    """A suspend falls between the first part of a stream and the next."""
    offset = []

    async def answer(head, writer, upstream):
        if harness.header(head, 'Last-Event-Id'):
            return await harness.streaming(6)(head, writer, upstream)
        offset[0][0] = 9.0
        return await harness.streaming(6, breaks_after=3)(
            head, writer, upstream
        )

    engines = [make_engine(name, answer) for name in 'ab']
    client = FakePermitClient(permits.PermitGranted, *[None] * 2)

    async def main():
        async with harness.running_gateway(*engines, accounts=None) as gateway:
            gateway.context.permit_client = client
            offset.append(shift_boot_clock(gateway.context))
            return await gateway.request('/chat/1', 'POST', b'hello', **CHAT)

    asyncio.run(main())
    assert sum(len(engine.heads) for engine in engines) == 1
