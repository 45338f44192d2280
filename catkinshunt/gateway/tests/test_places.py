import asyncio
import time

import pytest

from catkinshunt.gateway.tests import scene as scenes
from catkinshunt import places

#: Address of an engine whose sidecar is not asked.
SILENT_HOST = '127.0.0.2'
CHAT = {'Model': scenes.MODEL, 'Tokens': '100,20'}


class FakeDoor:
    """Sidecars that answer asks for places as told, one after the other.

    An answer is a message class, the reason of a refusal, or None for none;
    beyond the last one places are granted.
    """

    is_started = True

    def __init__(self, *answers):
        self.answers = list(answers)
        self.asks = []
        self.in_use = 0
        self.granted = 0
        self.make_asking = FakeAsking

    def is_responsive(self, host):
        return True

    def request(self, host, make_request):
        ask = make_request(len(self.asks))
        self.asks.append(ask)
        answer = self.answers.pop(0) if self.answers else places.PermitGranted
        return self.make_asking(self, ask, answer)


class FakeAsking:
    def __init__(self, door, ask, answer):
        self.door = door
        self.request = ask
        self.answer = answer
        self.reply = None

    async def first_reply(self):
        if self.answer is places.PermitGranted:
            self.door.in_use += 1
            self.door.granted += 1
            self.reply = places.PermitGranted(self.request.number, 1)
        elif self.answer is places.PermitQueued:
            self.reply = places.PermitQueued(self.request.number)
        elif self.answer is not None:
            self.reply = places.PermitRejected(
                self.request.number, self.answer, 1.7
            )
        return self.reply

    async def final_reply(self):
        self.answer = places.PermitGranted
        return await self.first_reply()

    def end(self):
        self.door.in_use -= isinstance(self.reply, places.PermitGranted)


def engine(name, answer, version=1):
    return scenes.FakeUpstream(name, answer, 'model', {scenes.MODEL: version})


def play(door, *engines, **headers):
    """Ask once through a gateway; return the reply."""

    async def main():
        async with scenes.scene(*engines) as scene:
            scene.context.permit_client = door
            return await scene.request(
                '/chat/1', 'POST', b'hello', **CHAT, **headers
            )

    return asyncio.run(main())


def test_a_place_is_held_as_long_as_the_answer_lasts():
    door = FakeDoor()
    held = []

    async def answer(head, writer, upstream):
        held.append(door.in_use)
        return await scenes.streaming(3)(head, writer, upstream)

    status, _, _ = play(door, engine('u1', answer))
    assert (status, held, door.in_use) == (200, [1], 0)


def test_a_place_is_given_back_when_the_engine_breaks():
    door = FakeDoor()

    async def answer(head, writer, upstream):
        return 'close'

    status, _, _ = play(door, engine('u1', answer))
    assert status == 502
    assert door.in_use == 0


def test_a_silent_sidecar_ends_the_old_version_sooner():
    """A link between regions is full, and a new version is about to be due.

    The sidecar of an engine with the old one gives no answer in time. The
    request, sent all the same, came there 0.95 s later and began on weights
    that should no longer serve.
    """
    old = engine('a', scenes.streaming(3), version=1)
    new = engine('b', scenes.streaming(3), version=2)

    async def main():
        async with scenes.scene(old, new) as scene:
            context = scene.context
            context.permit_client = FakeDoor(None, None)
            context.version_grace_s = 8.0
            context.catalog.add_named_version(
                scenes.MODEL, 2, context.wall() - 7.0
            )
            context.tracker.state(new.entry()).rest(context.clock(), 0.2)
            return await scene.request('/chat/1', 'POST', b'hello', **CHAT)

    status, _, _ = asyncio.run(main())
    assert status == 200
    assert not old.heads


def test_nothing_is_sent_to_an_engine_whose_time_ran_out_meanwhile():
    """A request that waited for its place would begin on the old version."""
    old = engine('a', scenes.streaming(3), version=1)
    door = FakeDoor(places.PermitQueued)

    async def main():
        async with scenes.scene(old) as scene:
            context = scene.context
            context.permit_client = door
            context.version_grace_s = 8.0

            class Waiting(FakeAsking):
                async def final_reply(self):
                    now = context.wall()
                    context.catalog.add_named_version(
                        scenes.MODEL, 2, now - 9.0
                    )
                    return await super().final_reply()

            door.make_asking = Waiting
            return await scene.request('/chat/1', 'POST', b'hello', **CHAT)

    status, _, _ = asyncio.run(main())
    assert status == 429
    assert not old.heads
    assert door.in_use == 0


def test_where_no_engine_has_room_nothing_is_sent():
    """Past capacity each engine is full of requests of all entries.

    Sent there all the same, a request waits for seconds, is late, and keeps
    others from being in time. Its caller is told at once when to come back,
    and that nothing has run.
    """
    engines = [engine(name, scenes.streaming(3)) for name in 'abc']
    status, head, _ = play(FakeDoor(*[places.NO_ROOM] * 3), *engines)
    assert status == 429
    assert scenes.field(head, 'Retry-After') == '1.7'
    assert not any(one.heads for one in engines)


def test_another_engine_is_asked_when_one_is_full():
    engines = [engine(name, scenes.streaming(3)) for name in 'ab']
    status, _, _ = play(FakeDoor(places.NO_ROOM), *engines)
    assert status == 200


def test_a_request_waits_where_no_other_engine_has_room():
    engines = [engine(name, scenes.streaming(3)) for name in 'abc']
    door = FakeDoor(places.PermitQueued, places.NO_ROOM, places.NO_ROOM)
    status, _, _ = play(door, *engines)
    assert status == 200
    assert [ask.no_wait for ask in door.asks] == [False, True, True]
    assert door.in_use == 0


def test_a_request_does_not_wait_where_another_engine_has_room():
    """An entry does not know what others have sent to an engine.

    It asked the one that looked best, which is full, and others stand idle.
    """
    engines = [engine(name, scenes.streaming(3)) for name in 'abc']
    door = FakeDoor(places.PermitQueued, places.NO_ROOM, places.PermitGranted)
    status, _, _ = play(door, *engines)
    assert status == 200
    assert door.in_use == 0


def test_an_engine_about_to_load_is_left_alone():
    """Half of the engines load a version; the others serve meanwhile."""
    engines = [engine(name, scenes.streaming(3)) for name in 'abcd']
    door = FakeDoor(*[places.RELOADING] * 3)
    status, _, _ = play(door, *engines)
    assert status == 200
    assert len(door.asks) == 4


def test_a_request_waits_for_an_engine_that_is_about_to_serve_again():
    async def main():
        only = engine('u1', scenes.streaming(3))
        async with scenes.scene(only) as scene:
            scene.context.permit_client = FakeDoor(places.RELOADING)
            asking = asyncio.ensure_future(
                scene.request('/chat/1', 'POST', b'hello', **CHAT)
            )
            await asyncio.sleep(0.1)
            changed = only.entry(versions={scenes.MODEL: 2})
            scene.context.catalog.put_upstream(changed)
            return await asking

    status, _, _ = asyncio.run(main())
    assert status == 200


def test_a_sidecar_that_gives_no_answer_keeps_nobody_out():
    door = FakeDoor(None)
    status, _, _ = play(door, engine('u1', scenes.streaming(3)))
    assert status == 200


def test_a_silent_engine_is_not_preferred_to_one_that_lets_wait():
    """Behind a narrow link a request comes after its caller has left."""
    first, second = (engine(name, scenes.streaming(3)) for name in 'ab')
    door = FakeDoor(places.PermitQueued, None)
    status, _, _ = play(door, first, second)
    heads = sorted(len(each.heads) for each in (first, second))
    assert (status, heads) == (200, [0, 1])
    assert door.in_use == 0
    assert door.granted == 1


def test_an_engine_that_answers_goes_before_a_silent_one():
    """The first one asked stands behind a full link, and others are free."""
    engines = [engine(name, scenes.streaming(3)) for name in 'ab']
    door = FakeDoor(None)
    status, _, _ = play(door, *engines)
    assert status == 200
    assert (door.granted, door.in_use) == (1, 0)


@pytest.mark.parametrize('silent', ['a', 'b'])
def test_an_engine_known_as_silent_is_left_for_last(silent):
    """Its sidecar gave no answer a moment ago, and is not asked again."""
    engines = [engine(name, scenes.streaming(3)) for name in 'ab']
    (first,) = [each for each in engines if each.name == silent]
    door = FakeDoor()
    door.is_responsive = lambda host: host != SILENT_HOST

    async def main():
        async with scenes.scene(*engines) as scene:
            context = scene.context
            context.permit_client = door
            changed = first.entry(address=(SILENT_HOST, first.port))
            context.catalog.put_upstream(changed)
            status, _, _ = await scene.request(
                '/chat/1', 'POST', b'hello', **CHAT
            )
            return status, context.tracker.state(changed).failures_in_row

    assert asyncio.run(main()) == (200, 0)
    assert door.granted == 1


def hold_up(context, upstream, seconds):
    """Let connections to an upstream be made after `seconds`."""
    pool = context.pool(upstream.entry())
    take = pool.take

    async def take_slowly(fresh=False):
        await asyncio.sleep(seconds)
        return await take(fresh)

    pool.take = take_slowly


def test_nothing_is_sent_over_a_link_that_accepts_no_connection_soon():
    """The link to the sidecar and its engine is full of other bytes.

    What is sent over it comes after its caller has left, and runs for nobody.
    """
    only = engine('u1', scenes.streaming(3))

    async def main():
        async with scenes.scene(only) as scene:
            context = scene.context
            context.permit_client = FakeDoor(None)
            hold_up(context, only, 0.4)
            began = context.clock()
            reply = await scene.request('/chat/1', 'POST', b'hello', **CHAT)
            return reply, context.clock() - began

    (status, head, _), took_s = asyncio.run(main())
    assert status == 429
    assert scenes.field(head, 'Retry-After')
    assert not only.heads
    assert took_s < 0.4


def test_a_request_waits_on_where_the_silent_engine_is_behind_a_full_link():
    """Given up for that engine, it would lose its turn at the other one."""
    engines = [engine(name, scenes.streaming(3)) for name in 'ab']
    door = FakeDoor(places.PermitQueued, None)

    class Waiting(FakeAsking):
        async def final_reply(self):
            await asyncio.sleep(0.2)
            return await super().final_reply()

    door.make_asking = Waiting

    async def main():
        async with scenes.scene(*engines) as scene:
            scene.context.permit_client = door
            for each in engines:
                hold_up(scene.context, each, 0.3)
            return await scene.request('/chat/1', 'POST', b'hello', **CHAT)

    status, _, _ = asyncio.run(main())
    assert (status, door.granted, door.in_use) == (200, 1, 0)


def test_a_request_does_not_wait_in_vain_beside_a_dead_sidecar():
    """The engine beside that sidecar works, and all others are full."""
    engines = [engine(name, scenes.streaming(3)) for name in 'ab']
    door = FakeDoor(places.PermitQueued, None)

    class PermitRejected(FakeAsking):
        async def final_reply(self):
            await asyncio.sleep(2.0)
            return places.PermitRejected(
                self.request.number, places.NO_ROOM, 1.7
            )

    door.make_asking = PermitRejected
    began = time.monotonic()
    status, _, _ = play(door, *engines)
    assert status == 200
    assert time.monotonic() - began < 1.0
    assert sum(len(each.heads) for each in engines) == 1
    assert door.granted == 0


def test_callers_are_served_soon_while_all_sidecars_start():
    """After a loss of power no sidecar answers for some seconds."""
    engines = [engine(name, scenes.streaming(3)) for name in 'abcdef']
    door = FakeDoor(*[None] * 20)

    class Slow(FakeAsking):
        async def first_reply(self):
            await asyncio.sleep(0.5)
            return await super().first_reply()

    door.make_asking = Slow

    async def main():
        async with scenes.scene(*engines) as scene:
            scene.context.permit_client = door
            began = scene.context.clock()
            reply = await scene.request('/chat/1', 'POST', b'hello', **CHAT)
            return reply[0], scene.context.clock() - began

    status, took_s = asyncio.run(main())
    assert status == 200
    assert took_s < 0.9
    assert len(door.asks) <= 2


def test_a_place_at_a_silent_engine_is_given_back_before_the_request_waits():
    """Its grant comes late, and would keep others out for nothing."""
    engines = [engine(name, scenes.streaming(3)) for name in 'ab']
    door = FakeDoor(None, places.PermitQueued)
    ended = []

    class Noting(FakeAsking):
        async def final_reply(self):
            ended.append(len(ends))
            return await super().final_reply()

        def end(self):
            ends.append(self.request.number)
            super().end()

    ends = []
    door.make_asking = Noting
    status, _, _ = play(door, *engines)
    assert (status, ended) == (200, [1])
    assert sorted(ends) == [0, 1]


def test_what_is_refused_elsewhere_does_not_flood_an_uncounted_engine():
    """The sidecar of one engine is dead, and all others are full.

    Nobody counts what goes to that engine. With all that is refused elsewhere
    its queue grows for seconds, and what begins there is late.
    """

    async def main():
        hangs = scenes.streaming(3, breaks_after=1, hangs=True)
        hanging = engine('u1', hangs)
        async with scenes.scene(hanging) as scene:
            scene.context.permit_client = FakeDoor(*[None] * 20)
            asking = [
                asyncio.ensure_future(
                    scene.request('/chat/1', 'POST', b'hello', **CHAT)
                )
                for _ in range(5)
            ]
            done, waiting = await asyncio.wait(asking, timeout=0.5)
            for task in waiting:
                task.cancel()
            return [task.result()[0] for task in done], len(hanging.heads)

    statuses, sent = asyncio.run(main())
    assert sent == 1
    assert statuses == [429] * 4


def test_a_stream_that_broke_off_goes_on_where_all_are_full():
    """Its caller is reading; a refusal now would lose what it has."""
    first = engine('u1', scenes.streaming(6, breaks_after=3))
    second = engine('u2', scenes.streaming(6, breaks_after=3))
    door = FakeDoor(places.PermitGranted, *[places.NO_ROOM] * 3)

    async def answer(head, writer, upstream):
        if scenes.field(head, 'Last-Event-Id'):
            return await scenes.streaming(6)(head, writer, upstream)
        return await scenes.streaming(6, breaks_after=3)(
            head, writer, upstream
        )

    first.answer = second.answer = answer
    status, _, body = play(door, first, second)
    assert status == 200
    assert body.endswith(scenes.event(6))
    assert [ask.resumed for ask in door.asks] == [False, True]


def test_an_ask_tells_how_long_the_request_may_wait():
    door = FakeDoor()
    play(door, engine('u1', scenes.streaming(3)))
    (ask,) = door.asks
    assert not ask.late
    assert 0 < ask.wait_s < 1.0
    assert ask.slots == 4


def test_a_caller_that_waited_before_asks_as_late():
    """It was refused a second ago, and cannot be in time any more."""
    door = FakeDoor()

    async def main():
        async with scenes.scene(engine('u1', scenes.streaming(3))) as scene:
            scene.context.permit_client = door
            for left_ms in ('5000', '5000', '3000'):
                await scene.request(
                    '/chat/1', 'POST', b'hello', Left_Ms=left_ms, **CHAT
                )

    asyncio.run(main())
    assert [ask.late for ask in door.asks] == [False, False, True]
