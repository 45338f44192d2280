"""Calls of a gateway to the guard, and how it acts on the results."""

import asyncio

import loguru
import pytest

from catkinshunt import errors
from catkinshunt.gateway import _quarantine_check
from catkinshunt.gateway.tests import harness
from catkinshunt import http1
from catkinshunt import metrics
from catkinshunt import quarantine

PARTS = ('5c1e07a2', '91bd3f06')


class FakeGuard:
    """Blocks given traits, and records the calls.

    Attributes:
        blocked: traits whose requests must not run.
        checked: set when the crash checks may end.
    """

    def __init__(self, is_idle=False):
        self.is_idle = is_idle
        self.blocked = set()
        self.broken = []
        self.completed = []
        self.tried = []
        self.ended_at_close = []
        self.waiting = asyncio.Event()
        self.checked = asyncio.Event()

    def check(self, traits, has_sidecar):
        return 1.5 if self.explain(traits) else 0

    def explain(self, traits):
        return next((t for t in traits if t in self.blocked), None)

    def begin_trial(self, traits):
        self.tried.append(traits)

    def is_isolated(self, traits):
        return False

    def record_completion(self, traits):
        self.completed.append(traits)

    def record_broken_connection(self, upstream, traits, run_s):
        self.broken.append((upstream.id, traits))

    def record_end_at_close(self, upstream, traits, run_s):
        self.ended_at_close.append((upstream.id, traits))

    async def wait_for_crash_check(self, upstream, traits):
        self.waiting.set()
        await self.checked.wait()


def make_check(guard, parts=PARTS):
    req = http1.Request('POST', '/chat', http1.Headers(), b'hello')
    return _quarantine_check.QuarantineCheck(
        guard, req, harness.HOST, 'workshop', True, parts
    )


def test_traits_are_the_whole_and_the_shared_parts():
    traits = make_check(FakeGuard()).traits
    assert traits.whole == quarantine.fingerprint(
        harness.HOST, 'POST', '/chat', 'workshop', b'hello'
    )
    assert traits.parts == tuple(map(quarantine.part_fingerprint, PARTS))


def test_nothing_is_hashed_while_nothing_is_suspected(monkeypatch):
    """All requests would pay for a quarantine that is nearly always empty."""

    def fail(*args):
        raise AssertionError('hashed')

    monkeypatch.setattr(quarantine, 'fingerprint', fail)
    monkeypatch.setattr(quarantine, 'part_fingerprint', fail)
    found = make_check(FakeGuard(is_idle=True))
    found.check()
    assert not found.is_isolated()
    found.record_completion()
    asyncio.run(found.wait_for_crash_checks())


def test_error_names_the_part_that_stops_a_request():
    """An operator has to know which of the parts crashes upstreams."""
    guard = FakeGuard()
    guard.blocked.add(quarantine.part_fingerprint(PARTS[1]))
    with pytest.raises(errors.RefusedError) as caught:
        make_check(guard).check()
    assert f'part {PARTS[1]} of the prompt' in str(caught.value)
    assert quarantine.part_fingerprint(PARTS[1]) in str(caught.value)
    assert caught.value.code == 'quarantined'
    assert caught.value.retry_after_s == 2
    make_check(guard, PARTS[:1]).check()


def test_error_names_the_whole_request():
    guard = FakeGuard()
    guard.blocked.add(make_check(guard).traits.whole)
    with pytest.raises(errors.RefusedError) as caught:
        make_check(guard).check()
    assert str(caught.value).count('request with fingerprint') == 1
    assert make_check(guard).traits.whole in str(caught.value)


def crashing(shared):
    """Return an answer function that cuts off the connection."""

    async def answer(head, writer, upstream):
        shared.append(upstream.name)
        writer.transport.abort()

    return answer


async def request_part(gateway, body=b'hello'):
    return await gateway.request(
        '/read/1', 'POST', body, Parts=' '.join([*PARTS, 'e4'])
    )


@pytest.mark.parametrize('is_idle', [False, True])
def test_retry_goes_only_after_the_crash_is_recorded(is_idle):
    """One request would crash two engines within a moment.

    The guard knows of the first crash before it checks the retry, also if
    nothing was suspected before that crash.
    """

    async def main():
        guard = FakeGuard(is_idle)
        crashed = []
        engines = [
            harness.FakeUpstream(name, crashing(crashed))
            for name in ('u1', 'u2')
        ]
        async with harness.running_gateway(*engines, guard=guard) as gateway:
            task = asyncio.ensure_future(request_part(gateway))
            waiting = asyncio.ensure_future(guard.waiting.wait())
            await asyncio.wait(
                [task, waiting], return_when=asyncio.FIRST_COMPLETED
            )
            # A retry that did not wait would have been sent by the end.
            done, _ = await asyncio.wait([task], timeout=0.3)
            assert not done
            guard.is_idle = False
            guard.blocked.add(quarantine.part_fingerprint(PARTS[0]))
            guard.checked.set()
            status, _, body = await task
            return status, body, crashed, guard.broken

    status, body, crashed, broken = asyncio.run(main())
    assert len(crashed) == 1
    # The request has run, so the reply must not say that it has not.
    assert status == 502
    assert b'outcome-unknown' in body
    assert [traits.parts for _, traits in broken] == [
        tuple(map(quarantine.part_fingerprint, PARTS))
    ]


def test_request_is_retried_if_its_upstream_did_not_crash():
    """A connection may be reset though the engine has not crashed."""

    async def main():
        guard = FakeGuard()
        guard.checked.set()
        crashed = []
        first = harness.FakeUpstream('u1', crashing(crashed))
        second = harness.FakeUpstream('u2', harness.replying())
        async with harness.running_gateway(
            first, second, guard=guard
        ) as gateway:
            gateway.pause(second, 0.2)
            status, _, _ = await request_part(gateway)
            return status, crashed, guard

    status, crashed, guard = asyncio.run(main())
    assert status == 200
    assert crashed == ['u1']
    assert len(guard.completed) == 1


def test_part_quarantined_during_the_connect_stops_the_request():
    """Another entry reports the part while this one opens a connection."""

    async def main():
        guard = FakeGuard()
        engine = harness.FakeUpstream('u1', harness.replying())
        async with harness.running_gateway(engine, guard=guard) as gateway:
            pool = gateway.context.pool(engine.listed())
            acquire = pool.acquire

            async def acquire_late(**options):
                conn = await acquire(**options)
                guard.blocked.add(quarantine.part_fingerprint(PARTS[0]))
                return conn

            pool.acquire = acquire_late
            return await request_part(gateway), engine.heads

    (status, head, body), heads = asyncio.run(main())
    assert heads == []
    assert status == 503
    assert float(harness.header(head, 'Retry-After')) > 0
    assert body.startswith(b'quarantined: ')


def test_trial_begins_only_when_its_request_is_sent():
    """Requests that got no engine blocked their parts for a whole trial."""

    async def main(is_late):
        guard = FakeGuard()
        engine = harness.FakeUpstream('u1', harness.replying())
        async with harness.running_gateway(engine, guard=guard) as gateway:
            pool = gateway.context.pool(engine.listed())
            acquire = pool.acquire

            async def acquire_late(**options):
                conn = await acquire(**options)
                assert guard.tried == []
                if is_late:
                    guard.blocked.add(quarantine.part_fingerprint(PARTS[0]))
                return conn

            pool.acquire = acquire_late
            await request_part(gateway)
        return len(guard.tried)

    assert asyncio.run(main(is_late=True)) == 0
    assert asyncio.run(main(is_late=False)) == 1


def stream_without_length(body):
    """Return an answer function whose stream ends with its connection."""

    async def answer(head, writer, upstream):
        items = [
            ('Request-Id', harness.header(head, 'Request-Id')),
            ('Stamp', upstream.name),
            ('Content-Type', 'text/event-stream'),
        ]
        writer.write(http1.dump_head(http1.status_line(200), items) + body)
        await writer.drain()
        return 'close'

    return answer


def guard_after(answer):
    """Return the guard after the reply of the only upstream."""

    async def main():
        guard = FakeGuard()
        guard.checked.set()
        engine = harness.FakeUpstream('u1', answer)
        async with harness.running_gateway(engine, guard=guard) as gateway:
            await request_part(gateway)
        return guard

    return asyncio.run(main())


@pytest.mark.parametrize('body', [harness.event(1) + b'id: 2', b''])
def test_stream_cut_in_order_is_a_broken_connection(body):
    """A request that crashes engines would be cleared of suspicion.

    The kernel closes the connections of a crashed engine in order.
    """
    guard = guard_after(stream_without_length(body))
    assert guard.broken
    assert not guard.completed
    assert not guard.ended_at_close


@pytest.mark.parametrize('reply', [b'HTTP/1.1 200 O', b'no reply at all'])
def test_invalid_reply_is_no_broken_connection(reply):
    """A request would be blamed for the late bytes of another one."""

    async def answer(head, writer, upstream):
        writer.write(reply + harness.reply(head, 500))

    assert guard_after(answer).broken == []


def test_end_of_a_connection_after_an_event_is_no_proof_of_completion():
    """An engine may crash between two events; the guard has to check."""
    guard = guard_after(stream_without_length(harness.event(1)))
    assert not guard.broken
    assert not guard.completed
    assert [name for name, _ in guard.ended_at_close] == ['u1']


def test_stream_that_ends_inside_an_event_by_its_length_is_no_crash():
    """A sound engine sent an invalid reply, but sent it to its end."""

    async def answer(head, writer, upstream):
        writer.write(harness.stream_head(head, upstream))
        writer.write(http1.dump_chunk(b'id: 1'))
        writer.write(harness.LAST_CHUNK)

    guard = guard_after(answer)
    assert not guard.broken
    assert not guard.completed


@pytest.mark.parametrize(
    ('trait', 'part', 'kind'),
    [
        (quarantine.part_fingerprint(PARTS[1]), PARTS[1], 'part'),
        (
            quarantine.fingerprint(
                harness.HOST, 'POST', '/read/1', 'workshop', b'hello'
            ),
            None,
            'whole',
        ),
    ],
)
def test_log_and_metrics_tell_what_stopped_a_request(trait, part, kind):
    """An operator would look for a bad caller instead of a bad part."""

    async def main():
        guard = FakeGuard()
        guard.blocked.add(trait)
        engine = harness.FakeUpstream('u1', harness.replying())
        async with harness.running_gateway(engine, guard=guard) as gateway:
            await request_part(gateway)
            return gateway.context.metrics.registry

    found = []
    sink = loguru.logger.add(lambda text: found.append(text.record))
    try:
        registry = asyncio.run(main())
    finally:
        loguru.logger.remove(sink)
    (line,) = [each for each in found if 'ended as' in each['message']]
    fields = line['extra']
    assert fields['outcome'] == 'quarantined'
    assert fields['fingerprint'] == trait
    assert fields['prompt_part'] == part
    _, shown = metrics.expose(registry, 0.0)
    line = f'catkinshunt_quarantine_stops_total{{kind="{kind}"}} 1'
    assert line in shown.decode()
