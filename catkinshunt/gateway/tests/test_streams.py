import asyncio

from catkinshunt import catalog as catalogs
from catkinshunt.gateway import _events
from catkinshunt.gateway.tests import scene as scenes
from catkinshunt import retries

CHAT = {'Model': scenes.MODEL, 'Tokens': '100,20'}


def run(main):
    return asyncio.run(main())


def engine(name, answer, version=1):
    versions = {scenes.MODEL: version} if version else {}
    return scenes.FakeUpstream(name, answer, 'model', versions)


def whole(last, begin=1):
    return b''.join(map(scenes.event, range(begin, last + 1)))


async def chat(scene, path='/chat/1', **headers):
    return await scene.request(path, 'POST', b'hello', **CHAT, **headers)


def test_events_come_in_order_and_whole():
    async def main():
        async with scenes.scene(engine('u1', scenes.streaming(5))) as scene:
            return await chat(scene)

    status, head, body = run(main)
    assert status == 200
    assert body == whole(5)


def test_a_broken_stream_is_taken_up_by_another_engine():
    """An engine dies in the middle of an answer, within an event.

    The caller sees one series without gap or repetition, under the headers
    of the first engine. The second engine is told which event came last.
    """

    async def main():
        first = engine('u1', scenes.streaming(6, breaks_after=3))
        second = engine('u2', scenes.streaming(6))
        async with scenes.scene(first, second) as scene:
            tracker = scene.context.tracker
            tracker.state(second.entry()).rest(scene.context.clock(), 0.5)
            return await chat(scene), second.heads

    (_, head, body), heads = run(main)
    assert body == whole(6)
    assert scenes.field(head, 'Stamp') == 'u1'
    assert scenes.field(heads[0], 'Last-Event-Id') == '3'


def test_a_stream_that_falls_silent_is_taken_up_by_another_engine():
    """An engine loses its power: nothing comes, and nothing is closed.

    The caller would wait until it gives up. With no byte on any connection
    for a while, the rest is asked for elsewhere.
    """

    async def main():
        dark = engine('u1', scenes.streaming(6, breaks_after=2, hangs=True))
        second = engine('u2', scenes.streaming(6))
        async with scenes.scene(dark, second) as scene:
            tracker = scene.context.tracker
            tracker.state(second.entry()).rest(scene.context.clock(), 0.5)
            return await chat(scene)

    assert run(main)[2] == whole(6)


def ask_while_one_stands_still(count, retry_burst):
    """Return what asks `count` requests of the first of two engines.

    It stands still, and the other has room a little later. The coroutine
    function returns the statuses.
    """

    async def still(head, writer, upstream):
        await asyncio.sleep(60)

    async def main():
        dark = engine('u1', still)
        other = engine('u2', scenes.streaming(2))
        async with scenes.scene(dark, other, retry_burst=retry_burst) as scene:
            tracker = scene.context.tracker
            tracker.state(other.entry()).rest(scene.context.clock(), 0.3)
            asked = [
                chat(scene, Request_Id=f'a{n}', Left_Ms='3000')
                for n in range(count)
            ]
            return [reply[0] for reply in await asyncio.gather(*asked)]

    return main


def test_all_streams_of_an_engine_that_stands_still_move():
    """An engine stands still with twelve requests, and others have room.

    Each entry keeps five retries beyond a share of its requests, since it
    does not know how many entries there are. With these spent, the other
    callers wait until they give up, and the engine works on their requests
    when it wakes, for nobody.
    """
    assert run(ask_while_one_stands_still(12, 5.0)) == [200] * 12


def test_an_entry_of_four_moves_all_streams_of_an_engine():
    """An engine stands still with sixteen requests, and others have room.

    With the retries of an entry spent, the other callers wait until they
    give up, and the engine works on their requests when it wakes, for
    nobody. An entry of four that share 80 retries has enough for all that
    run on an engine.
    """
    burst = retries.BurstShare(burst=80.0).choose(now=0.0)
    assert run(ask_while_one_stands_still(16, burst)) == [200] * 16


def test_a_silent_engine_is_waited_for_when_no_retry_is_left():
    """An engine is silent for a second, and the retry budget is spent.

    Given up, the request would fail for want of another try; the engine
    goes on after the pause, and the caller gets its whole answer.
    """

    async def pauses(head, writer, upstream):
        await asyncio.sleep(1.2)
        await scenes.streaming(3)(head, writer, upstream)

    async def main():
        first = engine('u1', pauses)
        second = engine('u2', pauses)
        async with scenes.scene(first, second, retry_burst=0.5) as scene:
            return await chat(scene), len(first.heads) + len(second.heads)

    (_, _, body), sends = run(main)
    assert body == whole(3)
    assert sends == 1


def test_a_stream_that_cannot_go_on_never_looks_whole():
    """The only engine breaks off and nobody can go on.

    The end of the body must be missing, or the caller would take half an
    answer for the whole.
    """

    async def main():
        only = engine('u1', scenes.streaming(6, breaks_after=3))
        async with scenes.scene(only) as scene:
            return await chat(scene)

    status, _, body = run(main)
    assert status == 200
    assert body is None


def test_a_stream_that_may_not_be_resumed_is_sent_once():
    async def main():
        first = engine('u1', scenes.streaming(6, breaks_after=3))
        second = engine('u2', scenes.streaming(6, breaks_after=3))
        async with scenes.scene(first, second) as scene:
            found = await chat(scene, '/once/1')
            return found[2], len(first.heads) + len(second.heads)

    assert run(main) == (None, 1)


def test_a_gap_in_the_events_is_not_passed_on():
    """A faulty engine leaves out an event.

    The caller would get an answer with a hole; the rest is asked for
    elsewhere instead.
    """

    async def gap(head, writer, upstream):
        upstream.name = 'u1'
        body = scenes.event(1) + scenes.event(3)
        writer.write(
            scenes.reply(
                head, body=body, items=[('Content-Type', 'text/event-stream')]
            )
        )

    async def main():
        first = engine('u1', gap)
        second = engine('u2', scenes.streaming(3))
        async with scenes.scene(first, second) as scene:
            tracker = scene.context.tracker
            tracker.state(second.entry()).rest(scene.context.clock(), 0.5)
            return await chat(scene)

    assert run(main)[2] == whole(3)


def test_a_caller_can_resume_by_itself():
    async def main():
        async with scenes.scene(engine('u1', scenes.streaming(5))) as scene:
            return await chat(scene, Last_Event_Id='3')

    assert run(main)[2] == whole(5, begin=4)


def test_only_engines_that_hold_the_model_get_work():
    """An engine that was just added holds no weights.

    It would refuse every request, or keep it waiting until it is loaded.
    """

    async def main():
        empty = engine('u1', scenes.refusing(), version=None)
        loaded = engine('u2', scenes.streaming(2))
        async with scenes.scene(empty, loaded) as scene:
            found = [(await chat(scene))[0] for _ in range(3)]
            return found, len(empty.heads)

    assert run(main) == ([200, 200, 200], 0)


def test_no_request_begins_on_a_version_that_is_too_old():
    """A version was named, and the time to serve the one before is over.

    An engine that still has the old one gets no request; the caller waits
    for a moment and is then told when to come back.
    """

    async def main():
        old = engine('u1', scenes.streaming(2), version=1)
        new = engine('u2', scenes.streaming(2), version=2)
        async with scenes.scene(old, new) as scene:
            scene.context.version_grace_s = 4.0
            now = scene.context.wall()
            scene.context.catalog.add_named_version(scenes.MODEL, 2, now - 5)
            first = await chat(scene)
            scene.context.catalog.add_named_version(scenes.MODEL, 3, now - 4.5)
            second = await chat(scene)
            return first, second, len(old.heads)

    first, second, old_requests = run(main)
    assert first[0] == 200
    assert second[0] == 429
    assert float(scenes.field(second[1], 'Retry-After')) > 0
    assert old_requests == 0


def test_a_request_that_has_not_begun_is_taken_back_when_its_version_is_due():
    """A request waits in the queue of an engine with the old version.

    The new version becomes due while it waits. Begun later it would be
    answered from weights that should no longer serve; so it is taken back
    and sent to an engine with the new one.
    """

    async def queued(head, writer, upstream):
        await asyncio.sleep(60)

    async def main():
        old = engine('u1', queued, version=1)
        new = engine('u2', scenes.streaming(2), version=2)
        async with scenes.scene(old, new) as scene:
            context = scene.context
            context.version_grace_s = 1.0
            context.catalog.add_named_version(
                scenes.MODEL, 2, context.wall() - 0.5
            )
            context.tracker.state(new.entry()).rest(context.clock(), 0.2)
            found = await chat(scene)
            await asyncio.wait_for(old.closed.wait(), 2)
            return found, len(old.heads)

    (status, _, body), old_requests = run(main)
    assert (status, body) == (200, whole(2))
    assert old_requests == 1


def test_a_request_waits_while_all_engines_load():
    """All engines load a new version at the same moment.

    Refused at once, callers would come back into the same gap. The request
    waits for the first engine that is there again.
    """

    async def main():
        busy = engine('u1', scenes.streaming(2), version=None)
        async with scenes.scene(busy) as scene:
            asking = asyncio.ensure_future(chat(scene))
            await asyncio.sleep(0.1)
            scene.context.catalog.put_upstream(
                busy.entry(versions={scenes.MODEL: 1})
            )
            return await asking

    assert run(main)[0] == 200


def test_a_request_past_its_goal_goes_behind_others():
    """A caller that was refused and comes back is late already.

    Served first, it would make others late that can still be in time.
    """

    async def main():
        upstream = engine('u1', scenes.streaming(1))
        async with scenes.scene(upstream) as scene:
            await chat(scene, Left_Ms='6000')
            await chat(scene, Left_Ms='4000')
            return [int(scenes.field(head, 'Rank')) for head in upstream.heads]

    fresh, again = run(main)
    assert fresh < again


def test_a_stop_cuts_no_stream():
    """A process is told to stop while a stream is on its way.

    The stream goes on to its end and its connection is closed after it; new
    requests are served for a while, since callers cannot know yet.
    """

    async def slow(head, writer, upstream):
        await scenes.streaming(2, breaks_after=9)(head, writer, upstream)

    async def main():
        upstream = engine('u1', slow)
        async with scenes.scene(upstream) as scene:
            stopping = asyncio.ensure_future(scene.server.stop(5.0))
            await asyncio.sleep(0)
            ready = scene.server.is_ready()
            found = await chat(scene)
            late = scene.context.clock()
            await stopping
            return ready, found, scene.context.clock() - late

    ready, (status, head, body), _ = run(main)
    assert not ready
    assert (status, body) == (200, whole(2))
    assert scenes.field(head, 'Connection') == 'close'


def test_a_stop_refuses_what_comes_too_late():
    """Callers with open connections go on asking a process that stops.

    After some seconds it refuses, truly, so that nothing is cut at its end.
    """

    async def main():
        async with scenes.scene(engine('u1', scenes.streaming(2))) as scene:
            scene.context.stopping_since = scene.context.clock() - 3.5
            return await chat(scene)

    status, head, _ = run(main)
    assert status == 503
    assert float(scenes.field(head, 'Retry-After')) > 0
    assert scenes.field(head, 'Connection') == 'close'


def test_events_split_anywhere_come_out_whole():
    stream = whole(4)
    for cut in range(len(stream)):
        splitter = _events.EventSplitter()
        found = splitter.feed(stream[:cut]) + splitter.feed(stream[cut:])
        assert b''.join(e.data for e in found) == stream
        assert [e.id for e in found] == [1, 2, 3, 4]
        assert not splitter.rest


def test_shares_of_a_rule_are_kept():
    serve = catalogs.Serve([catalogs.Share('a', 90), catalogs.Share('b', 10)])
    chosen = [serve.choose_service(step / 1000) for step in range(1000)]
    assert chosen.count('a') == 900
