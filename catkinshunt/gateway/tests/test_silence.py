"""Upstreams that fall silent for a moment, and go on."""

import asyncio
import contextlib
import math
import socket
import threading
import time

import pytest

from catkinshunt.gateway import _relay
from catkinshunt.gateway.tests import harness
from catkinshunt.gateway.tests import test_permits
from catkinshunt.gateway.tests import test_streams
from catkinshunt import http1
from catkinshunt import permits
from catkinshunt import rules

EVENTS = 5
#: Seconds for which an engine is silent, longer than
#: `dispatch.UNRESPONSIVE_S`.
SILENCES_S = (1.0, 1.5)
#: Events of the reply that arrive before the silence; None for a silence
#: before the head of the reply.
STAGES = (None, 0, 2)


def pausing(after, silent_s, last=EVENTS):
    """Return an answer function that falls silent once and then goes on.

    Args:
        after: number of the last event before the silence, 0 for the head,
            None for a silence before it.
        silent_s: its length in seconds.
        last: number of the last event.
    """

    async def answer(head, writer, upstream):
        if after is None:
            await asyncio.sleep(silent_s)
        first = int(harness.header(head, 'Last-Event-Id') or 0) + 1
        writer.write(harness.stream_head(head, upstream))
        for number in range(first, last + 1):
            if number == (after or 0) + 1 and after is not None:
                await asyncio.sleep(silent_s)
            writer.write(harness.chunk_of(number))
            await writer.drain()
        writer.write(harness.LAST_CHUNK)

    return answer


async def queued(head, writer, upstream):
    """Answer function of an engine whose queue does not move."""
    await asyncio.sleep(60)


async def breaking(head, writer, upstream):
    """Answer function of an engine that drops each request."""
    return 'close'


async def silent_for_good(head, writer, upstream):
    """Answer function of an engine that sends the head of its reply only."""
    writer.write(harness.stream_head(head, upstream))
    await asyncio.sleep(60)


async def ask(first, second, prepare=lambda gateway: None):
    """Return the body of a reply to a stream, or its status if not 200.

    Args:
        first: answer function of the engine that gets the request.
        second: answer function of the other one.
        prepare: function that gets the `GatewayHarness` before the request.
    """
    silent = test_streams.make_engine('u1', first)
    other = test_streams.make_engine('u2', second)
    async with harness.running_gateway(silent, other) as gateway:
        gateway.pause(other, 0.3)
        prepare(gateway)
        status, _, body = await test_streams.chat(gateway)
        return body if status == 200 else status


def ask_for_each(cases):
    """Return the outcome of `ask` by the name of each case.

    Args:
        cases: arguments of `ask`, by a name.
    """

    async def main():
        found = await asyncio.gather(*(ask(*args) for args in cases.values()))
        return dict(zip(cases, found, strict=True))

    return asyncio.run(main())


def whole(cases):
    """Return the whole answer for each case."""
    return dict.fromkeys(cases, test_streams.events(EVENTS))


def make_version_due(gateway, in_s=1.2):
    """Announce a version that neither engine has, due in `in_s` seconds."""
    context = gateway.context
    context.version_grace_s = 4.0
    context.catalog.add_announced_version(
        harness.MODEL, 2, context.boot_clock() + in_s - 4.0
    )


def test_silence_ends_no_answer():
    """A sound engine is silent, and no other one answers in its place."""
    others = {
        'queued': queued,
        'breaks off': breaking,
        'rejects': harness.rejecting(),
        'fails': harness.replying(500),
        'silent': pausing(None, 3.0),
    }
    cases = {
        (name, after, silent_s): (pausing(after, silent_s), other)
        for name, other in others.items()
        for after in STAGES
        for silent_s in SILENCES_S
    }
    assert ask_for_each(cases) == whole(cases)


def test_silence_before_a_version_is_due_ends_no_answer():
    """The stream moves to an engine whose version then becomes outdated."""
    cases = {
        (after, silent_s): (
            pausing(after, silent_s),
            queued,
            make_version_due,
        )
        for after in (0, 2)
        for silent_s in SILENCES_S
    }
    assert ask_for_each(cases) == whole(cases)


@pytest.mark.parametrize('first', [queued, silent_for_good])
def test_run_of_a_silent_engine_ends_once_another_replies(first):
    """The engine would work on when it goes on, for a client that has left."""

    async def main():
        silent = test_streams.make_engine('u1', first)
        other = test_streams.make_engine('u2', harness.streaming(EVENTS))
        async with harness.running_gateway(silent, other) as gateway:
            gateway.pause(other, 0.3)
            _, _, body = await test_streams.chat(gateway)
            await asyncio.wait_for(silent.closed.wait(), 0.1)
            return body, silent.was_reset

    assert asyncio.run(main()) == (test_streams.events(EVENTS), True)


def test_all_runs_end_when_the_client_leaves():
    """Two engines would work for a client that waits for neither."""

    async def main():
        engines = [
            test_streams.make_engine(f'u{number}', queued) for number in (1, 2)
        ]
        async with harness.running_gateway(*engines) as gateway:
            reader, writer = await gateway.connect()
            await harness.send_request(
                writer, '/chat/1', 'POST', b'hello', **test_streams.CHAT
            )
            await asyncio.sleep(1.3)
            sends = [len(engine.heads) for engine in engines]
            writer.close()
            for engine in engines:
                await asyncio.wait_for(engine.closed.wait(), 0.2)
            return sends

    assert asyncio.run(main()) == [1, 1]


def test_reply_of_a_third_engine_ends_both_silent_runs():
    """The first engine goes on while the third one is being relayed."""

    async def main():
        engines = [
            test_streams.make_engine('u1', pausing(2, 2.2)),
            test_streams.make_engine('u2', queued),
            test_streams.make_engine('u3', pausing(3, 1.0)),
        ]
        async with harness.running_gateway(
            *engines,
            rule_set=rules.RuleSet(harness.make_rules(max_tries=3)),
        ) as gateway:
            for engine, pause_s in zip(engines[1:], (0.3, 1.5), strict=True):
                gateway.pause(engine, pause_s)
            _, _, body = await test_streams.chat(gateway)
            return body, [len(engine.heads) for engine in engines]

    assert asyncio.run(main()) == (test_streams.events(EVENTS), [1, 1, 1])


def test_attempts_that_are_not_sent_cost_no_retries():
    """Full engines would spend the retries that a dead one needs."""

    async def main():
        silent = test_streams.make_engine('u1', pausing(None, 2.5))
        other = test_streams.make_engine('u2', queued)
        client = test_permits.FakePermitClient(
            permits.PermitGranted, *['no-room'] * 20
        )
        async with harness.running_gateway(silent, other) as gateway:
            context = gateway.context
            context.permit_client = client
            gateway.pause(other, 0.3)
            _, _, body = await test_streams.chat(gateway)
            tokens = context.retry_budget('model').report()['tokens']
            return body, len(other.heads), tokens, len(client.requests)

    body, sends, tokens, requests = asyncio.run(main())
    assert (body, sends) == (test_streams.events(EVENTS), 0)
    assert tokens == 10.0
    assert 3 <= requests <= 6


@pytest.mark.parametrize('silent_s', SILENCES_S)
@pytest.mark.parametrize('path', ['/once/1', '/book/1'])
def test_silence_ends_no_answer_that_may_run_once(path, silent_s):
    """A request that must not run twice is left to its silent upstream."""

    async def main():
        upstream = harness.FakeUpstream(
            'u1', pausing(None, silent_s), *_service(path)
        )
        async with harness.running_gateway(upstream) as gateway:
            return await test_streams.chat(gateway, path)

    status, _, body = asyncio.run(main())
    assert (status, body) == (200, test_streams.events(EVENTS))


def _service(path):
    if path.startswith('/book/'):
        return ('plain', None)
    return ('model', {harness.MODEL: 1})


def begins_late(wait_s):
    """Return an answer function of an engine that replies after a while."""

    async def answer(head, writer, upstream):
        await asyncio.sleep(wait_s)
        await harness.streaming(EVENTS)(head, writer, upstream)

    return answer


def ends_with(end, silent_s=1.0, events=0):
    """Return an answer function that falls silent, and then ends otherwise.

    Args:
        end: answer function for the end.
        silent_s: length of the silence in seconds.
        events: number of events before it.
    """

    async def answer(head, writer, upstream):
        if events:
            writer.write(harness.stream_head(head, upstream))
        for number in range(1, events + 1):
            writer.write(harness.chunk_of(number))
        await asyncio.sleep(silent_s)
        return await end(head, writer, upstream)

    return answer


async def breaks_after_head(head, writer, upstream):
    writer.write(harness.stream_head(head, upstream))
    await asyncio.sleep(0.05)
    return 'close'


async def breaks_within_event(head, writer, upstream):
    writer.write(harness.chunk_of(3)[:9])
    await asyncio.sleep(0.05)
    return 'close'


async def replies_to_another(head, writer, upstream):
    writer.write(http1.dump_reply(200, [('Request-Id', 'a0')], b'late'))
    await asyncio.sleep(60)


def test_bytes_that_cannot_be_relayed_end_no_other_attempt():
    """The silent engine sends something, but nothing of an answer."""
    ends = {
        'rejects': (harness.rejecting(), 0),
        'fails': (harness.replying(500), 0),
        'sends the head only': (silent_for_good, 0),
        'replies to another request': (replies_to_another, 0),
        'breaks off after the head': (breaks_after_head, 0),
        'breaks off within an event': (breaks_within_event, 2),
        'breaks off': (breaking, 2),
    }
    cases = {
        name: (ends_with(end, events=events), begins_late(0.8))
        for name, (end, events) in ends.items()
    }
    assert ask_for_each(cases) == whole(cases)


def test_error_of_the_second_engine_is_relayed_once_the_first_is_lost():
    """Otherwise the client gets another failure than that of the engine."""
    cases = {
        'fails': (ends_with(breaking), ends_with(harness.replying(500), 0.8))
    }
    assert ask_for_each(cases) == {'fails': 500}


def test_permit_of_the_first_engine_is_released_once_another_replies():
    """An engine that goes on would look full for the length of the stream."""

    async def main():
        in_use = []

        async def slow_events(head, writer, upstream):
            writer.write(harness.stream_head(head, upstream))
            for number in range(1, EVENTS + 1):
                writer.write(harness.chunk_of(number))
                await asyncio.sleep(0.05)
                in_use.append(client.in_use)
            writer.write(harness.LAST_CHUNK)

        silent = test_streams.make_engine('u1', queued)
        other = test_streams.make_engine('u2', slow_events)
        client = test_permits.FakePermitClient()
        async with harness.running_gateway(silent, other) as gateway:
            context = gateway.context
            context.permit_client = client
            gateway.pause(other, 0.3)
            await test_streams.chat(gateway)
        return in_use

    assert asyncio.run(main()) == [1] * EVENTS


def test_request_at_a_dead_engine_is_not_held_until_its_deadline():
    """Two seconds after the last byte, with the sends used up, it has failed.

    The client could retry in the rest of its time.
    """

    async def main():
        dead = test_streams.make_engine('u1', queued)
        other = test_streams.make_engine('u2', harness.rejecting())
        async with harness.running_gateway(dead, other) as gateway:
            now = gateway.context.clock()
            gateway.pause(other, 0.3)
            status, _, _ = await test_streams.chat(gateway)
            return status, gateway.context.clock() - now

    status, took_s = asyncio.run(main())
    assert status == 502
    assert 2.0 < took_s < 2.5


class ThreadedUpstream(harness.FakeUpstream):
    """Sends an event each 0.05 s from threads, while the loop is held up."""

    async def start(self):
        self._socket = socket.create_server(('127.0.0.1', 0))
        self.port = self._socket.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def stop(self):
        self._socket.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                conn, _ = self._socket.accept()
                threading.Thread(
                    target=self._stream, args=(conn,), daemon=True
                ).start()

    def _stream(self, conn):
        with contextlib.suppress(OSError):
            head = conn.recv(65536).decode()
            self.heads.append(head)
            conn.sendall(harness.stream_head(head, self))
            for number in range(1, 31):
                conn.sendall(harness.chunk_of(number))
                time.sleep(0.05)
            conn.sendall(harness.LAST_CHUNK)


def test_stall_of_the_event_loop_is_no_silence():
    """Replies that arrived meanwhile would cost retries and second runs."""

    async def main():
        engines = [
            ThreadedUpstream(name, None, 'model', {harness.MODEL: 1})
            for name in ('u1', 'u2')
        ]
        async with harness.running_gateway(*engines) as gateway:
            asked = [
                asyncio.ensure_future(test_streams.chat(gateway))
                for _ in range(6)
            ]
            await asyncio.sleep(0.3)
            time.sleep(1.0)
            replies = await asyncio.gather(*asked)
            sends = sum(len(engine.heads) for engine in engines)
            tokens = gateway.context.retry_budget('model').report()['tokens']
            return [body for _, _, body in replies], sends, tokens

    bodies, sends, tokens = asyncio.run(main())
    assert bodies == [test_streams.events(30)] * 6
    assert (sends, tokens) == (6, 10.0)


def test_request_at_a_frozen_instance_moves_at_once():
    """Its engine would run the request later, for a client that has left."""

    async def main():
        frozen = test_streams.make_engine('u1', queued)
        other = test_streams.make_engine('u2', begins_late(0.6))
        async with harness.running_gateway(frozen, other) as gateway:
            context = gateway.context
            context.permit_client = UnresponsiveSidecars()
            gateway.pause(other, 0.3)
            asked = asyncio.ensure_future(test_streams.chat(gateway))
            await asyncio.wait_for(frozen.closed.wait(), 1.2)
            is_early = not asked.done()
            return is_early, (await asked)[2]

    assert asyncio.run(main()) == (True, test_streams.events(EVENTS))


def test_no_stream_moves_to_an_engine_that_becomes_outdated():
    """Withdrawn there, it would be cut; the silent engine is awaited."""

    async def main():
        silent = test_streams.make_engine('u1', pausing(2, 1.2))
        other = test_streams.make_engine('u2', queued)
        async with harness.running_gateway(silent, other) as gateway:
            make_version_due(gateway)
            gateway.pause(other, 0.3)
            return (await test_streams.chat(gateway))[2], len(other.heads)

    assert asyncio.run(main()) == (test_streams.events(EVENTS), 0)


def test_reply_that_ends_at_the_deadline_is_followed_by_no_other(monkeypatch):
    """A second head would be taken for the reply to the next request."""
    send = _relay.Relay._send_buffered

    def send_at_the_deadline(relay, head, body):
        send(relay, head, body)
        exchange = relay.exchange
        time.sleep(exchange.deadline - exchange.context.clock() + 0.01)

    monkeypatch.setattr(_relay.Relay, '_send_buffered', send_at_the_deadline)

    async def main():
        silent = harness.FakeUpstream('u1', queued)
        other = harness.FakeUpstream('u2', harness.replying())
        async with harness.running_gateway(silent, other) as gateway:
            gateway.pause(other, 0.3)
            reader, writer = await gateway.connect()
            await harness.send_request(writer, '/read/1', Left_Ms='1200')
            await asyncio.sleep(1.4)
            writer.write_eof()
            return await asyncio.wait_for(reader.read(), 1.0)

    assert asyncio.run(main()).count(b'HTTP/1.1') == 1


def test_engine_that_goes_on_while_its_sidecar_is_asked_is_kept():
    """Its reply arrives before it is known that the sidecar is silent too."""

    class SlowProbe(test_permits.FakePermitClient):
        async def probe(self, host, slots):
            await asyncio.sleep(0.3)
            return False

    async def main():
        silent = test_streams.make_engine('u1', pausing(None, 1.0))
        other = test_streams.make_engine('u2', queued)
        async with harness.running_gateway(silent, other) as gateway:
            context = gateway.context
            context.permit_client = SlowProbe()
            gateway.pause(other, 0.3)
            return (await test_streams.chat(gateway))[2], len(other.heads)

    assert asyncio.run(main()) == (test_streams.events(EVENTS), 0)


class UnresponsiveSidecars(test_permits.FakePermitClient):
    """Grants permits, but does not reply while an engine is silent."""

    async def probe(self, host, slots):
        return False


def test_silence_while_the_sidecar_restarts_cuts_no_stream():
    """The engine is sound, and no other one resumes the stream."""

    def use_them(gateway):
        gateway.context.permit_client = UnresponsiveSidecars()

    others = {
        'queued': queued,
        'breaks off': breaking,
        'rejects': harness.rejecting(),
    }
    cases = {
        (name, silent_s): (pausing(2, silent_s), other, use_them)
        for name, other in others.items()
        for silent_s in SILENCES_S
    }
    assert ask_for_each(cases) == whole(cases)


def test_stream_of_a_frozen_instance_ends_there_before_the_client_leaves():
    """Its engine would work on for a client that waits no longer."""

    async def main():
        frozen = test_streams.make_engine('u1', pausing(2, 60.0))
        other = test_streams.make_engine('u2', queued)
        async with harness.running_gateway(frozen, other) as gateway:
            context = gateway.context
            context.permit_client = UnresponsiveSidecars()
            gateway.pause(other, 0.3)
            began = context.clock()
            asked = asyncio.ensure_future(test_streams.chat(gateway))
            await asyncio.wait_for(frozen.closed.wait(), 3.0)
            closed_s = context.clock() - began
            asked.cancel()
            return closed_s

    assert 2.0 < asyncio.run(main()) < 2.5


def test_stream_moves_while_a_version_is_pending():
    """The entry has started after a version was announced.

    It knows that the version is not due, but not for how long, and left each
    stream at an engine that had fallen silent.
    """

    async def main():
        silent = test_streams.make_engine('u1', silent_for_good)
        other = test_streams.make_engine('u2', harness.streaming(EVENTS))
        async with harness.running_gateway(silent, other) as gateway:
            context = gateway.context
            catalog, now = context.catalog, context.boot_clock()
            catalog.add_announced_version(harness.MODEL, 2, -math.inf)
            catalog.mark_pending(harness.MODEL, 2, now)
            tracker = context.tracker
            tracker.state(other.listed()).pause(context.clock(), 0.3)

            async def confirm():
                while True:
                    catalog.confirm(context.boot_clock())
                    await asyncio.sleep(0.3)

            task = asyncio.ensure_future(confirm())
            try:
                async with asyncio.timeout(3.0):
                    return await test_streams.chat(gateway)
            finally:
                task.cancel()

    _, _, body = asyncio.run(main())
    assert body == test_streams.events(EVENTS)
