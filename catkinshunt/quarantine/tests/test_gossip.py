import asyncio
import random

import pytest

from catkinshunt import gossip
from catkinshunt import quarantine
from catkinshunt.quarantine import _gossip
from catkinshunt.quarantine.tests import network
from catkinshunt import wake_log

#: Required bound, in seconds, for an update to reach all entries.
PROPAGATION_LIMIT_S = 3.0


def run(main, count=5):
    async def inside():
        async with network.GossipNetwork(count).running() as entries:
            return await main(entries)

    return asyncio.run(inside())


def report_crash(gossip, upstream, *requests):
    gossip.report_crash(upstream, dict.fromkeys(requests, 0.1), 9)


def is_stopped_everywhere(entries, request):
    return all(
        gossip.quarantine.pause_s(request, gossip.clock()) > 0
        or gossip.quarantine.remaining_s(request, gossip.clock()) > 0
        for gossip in entries.gossips.values()
    )


@pytest.mark.parametrize('count', [2, 5, 36])
def test_crashes_seen_by_different_entries_add_up(count):
    """Each attempt reaches another entry, so each entry detects one crash."""

    async def main(entries):
        began = asyncio.get_running_loop().time()
        names = list(entries.gossips)
        for number in range(3):
            reporter = entries.gossips[names[number % len(names)]]
            report_crash(
                reporter, f'engine-{number}', 'bad', f'beside-{number}'
            )
        await network.wait_until(lambda: is_stopped_everywhere(entries, 'bad'))
        for number in range(3):
            reporter = entries.gossips[names[-1]]
            reporter.report_completion(f'beside-{number}')
        await entries.wait_until_quarantined('bad')
        others = [entries.quarantined_at(f'beside-{n}') for n in range(3)]
        return asyncio.get_running_loop().time() - began, others

    took_s, others = run(main, count)
    assert took_s < PROPAGATION_LIMIT_S
    assert others == [[], [], []]


def test_restarted_entry_gets_the_suspects(monkeypatch):
    """Otherwise a cause goes on as entries restart between its crashes."""
    monkeypatch.setattr(_gossip, 'REMINDER_PERIOD_S', 0.05)

    async def main(entries):
        for number in range(2):
            report_crash(entries.gossips['entry-1'], f'engine-{number}', 'bad')
        for name in ('entry-2', 'entry-1'):
            restarted = await entries.start(name, asks=False)
            await network.wait_until(
                lambda: restarted.quarantine.is_isolated('bad')
            )
        report_crash(entries.gossips['entry-2'], 'engine-3', 'bad')
        await entries.wait_until_quarantined('bad')

    run(main, count=2)


@pytest.mark.parametrize('crashes', [1, 2])
def test_started_entry_gets_the_suspects_at_once(monkeypatch, crashes):
    """The others may end before their next reminder."""
    monkeypatch.setattr(_gossip, 'REMINDER_PERIOD_S', 60.0)

    async def main(entries):
        for number in range(crashes):
            report_crash(entries.gossips['entry-1'], f'engine-{number}', 'bad')
        for name in ('entry-2', 'entry-1'):
            started = await entries.start(name)
            await network.wait_until(
                lambda: started.quarantine.is_suspect('bad')
            )
            assert started.quarantine.is_isolated('bad') == (crashes > 1)

    run(main, count=2)


def test_started_entry_asks_once_it_knows_others(monkeypatch):
    """It starts before it has read which other entries there are."""
    monkeypatch.setattr(_gossip, 'REMINDER_PERIOD_S', 60.0)

    async def main(entries):
        entries.gossips['entry-1'].report_quarantine('bad', 60.0)
        locations = entries.live_entries.locations()
        entries.stop('entry-2')
        entries.live_entries.drop('entry-1')
        await entries.start('entry-2')
        await asyncio.sleep(0.05)
        entries.live_entries.replace(locations)
        await entries.wait_until_quarantined('bad')

    run(main, count=2)


def test_reminder_of_a_cleared_request_is_corrected(monkeypatch):
    """An entry that missed a completion must not spread its suspicion."""
    monkeypatch.setattr(_gossip, 'REMINDER_PERIOD_S', 0.05)

    async def main(entries):
        first, second = entries.gossips.values()
        for number in range(2):
            report_crash(first, f'engine-{number}', 'often')
        await network.wait_until(
            lambda: second.quarantine.is_isolated('often')
        )
        second.quarantine.record_completion('often')
        await network.wait_until(lambda: first.quarantine.is_idle)
        return second.quarantine.is_idle

    assert run(main, count=2)


def test_restarted_entry_gets_the_quarantine():
    """A restarted entry has lost its state, and the store may be down."""

    async def main(entries):
        entries.gossips['entry-1'].report_quarantine('bad', 60.0)
        await entries.wait_until_quarantined('bad')
        await entries.start('entry-2')
        began = asyncio.get_running_loop().time()
        await entries.wait_until_quarantined('bad')
        return asyncio.get_running_loop().time() - began

    assert run(main, count=3) < PROPAGATION_LIMIT_S + _gossip.REMINDER_PERIOD_S


def test_updates_reach_all_entries_despite_lost_datagrams(monkeypatch):
    """Each entry gets an update from several others."""
    lost = random.Random(7)
    send = quarantine.Gossip._send

    def lossy(self, message, host):
        if lost.random() > 0.2:
            send(self, message, host)

    monkeypatch.setattr(quarantine.Gossip, '_send', lossy)

    async def main(entries):
        names = list(entries.gossips)
        for number in range(3):
            report_crash(entries.gossips[names[number]], f'e-{number}', 'bad')
        await entries.wait_until_quarantined('bad')

    run(main, count=12)


def test_completion_clears_a_suspect_everywhere():
    async def main(entries):
        names = list(entries.gossips)
        for number in range(2):
            report_crash(
                entries.gossips[names[number]], f'e-{number}', 'often'
            )
        gossips = entries.gossips.values()
        await network.wait_until(
            lambda: all(not g.quarantine.is_idle for g in gossips)
        )
        entries.gossips[names[3]].report_completion('often')
        await network.wait_until(
            lambda: all(g.quarantine.is_idle for g in gossips)
        )

    run(main)


def test_messages_per_entry_do_not_grow_with_the_entries(monkeypatch):
    sent = []
    send = quarantine.Gossip._send

    def counting(self, message, host):
        sent.append(self.name)
        send(self, message, host)

    monkeypatch.setattr(quarantine.Gossip, '_send', counting)

    async def main(entries):
        report_crash(entries.gossips['entry-1'], 'engine', 'bad')
        gossips = entries.gossips.values()
        await network.wait_until(
            lambda: (
                sum(not g.quarantine.is_idle for g in gossips)
                > len(gossips) * 0.9
            )
        )
        await asyncio.sleep(0.05)
        return max(sent.count(name) for name in entries.gossips)

    assert run(main, count=36) <= gossip.FANOUT


def test_no_reminders_without_quarantined_requests(monkeypatch):
    monkeypatch.setattr(_gossip, 'REMINDER_PERIOD_S', 0.01)
    sent = []
    monkeypatch.setattr(
        quarantine.Gossip, '_send', lambda *message: sent.append(message)
    )

    async def main(entries):
        await asyncio.sleep(0.1)

    run(main)
    assert sent == []


def report_part(gossip, upstream, request, *parts):
    gossip.report_crash(
        upstream, {request: 0.1}, 9, parts={request: tuple(parts)}
    )


def knows_held(gossip, *parts):
    traits = quarantine.Traits('new', parts)
    return bool(gossip.quarantine.find_held(traits))


def test_crashes_of_a_part_add_up():
    """Each request with it reaches another entry, and none is alike."""

    async def main(entries):
        gossips = list(entries.gossips.values())
        for number in range(3):
            report_part(gossips[number], f'engine-{number}', f'{number}', 'x')
        await network.wait_until(
            lambda: all(knows_held(each, 'x') for each in gossips)
        )

    run(main)


def test_trial_of_a_part_is_known_everywhere(monkeypatch):
    """Each entry tried the part, and each trial ended an engine."""
    monkeypatch.setattr(_gossip, 'REMINDER_PERIOD_S', 60.0)

    def is_on_trial(gossip):
        now = gossip.clock()
        return gossip.quarantine.running_trials(now) == {'7': ['x']}

    async def main(entries):
        gossips = list(entries.gossips.values())
        for number in range(3):
            report_part(gossips[0], f'engine-{number}', f'{number}', 'x')
        await network.wait_until(
            lambda: all(knows_held(each, 'x') for each in gossips)
        )
        gossips[1].report_trial('7', ['x'])
        await network.wait_until(
            lambda: all(is_on_trial(each) for each in gossips)
        )
        started = await entries.start('entry-3')
        await network.wait_until(lambda: is_on_trial(started))

    run(main)


def test_one_datagram_clears_all_traits_of_a_request(monkeypatch):
    sent = []
    send = quarantine.Gossip._send

    def counting(self, message, host):
        sent.append(message)
        send(self, message, host)

    async def main(entries):
        first, second = entries.gossips.values()
        report_part(first, 'engine', 'often', 'x', 'y')
        await network.wait_until(lambda: second.quarantine.is_suspect('y'))
        monkeypatch.setattr(quarantine.Gossip, '_send', counting)
        first.report_completions(quarantine.Traits('often', ('x', 'y', 'z')))
        await network.wait_until(lambda: second.quarantine.is_idle)

    run(main, count=2)
    first = [message for message in sent if 'x' in message.traits]
    assert first[0].traits == ('often', 'x', 'y')
    assert len(sent) <= 2


def test_crash_report_read_after_a_suspend_is_no_second_crash():
    """Dated by its reading, it accused the same requests once more."""

    async def main():
        async with network.GossipNetwork(2).running() as known:
            first, late = known.gossips.values()
            late.wake_log = wake_log.WakeLog(late.clock)
            first.report_crash('u1', {'a': 0.1}, 3)
            # The event loop of the other one last ran before the report.
            late.wake_log.record(late.clock() - 3.0)
            late.receive(
                quarantine.CrashReport('u1', ('a',), (100,), 3, 0.0),
                '127.0.1.1',
            )
            dropped = not late.quarantine.is_suspect('a')
            late.wake_log = None
            async with asyncio.timeout(5.0):
                while not late.quarantine.is_suspect('a'):
                    await asyncio.sleep(0.01)
            return dropped

    assert asyncio.run(main())
