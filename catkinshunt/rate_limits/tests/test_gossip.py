import asyncio
import math
import random

from catkinshunt import catalog as catalogs
from catkinshunt import rate_limits

KEY = ('u1', 7, ('10.0.0.1', 80))


class Transport:
    """Keeps what is sent."""

    def __init__(self):
        self.sent = []

    def sendto(self, data, addr):
        self.sent.append((data, addr[0]))


class Entry:
    """Gossip of one entry with another one on 10.0.0.2."""

    def __init__(self):
        self.now = 100.0
        live_entries = catalogs.LiveEntries()
        live_entries.replace(
            {
                f'entry-{n}': catalogs.EntryLocation(f'10.0.0.{n}', 'attiki')
                for n in (1, 2)
            }
        )
        rng = random.Random(1)
        self.limiter = rate_limits.RateLimiter(
            'entry-1', live_entries, catalogs.Catalog(), rng
        )
        self.gossip = rate_limits.RateLimitGossip(
            self.limiter, live_entries, 'entry-1', 7705, lambda: self.now, rng
        )
        self.transport = Transport()
        self.gossip.connection_made(self.transport)

    def remind(self):
        """Send reminders; return the number of datagrams."""
        self.transport.sent.clear()
        self.gossip.remind(self.now)
        return len(self.transport.sent)

    def observe(self, per_s):
        self.now += 0.5
        self.limiter.observe(KEY, per_s, self.now - 0.1, self.now)


def test_nothing_is_sent_without_limits_but_a_question_at_the_start():
    """Gossip costs each entry messages for as long as it runs."""
    entry = Entry()
    assert entry.remind() == 1
    entry.now += 1.0
    assert entry.remind() == 0


def test_reminders_of_an_ended_limit_end():
    """Upstreams that once had a limit would cost datagrams for ever."""
    entry = Entry()
    entry.remind()
    entry.observe(1.0)
    entry.observe(math.inf)
    assert entry.remind() == 1
    for _ in range(200):
        entry.observe(math.inf)
        count = entry.remind()
    assert count == 0


def test_old_datagrams_are_ignored_after_a_suspend():
    """They seem new on arrival and would end a limit that is in force."""
    other, entry = Entry(), Entry()
    other.observe(1.0)
    other.remind()
    data = other.transport.sent[-1][0]
    entry.remind()
    entry.now += 30.0
    entry.gossip.datagram_received(data, ('10.0.0.2', 7705))
    assert entry.limiter.table.find(KEY) is None
    # It asks the other entry and sends what it knows itself, nothing.
    assert entry.remind() == 1
    entry.now += 1.0
    entry.remind()
    entry.gossip.datagram_received(data, ('10.0.0.2', 7705))
    assert entry.limiter.table.find(KEY) is not None


class AnsweringTransport(Transport):
    """Delivers datagrams to another entry at once, and its answers back."""

    def __init__(self, entry, other):
        super().__init__()
        self.entry = entry
        self.other = other

    def sendto(self, data, addr):
        self.other.gossip.datagram_received(data, ('10.0.0.1', 7705))
        while self.other.transport.sent:
            answer, _ = self.other.transport.sent.pop()
            self.entry.gossip.datagram_received(answer, ('10.0.0.2', 7705))


def test_limits_are_known_soon_after_a_suspend():
    """The answers to its request would be ignored like old datagrams."""

    async def main():
        other, entry = Entry(), Entry()
        clock = asyncio.get_running_loop().time
        suspended_s = [0.0]
        for gossip in (other.gossip, entry.gossip):
            gossip.clock = lambda: clock() + suspended_s[0]
        entry.gossip.connection_made(AnsweringTransport(entry, other))
        task = asyncio.ensure_future(entry.gossip.run())
        await asyncio.sleep(0)
        suspended_s[0] = 3.0
        now = other.gossip.clock()
        other.limiter.observe(KEY, 1.0, now - 0.1, now)
        try:
            async with asyncio.timeout(3.0):
                while entry.limiter.table.find(KEY) is None:
                    await asyncio.sleep(0.01)
        finally:
            task.cancel()

    asyncio.run(main())


def test_invalid_datagrams_are_ignored():
    """Another release, or another program, may send to the port."""
    entry = Entry()
    for data in (b'', b'["limit"]', b'["limit","u1",7,"h",1,1,-1.0,0.0,"e"]'):
        entry.gossip.datagram_received(data, ('10.0.0.2', 7705))
    assert entry.limiter.table.is_empty
