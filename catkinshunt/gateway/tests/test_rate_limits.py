import asyncio

import loguru

from catkinshunt.gateway.tests import harness

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
