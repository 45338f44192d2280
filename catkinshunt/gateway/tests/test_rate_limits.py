import asyncio

import loguru

from catkinshunt.gateway.tests import harness
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
