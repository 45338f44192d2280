import asyncio

from catkinshunt import catalog as catalogs
from catkinshunt import quarantine
from catkinshunt.quarantine import _guard
from catkinshunt.quarantine.tests import network


class FakeGossip:
    """Records the reported crashes."""

    def __init__(self):
        self.quarantine = quarantine.Quarantine()
        self.crashes = []

    def clock(self):
        return 0.0

    def report_crash(self, crash, requests):
        self.crashes.append((crash, requests))


def upstream(started_at_ms=1, port=1):
    return catalogs.Upstream(
        'i-1', 'model', ('127.0.0.1', port), started_at_ms=started_at_ms
    )


def test_lost_connection_is_not_a_crash():
    """The upstream is still running; its requests must not be suspected."""

    async def main():
        server = await asyncio.start_server(lambda *_: None, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        gossip = FakeGossip()
        guard = quarantine.Guard(gossip)
        guard.record_broken_connection(upstream(port=port), 'a')
        await asyncio.sleep(2 * _guard.CRASH_CHECK_DELAY_S)
        server.close()
        alive = list(gossip.crashes)
        guard.record_broken_connection(upstream(port=port), 'a')
        await network.wait_until(lambda: gossip.crashes)
        return alive, gossip.crashes

    alive, crashes = asyncio.run(main())
    assert alive == []
    assert [requests for _, requests in crashes] == [['a']]


def test_unreachable_upstream_is_not_a_crash():
    """Without a reply, the state of the upstream is unknown."""

    async def silent(address):
        return False

    async def main():
        gossip = FakeGossip()
        guard = quarantine.Guard(gossip, silent)
        guard.record_broken_connection(upstream(), 'a')
        await asyncio.sleep(2 * _guard.CRASH_CHECK_DELAY_S)
        return gossip.crashes

    assert asyncio.run(main()) == []


def test_requests_of_a_crash_are_reported_once_per_start():
    """Crashes of two starts of one upstream are distinct."""

    async def ended(address):
        return True

    async def main():
        gossip = FakeGossip()
        guard = quarantine.Guard(gossip, ended)
        for request in ('b', 'a', 'b'):
            guard.record_broken_connection(upstream(), request)
        guard.record_broken_connection(upstream(started_at_ms=2), 'a')
        await network.wait_until(lambda: len(gossip.crashes) == 2)
        return gossip.crashes

    (first, requests), (second, _) = asyncio.run(main())
    assert requests == ['a', 'b']
    assert first != second


def test_attempt_renews_the_quarantine():
    reported = []
    gossip = FakeGossip()
    gossip.report_quarantine = lambda *args: reported.append(args)
    guard = quarantine.Guard(gossip)
    gossip.quarantine.add('bad', quarantine.QUARANTINE_S * 0.9, 0.0)
    assert guard.check('bad') > 0
    assert reported == []
    gossip.quarantine = quarantine.Quarantine()
    gossip.quarantine.add('bad', quarantine.QUARANTINE_S * 0.1, 0.0)
    assert guard.check('bad') > 0
    assert reported == [('bad', quarantine.QUARANTINE_S)]
