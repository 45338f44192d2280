import asyncio

from catkinshunt import catalog as catalogs
from catkinshunt import quarantine
from catkinshunt.quarantine import _guard
from catkinshunt.quarantine.tests import entries


class FakeGossip:
    """Remembers what is reported."""

    def __init__(self):
        self.quarantine = quarantine.Quarantine()
        self.crashes = []

    def wall(self):
        return 0.0

    def report_crash(self, crash, requests):
        self.crashes.append((crash, requests))


def upstream(started_at_ms=1, port=1):
    return catalogs.Upstream(
        'i-1', 'model', ('127.0.0.1', port), started_at_ms=started_at_ms
    )


def test_a_reset_connection_is_no_crash():
    """The upstream goes on; its requests must not be suspected."""

    async def main():
        server = await asyncio.start_server(lambda *_: None, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        gossip = FakeGossip()
        guard = quarantine.Guard(gossip)
        guard.note_break(upstream(port=port), 'a')
        await asyncio.sleep(2 * _guard.GATHER_S)
        server.close()
        alive = list(gossip.crashes)
        guard.note_break(upstream(port=port), 'a')
        await entries.until(lambda: gossip.crashes)
        return alive, gossip.crashes

    alive, crashes = asyncio.run(main())
    assert alive == []
    assert [requests for _, requests in crashes] == [['a']]


def test_a_path_that_is_cut_is_no_crash():
    """Then nothing tells whether the upstream still runs."""

    async def silent(address):
        return False

    async def main():
        gossip = FakeGossip()
        guard = quarantine.Guard(gossip, silent)
        guard.note_break(upstream(), 'a')
        await asyncio.sleep(2 * _guard.GATHER_S)
        return gossip.crashes

    assert asyncio.run(main()) == []


def test_all_requests_of_a_crash_are_reported_once_by_start():
    """A crash counts once, and another start of the upstream anew."""

    async def ended(address):
        return True

    async def main():
        gossip = FakeGossip()
        guard = quarantine.Guard(gossip, ended)
        for request in ('b', 'a', 'b'):
            guard.note_break(upstream(), request)
        guard.note_break(upstream(started_at_ms=2), 'a')
        await entries.until(lambda: len(gossip.crashes) == 2)
        return gossip.crashes

    (first, requests), (second, _) = asyncio.run(main())
    assert requests == ['a', 'b']
    assert first != second


def test_a_barred_request_that_still_comes_stays_barred():
    barred = []
    gossip = FakeGossip()
    gossip.add = lambda *told: barred.append(told)
    guard = quarantine.Guard(gossip)
    gossip.quarantine.add('bad', quarantine.QUARANTINE_S * 0.9, 0.0)
    assert guard.check('bad') > 0
    assert barred == []
    gossip.quarantine = quarantine.Quarantine()
    gossip.quarantine.add('bad', quarantine.QUARANTINE_S * 0.1, 0.0)
    assert guard.check('bad') > 0
    assert barred == [('bad', quarantine.QUARANTINE_S)]
