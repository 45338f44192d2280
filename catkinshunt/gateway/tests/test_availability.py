import asyncio

import pytest

from catkinshunt import availability
from catkinshunt.gateway import base
from catkinshunt.gateway.tests import harness
from catkinshunt.gateway.tests import test_permits
from catkinshunt import permits
from standins import statement_rules

LEAVING = [('Leaving', '1')]


def run(main):
    return asyncio.run(main())


def backing_off(back_off_s):
    """Return an answer function that rejects and asks for back-off."""
    items = [('Not-Run', '1'), ('BackOff-S', str(back_off_s))]
    return harness.replying(503, b'', items)


class Recorder:
    """Wraps an answer function and records the times of requests.

    Attributes:
        arrivals: `statement_rules.Arrival` objects.
        rejections: `statement_rules.Rejection` objects.
    """

    def __init__(self, answer, back_off_s=0.0):
        self.answer = answer
        self.back_off_s = back_off_s
        self.arrivals = []
        self.rejections = []

    async def __call__(self, head, writer, upstream):
        now = asyncio.get_running_loop().time()
        self.arrivals.append(statement_rules.Arrival(now, now, 'entry-1'))
        if self.back_off_s:
            self.rejections.append(
                statement_rules.Rejection(now, 'entry-1', self.back_off_s)
            )
        return await self.answer(head, writer, upstream)


def test_leaving_upstream_gets_no_new_requests():
    """The list may lag, or the store be away, for as long as it leaves."""

    async def main():
        leaving = harness.FakeUpstream('u1', harness.replying(items=LEAVING))
        other = harness.FakeUpstream('u2', harness.replying())
        async with harness.running_gateway(leaving, other) as gateway:
            replies = [await gateway.request('/read/1') for _ in range(40)]
        return [status for status, _, _ in replies], len(leaving.heads)

    statuses, sent = run(main)
    assert statuses == [200] * 40
    assert sent <= 1


def test_upstream_gets_no_requests_in_its_back_off():
    """Requests would press on an upstream that has asked for back-off."""

    async def main():
        recorder = Recorder(backing_off(1.5), 1.5)
        tired = harness.FakeUpstream('u1', recorder)
        other = harness.FakeUpstream('u2', harness.replying())
        async with harness.running_gateway(
            tired, other, retry_burst=1000.0
        ) as gateway:
            loop = asyncio.get_running_loop()
            until = loop.time() + 1.6
            while loop.time() < until:
                await gateway.request('/read/1')
                await asyncio.sleep(0.01)
        return recorder

    recorder = run(main)
    assert recorder.rejections
    broken = statement_rules.find_broken_back_offs(
        recorder.rejections, recorder.arrivals
    )
    assert broken == []


def set_leaving(gateway, upstream, **changes):
    """Let the entry know that an upstream leaves, as from a reply."""
    gateway.context.availability.record_leave(
        upstream.listed(**changes).key, availability.Leave(0.0, 'entry-1')
    )


def set_back_off(gateway, upstream, back_off_s):
    """Let the entry know of a back-off, as from a rejection."""
    now = asyncio.get_running_loop().time()
    gateway.context.availability.record_back_off(
        upstream.listed().key, back_off_s, now
    )


def set_unavailable(gateway, upstream, how):
    """Make an upstream unavailable by its own or the list's statement."""
    if how == 'backs off':
        set_back_off(gateway, upstream, 60.0)
    elif how == 'leaves':
        set_leaving(gateway, upstream)
    else:
        gateway.context.catalog.put_upstream(upstream.listed(leaving=True))


def make_upstreams(*answers, service='plain', versions=None):
    return [
        harness.FakeUpstream(f'u{number}', answer, service, versions)
        for number, answer in enumerate(answers, 1)
    ]


@pytest.mark.parametrize(
    'how', ['leaves', 'backs off', 'is listed as leaving']
)
def test_permitted_request_is_not_sent_to_an_unavailable_upstream(how):
    """A request may wait for its permit while the upstream says so."""
    client = test_permits.FakePermitClient(permits.PermitQueued)

    async def main():
        engines = [
            test_permits.make_engine(name, harness.streaming(2))
            for name in ('u1', 'u2')
        ]
        async with harness.running_gateway(*engines) as gateway:
            gateway.context.permit_client = client
            chosen = gateway.context.chooser.choose
            choices = []

            def choose(*args, **changes):
                candidate = chosen(*args, **changes)
                choices.append(candidate)
                return candidate

            class Waiting(test_permits.FakePermitRequest):
                async def await_decision(self):
                    upstream = choices[0].upstream
                    engine = next(e for e in engines if e.name == upstream.id)
                    set_unavailable(gateway, engine, how)
                    return await super().await_decision()

            gateway.context.chooser.choose = choose
            client.request_class = Waiting
            client.answers += [permits.NO_ROOM] * 2
            reply = await gateway.request(
                '/chat/1', 'POST', b'x', **test_permits.CHAT
            )
            first = choices[0].upstream.id
        return reply[0], {e.name: len(e.heads) for e in engines}, first

    status, sent, first = run(main)
    assert sent[first] == 0
    assert status in (200, 429)


@pytest.mark.parametrize(
    'how', ['leaves', 'backs off', 'is listed as leaving']
)
def test_request_is_not_sent_if_the_upstream_is_unavailable_by_then(how):
    """A request may wait for a connection while the upstream says so."""

    async def main():
        upstreams = make_upstreams(harness.replying(), harness.replying())
        async with harness.running_gateway(*upstreams) as gateway:
            context = gateway.context
            first = []

            class Pool:
                def __init__(self, pool, upstream):
                    self.pool = pool
                    self.upstream = upstream
                    self.peer = pool.peer
                    self.release = pool.release

                async def acquire(self, fresh=False):
                    conn = await self.pool.acquire(fresh=fresh)
                    if not first:
                        first.append(self.upstream)
                        set_unavailable(gateway, self.upstream, how)
                    return conn

            get_pool = type(context).pool

            def pool(upstream):
                fake = next(u for u in upstreams if u.name == upstream.id)
                return Pool(get_pool(context, upstream), fake)

            type(context).pool = lambda _, upstream: pool(upstream)
            try:
                reply = await gateway.request('/book/1', 'POST', b'x')
            finally:
                type(context).pool = get_pool
        return (
            reply[0],
            len(first[0].heads),
            sum(len(u.heads) for u in upstreams),
        )

    assert run(main) == (200, 0, 1)


@pytest.mark.parametrize('how', ['leaves', 'backs off'])
def test_retry_avoids_an_unavailable_upstream(how):
    """Retries after a failure would all go there."""

    async def main():
        upstreams = make_upstreams(harness.replying(500), harness.replying())
        async with harness.running_gateway(*upstreams) as gateway:
            set_unavailable(gateway, upstreams[1], how)
            replies = [await gateway.request('/read/1') for _ in range(4)]
        return [status for status, _, _ in replies], len(upstreams[1].heads)

    assert run(main) == ([500] * 4, 0)


@pytest.mark.parametrize('how', ['leaves', 'backs off'])
def test_resumed_stream_avoids_an_unavailable_upstream(how):
    """A stream that breaks off is resumed at an upstream that takes it."""

    async def main():
        upstreams = make_upstreams(
            harness.streaming(6, breaks_after=2),
            harness.streaming(6),
            harness.streaming(6),
            service='model',
            versions={harness.MODEL: 1},
        )
        async with harness.running_gateway(*upstreams) as gateway:
            set_unavailable(gateway, upstreams[1], how)
            reply = await gateway.request(
                '/chat/1', 'POST', b'x', Model='drafts'
            )
        return reply, [len(upstream.heads) for upstream in upstreams]

    (status, _, body), sent = run(main)
    assert status == 200
    assert body == b''.join(harness.event(n) for n in range(1, 7))
    assert sent[1] == 0


def refuse_once(*hows):
    """Return (reply, seconds, sends) with an upstream for each of `hows`."""

    async def main():
        upstreams = make_upstreams(*[harness.replying()] * len(hows))
        async with harness.running_gateway(*upstreams) as gateway:
            for upstream, how in zip(upstreams, hows, strict=True):
                if isinstance(how, float):
                    set_back_off(gateway, upstream, how)
                else:
                    set_unavailable(gateway, upstream, how)
            began = asyncio.get_running_loop().time()
            reply = await gateway.request('/book/1', 'POST', b'x')
            took_s = asyncio.get_running_loop().time() - began
        return reply, took_s, sum(len(u.heads) for u in upstreams)

    return run(main)


@pytest.mark.parametrize(
    'hows', [(5.0, 2.5), (5.0, 2.5, 'leaves'), (2.5, 'is listed as leaving')]
)
def test_request_is_refused_at_once_if_all_upstreams_back_off(hows):
    """It would wait in vain, or return to the same refusal too early."""
    (status, head, body), took_s, sent = refuse_once(*hows)
    assert (status, sent) == (429, 0)
    assert body.startswith(b'back-off')
    assert took_s < 0.5
    retry_after_s = float(harness.header(head, 'Retry-After'))
    assert 2.5 - took_s <= retry_after_s <= 2.5


def test_request_is_refused_at_once_if_all_upstreams_leave():
    """It would wait for a second for an upstream that may never come."""
    (status, head, _), took_s, sent = refuse_once('leaves', 'leaves')
    assert (status, sent) == (429, 0)
    assert took_s < 0.5
    assert float(harness.header(head, 'Retry-After')) > 0


def test_upstream_gets_requests_again_after_a_new_start():
    """It would stay without requests after its restart."""

    async def main():
        (upstream,) = make_upstreams(harness.replying())
        async with harness.running_gateway(upstream) as gateway:
            set_leaving(gateway, upstream)
            before = await gateway.request('/read/1')
            gateway.context.catalog.put_upstream(
                upstream.listed(started_at_ms=5)
            )
            after = await gateway.request('/read/1')
        return before[0], after[0]

    assert run(main) == (429, 200)


def test_misdirected_reply_says_nothing_of_the_upstream():
    """The address may be that of another upstream, which leaves."""

    async def main():
        upstreams = make_upstreams(
            harness.replying(421, items=LEAVING), harness.replying()
        )
        async with harness.running_gateway(*upstreams) as gateway:
            for _ in range(4):
                await gateway.request('/read/1')
            return gateway.context.availability.leaves()

    assert run(main) == []


def test_rejection_with_a_back_off_causes_no_further_pause():
    """The pause for a rejection would outlast a back-off of 0.1 s."""

    async def main():
        items = [('Not-Run', '1'), ('BackOff-S', '0.1'), ('Load', '0,0,4')]
        (upstream,) = make_upstreams(harness.replying(503, b'', items))
        async with harness.running_gateway(upstream) as gateway:
            await gateway.request('/read/1')
            state = gateway.context.tracker.state(upstream.listed())
            return state.is_paused(asyncio.get_running_loop().time())

    assert not run(main)


class LeavingClient(test_permits.FakePermitClient):
    """Permit client whose first requests are told that the engine leaves."""

    def __init__(self, count, started_at_ms):
        super().__init__()
        self.count = count
        self.reply = permits.EngineLeaving(0, started_at_ms)

    def make_handle(self, host, make_request):
        handle = super().make_handle(host, make_request)
        if len(self.requests) <= self.count:
            handle.send_and_wait = lambda: self._tell(handle)
        return handle

    async def _tell(self, handle):
        handle.reply = self.reply
        return handle.reply


async def request_chat(client, engines):
    """Return a reply and the known leaves; the engines started at 7 ms."""
    async with harness.running_gateway(*engines) as gateway:
        context = gateway.context
        context.permit_client = client
        for engine in engines:
            context.catalog.put_upstream(engine.listed(started_at_ms=7))
        reply = await gateway.request(
            '/chat/1', 'POST', b'x', **test_permits.CHAT
        )
        return reply, context.availability.leaves()


@pytest.mark.parametrize(
    ('started_at_ms', 'is_leave'), [(7, True), (9, False)]
)
def test_sidecar_tells_that_its_engine_leaves(started_at_ms, is_leave):
    """Another start of the engine must not be taken for the one that left."""

    client = LeavingClient(1, started_at_ms)

    async def main():
        engines = [
            test_permits.make_engine(name, harness.streaming(2))
            for name in ('u1', 'u2')
        ]
        reply, leaves = await request_chat(client, engines)
        return reply[0], len(leaves), sum(len(e.heads) for e in engines)

    assert run(main) == (200, int(is_leave), 1)


def test_request_is_refused_at_once_if_all_sidecars_say_so():
    """It would be refused without a time to come back, or wait."""
    client = LeavingClient(2, 7)

    async def main():
        engines = [
            test_permits.make_engine(name, harness.streaming(2))
            for name in ('u1', 'u2')
        ]
        began = asyncio.get_running_loop().time()
        reply, _ = await request_chat(client, engines)
        return reply, asyncio.get_running_loop().time() - began

    (status, head, _), took_s = run(main)
    assert status == 429
    assert took_s < 0.5
    assert float(harness.header(head, 'Retry-After')) > 0


@pytest.mark.parametrize('source', ['reply after a suspend', 'older list'])
def test_leave_of_one_start_is_not_taken_for_that_of_the_next(source):
    """An upstream that has restarted would get no requests."""

    async def main():
        upstream = harness.FakeUpstream('u1', harness.replying())
        async with harness.running_gateway(upstream) as gateway:
            context = gateway.context
            context.boot_clock = lambda: 102.75
            left = upstream.listed(started_at_ms=50_000)
            if source == 'older list':
                context.record_leave(left.key)
            else:
                context.record_statements(
                    left, base.ReplyInfo(is_leaving=True), sent_at=100.0
                )
            restarted = upstream.listed(started_at_ms=101_500)
            table = context.availability
            return table.is_leaving(left.key), table.is_leaving(restarted.key)

    assert run(main) == (True, False)
