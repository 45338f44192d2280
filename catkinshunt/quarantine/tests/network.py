"""Entries that gossip over loopback."""

import asyncio
import contextlib
import random
import socket

from catkinshunt import catalog as catalogs
from catkinshunt import quarantine

_TIMEOUT_S = 5.0


def free_port():
    """Return a free UDP port."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(('127.0.0.1', 0))
        return sock.getsockname()[1]


class GossipNetwork:
    """A set of entries that gossip with each other.

    Attributes:
        live_entries: `catalog.LiveEntries` that all share.
        gossips: `quarantine.Gossip` by name.
    """

    def __init__(self, count):
        self.port = free_port()
        self.live_entries = catalogs.LiveEntries()
        self.live_entries.replace(
            {
                f'entry-{n}': catalogs.EntryLocation(f'127.0.1.{n}', 'attiki')
                for n in range(1, count + 1)
            }
        )
        self.gossips = {}
        self._tasks = {}

    async def start(self, name, asks=True):
        """Start or restart an entry; return its gossip.

        Args:
            name: name of the entry.
            asks: whether it asks the others what it missed.
        """
        self.stop(name)
        # A closed transport frees its port in the next loop iteration.
        await asyncio.sleep(0)
        loop = asyncio.get_running_loop()
        gossip = quarantine.Gossip(
            quarantine.Quarantine(),
            self.live_entries,
            name,
            self.port,
            loop.time,
            random.Random(name),
        )
        await gossip.start(self.live_entries.locations()[name].host)
        self.gossips[name] = gossip
        works = [gossip.run()]
        if asks:
            works.append(gossip.request_state())
        self._tasks[name] = [asyncio.ensure_future(work) for work in works]
        return gossip

    def stop(self, name):
        if name in self.gossips:
            self.gossips.pop(name).stop()
            for task in self._tasks.pop(name):
                task.cancel()

    @contextlib.asynccontextmanager
    async def running(self):
        for name in self.live_entries.names():
            await self.start(name, asks=False)
        try:
            yield self
        finally:
            for name in list(self.gossips):
                self.stop(name)

    def quarantined_at(self, request):
        """Return the names of the entries that quarantine a request."""
        return [
            name
            for name, gossip in self.gossips.items()
            if gossip.quarantine.remaining_s(request, gossip.clock()) > 0
        ]

    async def wait_until_quarantined(self, request):
        await wait_until(
            lambda: len(self.quarantined_at(request)) == len(self.gossips)
        )


async def wait_until(condition):
    async with asyncio.timeout(_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)
