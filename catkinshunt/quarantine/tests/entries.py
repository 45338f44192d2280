"""Entries on loopback that gossip."""

import asyncio
import contextlib
import random
import socket

from catkinshunt import catalog as catalogs
from catkinshunt import quarantine

_TIMEOUT_S = 5.0


def free_port():
    """Return a port that no datagrams are taken at."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(('127.0.0.1', 0))
        return sock.getsockname()[1]


class Entries:
    """Some entries that know of each other.

    Attributes:
        roster: `catalog.LiveEntries` that all share.
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

    async def start(self, name):
        """Start an entry, anew where it ran before; return its gossip."""
        self.stop(name)
        # A closed transport gives its port back in the next turn.
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
        self._tasks[name] = asyncio.ensure_future(gossip.run())
        return gossip

    def stop(self, name):
        if name in self.gossips:
            self.gossips.pop(name).stop()
            self._tasks.pop(name).cancel()

    @contextlib.asynccontextmanager
    async def running(self):
        for name in self.live_entries.names():
            await self.start(name)
        try:
            yield self
        finally:
            for name in list(self.gossips):
                self.stop(name)

    def knowing(self, request):
        """Return the names of the entries at which a request is barred."""
        return [
            name
            for name, gossip in self.gossips.items()
            if gossip.quarantine.remaining_s(request, gossip.wall()) > 0
        ]

    async def until_all_know(self, request):
        await until(lambda: len(self.knowing(request)) == len(self.gossips))


async def until(condition):
    async with asyncio.timeout(_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)
