import asyncio
import random

import pytest

from catkinshunt import quarantine
from catkinshunt.quarantine import _gossip
from catkinshunt.quarantine.tests import entries

#: Seconds within which all entries must know, in the users' deployments.
CONTACT_S = 3.0


def run(main, count=5):
    async def inside():
        async with entries.Entries(count).running() as found:
            return await main(found)

    return asyncio.run(inside())


@pytest.mark.parametrize('count', [2, 5, 36])
def test_crashes_that_no_entry_sees_alone_bar_a_request_everywhere(count):
    """Each try comes to another entry, and each entry sees one crash."""

    async def main(found):
        began = asyncio.get_running_loop().time()
        names = list(found.gossips)
        for number in range(3):
            seer = found.gossips[names[number % len(names)]]
            seer.report_crash(f'engine-{number}', ['bad', f'beside-{number}'])
        await found.until_all_know('bad')
        innocent = [found.knowing(f'beside-{n}') for n in range(3)]
        return asyncio.get_running_loop().time() - began, innocent

    took_s, innocent = run(main, count)
    assert took_s < CONTACT_S
    assert innocent == [[], [], []]


def test_an_entry_that_starts_anew_is_told():
    """It knows nothing of before, and the store may be away."""

    async def main(found):
        found.gossips['entry-1'].add('bad', 60.0)
        await found.until_all_know('bad')
        await found.start('entry-2')
        began = asyncio.get_running_loop().time()
        await found.until_all_know('bad')
        return asyncio.get_running_loop().time() - began

    assert run(main, count=3) < CONTACT_S + _gossip.REMIND_S


def test_news_reach_all_though_datagrams_are_lost(monkeypatch):
    """Each entry hears of a crash from several others."""
    lost = random.Random(7)
    send = quarantine.Gossip._send

    def lossy(self, message, host):
        if lost.random() > 0.2:
            send(self, message, host)

    monkeypatch.setattr(quarantine.Gossip, '_send', lossy)

    async def main(found):
        names = list(found.gossips)
        for number in range(3):
            found.gossips[names[number]].report_crash(f'e-{number}', ['bad'])
        await found.until_all_know('bad')

    run(main, count=12)


def test_a_request_that_completes_elsewhere_is_cleared_everywhere():
    async def main(found):
        names = list(found.gossips)
        for number in range(2):
            found.gossips[names[number]].report_crash(f'e-{number}', ['often'])
        gossips = found.gossips.values()
        await entries.until(
            lambda: all(not g.quarantine.is_idle for g in gossips)
        )
        found.gossips[names[3]].report_completion('often')
        await entries.until(lambda: all(g.quarantine.is_idle for g in gossips))

    run(main)


def test_the_messages_of_an_entry_do_not_grow_with_their_number(monkeypatch):
    sent = []
    send = quarantine.Gossip._send

    def counting(self, message, host):
        sent.append(self.name)
        send(self, message, host)

    monkeypatch.setattr(quarantine.Gossip, '_send', counting)

    async def main(found):
        found.gossips['entry-1'].report_crash('engine', ['bad'])
        gossips = found.gossips.values()
        await entries.until(
            lambda: (
                sum(not g.quarantine.is_idle for g in gossips)
                > len(gossips) * 0.9
            )
        )
        await asyncio.sleep(0.05)
        return max(sent.count(name) for name in found.gossips)

    assert run(main, count=36) <= _gossip.FANOUT


def test_nothing_is_sent_while_nothing_is_barred(monkeypatch):
    monkeypatch.setattr(_gossip, 'REMIND_S', 0.01)
    sent = []
    monkeypatch.setattr(
        quarantine.Gossip, '_send', lambda *message: sent.append(message)
    )

    async def main(found):
        await asyncio.sleep(0.1)

    run(main)
    assert sent == []
