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
        self.sizes = []
        self.parts = []

    def clock(self):
        return 0.0

    def report_crash(self, upstream, run_s, service_size, parts):
        self.crashes.append((upstream, run_s))
        self.sizes.append(service_size)
        self.parts.append(parts)


def make_guard(gossip, **changes):
    return quarantine.Guard(gossip, lambda service: 7, **changes)


def upstream(started_at_ms=1, port=1):
    return catalogs.Upstream(
        'i-1', 'model', ('127.0.0.1', port), started_at_ms=started_at_ms
    )


def test_lost_connection_is_not_a_crash():
    """The upstream is still running; its requests must not be suspected."""

    async def main():
        server = await asyncio.start_server(
            lambda _, writer: writer.close(), '127.0.0.1', 0
        )
        port = server.sockets[0].getsockname()[1]
        gossip = FakeGossip()
        guard = make_guard(gossip)
        guard.record_broken_connection(
            upstream(port=port), quarantine.Traits('a'), 0.1
        )
        await asyncio.sleep(2 * _guard.CRASH_CHECK_DELAY_S)
        server.close()
        alive = list(gossip.crashes)
        guard.record_broken_connection(
            upstream(port=port), quarantine.Traits('a'), 0.1
        )
        await network.wait_until(lambda: gossip.crashes)
        return alive, gossip.crashes

    alive, crashes = asyncio.run(main())
    assert alive == []
    assert [run_s for _, run_s in crashes] == [{'a': 0.1}]


def test_unreachable_upstream_is_not_a_crash():
    """Without a reply, the state of the upstream is unknown."""

    async def silent(address):
        return False

    async def main():
        gossip = FakeGossip()
        guard = make_guard(gossip, is_down=silent)
        guard.record_broken_connection(upstream(), quarantine.Traits('a'), 0.1)
        await asyncio.sleep(2 * _guard.CRASH_CHECK_DELAY_S)
        return gossip.crashes

    assert asyncio.run(main()) == []


async def ended(address):
    return True


def test_requests_of_a_crash_are_reported_once():
    """Entries that know different starts of an upstream report one crash."""

    async def main():
        gossip = FakeGossip()
        guard = make_guard(gossip, is_down=ended)
        for request, run_s in (('b', 0.2), ('a', 0.1), ('b', 0.3)):
            guard.record_broken_connection(
                upstream(), quarantine.Traits(request), run_s
            )
        restarted = upstream(started_at_ms=2)
        guard.record_broken_connection(restarted, quarantine.Traits('a'), 0.1)
        await network.wait_until(lambda: len(gossip.crashes) == 2)
        return gossip

    gossip = asyncio.run(main())
    (first, run_s), (second, _) = gossip.crashes
    assert run_s == {'a': 0.1, 'b': 0.3}
    assert first == second
    assert gossip.sizes == [7, 7]


def test_retry_waits_for_the_crash_check():
    """One request ended two engines, the second before the first counted."""

    async def main():
        gossip = FakeGossip()
        guard = make_guard(gossip, is_down=ended)
        gossip.quarantine.record_crash('other', {'a': 0.1}, 7, 0.0, 0.0)
        for request in 'abc':
            guard.record_broken_connection(
                upstream(), quarantine.Traits(request), 0.1
            )
        elsewhere = upstream(port=2)
        await guard.wait_for_crash_check(elsewhere, quarantine.Traits('b'))
        seen = [list(gossip.crashes)]
        for request in 'ba':
            traits = quarantine.Traits(request)
            await guard.wait_for_crash_check(upstream(), traits)
            seen.append(list(gossip.crashes))
        return seen

    before, after_first, after = asyncio.run(main())
    assert before == []
    assert len(after_first) == len(after) == 1


def test_attempt_renews_the_quarantine():
    reported = []
    gossip = FakeGossip()
    gossip.report_quarantine = lambda *args: reported.append(args)
    guard = make_guard(gossip)
    gossip.quarantine.add('bad', quarantine.QUARANTINE_S * 0.9, 0.0)
    assert guard.check(quarantine.Traits('bad'), True) > 0
    assert reported == []
    gossip.quarantine = quarantine.Quarantine()
    gossip.quarantine.add('bad', quarantine.QUARANTINE_S * 0.1, 0.0)
    assert guard.check(quarantine.Traits('bad'), True) > 0
    assert reported == [('bad', quarantine.QUARANTINE_S)]


def test_crash_is_reported_with_the_parts_of_its_requests():
    async def main():
        gossip = FakeGossip()
        guard = make_guard(gossip, is_down=ended)
        for request, parts in (('1', ('a', 'x')), ('2', ('a',)), ('3', ())):
            traits = quarantine.Traits(request, parts)
            guard.record_broken_connection(upstream(), traits, 0.1)
        await network.wait_until(lambda: gossip.crashes)
        return gossip.parts

    assert asyncio.run(main()) == [{'1': ('a', 'x'), '2': ('a',)}]


def test_request_with_a_quarantined_part_does_not_run():
    """Only whole requests were known, and each came with another whole."""
    gossip = FakeGossip()
    guard = make_guard(gossip)
    gossip.quarantine.add('x', quarantine.QUARANTINE_S, 0.0)
    bad = quarantine.Traits('1', ('a', 'x'))
    assert guard.check(bad, True) > 0
    assert guard.explain(bad) == 'x'
    sound = quarantine.Traits('2', ('a',))
    assert guard.check(sound, True) == 0
    assert guard.explain(sound) is None


def test_request_with_a_suspected_part_waits_for_its_trial():
    gossip = FakeGossip()
    trials = []
    gossip.report_trial = lambda *args: trials.append(args)
    guard = make_guard(gossip)
    for number in '123':
        gossip.quarantine.record_crash(
            number, {number: 0.1}, 7, 0.0, 0.0, {number: ('x',)}
        )
    bad = quarantine.Traits('4', ('x',))
    assert guard.check(bad, True) > 0
    assert guard.explain(bad) == 'x'
    assert guard.is_isolated(bad)
    gossip.clock = lambda: 2.0
    assert guard.explain(bad) is None
    assert guard.check(bad, True) == 0
    assert trials == []
    guard.begin_trial(bad)
    assert trials == [('4', ['x'])]


def test_reply_that_ends_at_close_completes_unless_its_upstream_crashed():
    """The kernel ends the replies of a crashed upstream in order, too.

    As a completion this would clear the request that crashed it.
    """

    async def main(is_down):
        async def check(address):
            return is_down

        gossip = FakeGossip()
        gossip.completed = []
        gossip.report_completions = gossip.completed.extend
        guard = make_guard(gossip, is_down=check)
        traits = quarantine.Traits('a', ('b',))
        guard.record_end_at_close(upstream(), traits, 0.1)
        await guard.wait_for_crash_check(upstream(), traits)
        return gossip.completed, len(gossip.crashes)

    assert asyncio.run(main(is_down=False)) == (['a', 'b'], 0)
    assert asyncio.run(main(is_down=True)) == ([], 1)
