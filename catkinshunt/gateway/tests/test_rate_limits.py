import asyncio

import loguru

from catkinshunt.gateway.tests import harness
from catkinshunt import rendezvous
from standins import rate_rule

LIMIT = [('Rate-Limit', '1')]


def run(main):
    return asyncio.run(main())


def test_log_shows_the_limit_that_a_request_met():
    """Without it, an operator cannot tell why an upstream was not chosen."""
    records = []
    sink = loguru.logger.add(lambda text: records.append(text.record))

    async def main():
        upstream = harness.FakeUpstream('u1', harness.replying(items=LIMIT))
        async with harness.running_gateway(upstream) as gateway:
            await gateway.request('/read/1')
            await gateway.request('/read/1')

    run(main)
    loguru.logger.remove(sink)
    stated = [r['message'] for r in records if 'accepts' in r['message']]
    assert len(stated) == 1
    assert 'u1 accepts 1 requests per second' in stated[0]
    tries = records[-1]['extra']['tries']
    assert any('limit 1/s stated' in text for text in tries)


def test_upstream_gets_no_more_requests_than_it_states():
    """An upstream in need would get as many requests as any other."""

    async def main():
        limited = harness.FakeUpstream('u1', harness.replying(items=LIMIT))
        other = harness.FakeUpstream('u2', harness.replying())
        async with harness.running_gateway(limited, other) as gateway:
            began = asyncio.get_running_loop().time()
            replies = [await gateway.request('/read/1') for _ in range(60)]
            took_s = asyncio.get_running_loop().time() - began
        return [status for status, _, _ in replies], limited.heads, took_s

    statuses, heads, took_s = run(main)
    assert statuses == [200] * 60
    allowed = rate_rule.allowed_in_window(per_s=1.0)
    assert len(heads) <= allowed * max(1.0, took_s / rate_rule.WINDOW_S)


def set_limit(gateway, upstream, per_s):
    """Let the entry know a limit of an upstream, as from a reply."""
    now = asyncio.get_running_loop().time()
    key = upstream.listed().key
    gateway.context.record_rate_limit(key, per_s, now)


def test_request_is_refused_at_once_if_all_limits_are_used_up():
    """It would wait for a change of the list, which does not help it."""

    async def main():
        upstreams = [
            harness.FakeUpstream(name, harness.replying())
            for name in ('u1', 'u2')
        ]
        async with harness.running_gateway(*upstreams) as gateway:
            for upstream in upstreams:
                set_limit(gateway, upstream, 0.5)
            began = asyncio.get_running_loop().time()
            replies = [await gateway.request('/book/1', 'POST', b'x')]
            took_s = asyncio.get_running_loop().time() - began
            replies.append(await gateway.request('/book/1', 'POST', b'x'))
        sent = sum(len(upstream.heads) for upstream in upstreams)
        return replies, took_s, sent

    replies, took_s, sent = run(main)
    assert [status for status, _, _ in replies] == [429, 429]
    assert sent == 0
    assert took_s < 0.5
    waits = [float(harness.header(r[1], 'Retry-After')) for r in replies]
    # The second one may return a second later, as the limits allow.
    assert waits[0] >= 1.0
    assert 0.5 < waits[1] - waits[0] <= 1.0


def test_retry_keeps_the_limit():
    """Retries after a failure would all go to the upstream in need."""

    async def main():
        failing = harness.FakeUpstream('u1', harness.replying(500))
        limited = harness.FakeUpstream('u2', harness.replying())
        async with harness.running_gateway(failing, limited) as gateway:
            set_limit(gateway, limited, 0.5)
            replies = [await gateway.request('/read/1') for _ in range(8)]
        return [status for status, _, _ in replies], limited.heads

    statuses, heads = run(main)
    assert statuses == [500] * 8
    assert heads == []


def test_resumed_stream_keeps_the_limit():
    """A stream that breaks off is resumed at an upstream without a limit."""

    async def main():
        broken = harness.FakeUpstream(
            'u1',
            harness.streaming(6, breaks_after=2),
            'model',
            {harness.MODEL: 1},
        )
        others = [
            harness.FakeUpstream(
                name, harness.streaming(6), 'model', {harness.MODEL: 1}
            )
            for name in ('u2', 'u3')
        ]
        async with harness.running_gateway(broken, *others) as gateway:
            gateway.context.chooser.name = name_that_prefers('u1')
            set_limit(gateway, others[0], 0.5)
            reply = await gateway.request(
                '/chat/1', 'POST', b'x', Model='drafts'
            )
        return reply, [len(upstream.heads) for upstream in others]

    (status, _, body), sent = run(main)
    assert status == 200
    assert body == b''.join(harness.event(n) for n in range(1, 7))
    assert sent == [0, 1]


def name_that_prefers(upstream_id):
    """Return the name of an entry that ranks an upstream first."""
    ids = ['u1', 'u2', 'u3']
    return next(
        name
        for name in map(str, range(100))
        if min(ids, key=lambda u: rendezvous.score(name, u)) == upstream_id
    )


def test_request_goes_elsewhere_if_another_has_used_the_limit():
    """Two requests may choose an upstream with one token at once."""

    async def main():
        limited = harness.FakeUpstream('u1', harness.replying())
        other = harness.FakeUpstream('u2', harness.replying())
        async with harness.running_gateway(limited, other) as gateway:
            limiter = gateway.context.rate_limiter
            set_limit(gateway, limited, 0.5)
            # As if the token was taken between the choice and the send.
            limiter.wait_s = lambda key, now: 0.0
            reply = await gateway.request('/book/1', 'POST', b'x')
        return reply[0], len(limited.heads), len(other.heads)

    assert run(main) == (200, 0, 1)
