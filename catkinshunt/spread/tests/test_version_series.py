"""Versions are announced in quick succession."""

import asyncio
import random

import pytest

from catkinshunt import errors
from catkinshunt import spread
from catkinshunt.spread.tests import fakes
from catkinshunt.spread.tests import swarm

#: Time in which the origin sends one chunk, and a whole version.
CHUNK_S = 0.8
COPY_S = CHUNK_S * fakes.CHUNKS
#: Time from the announcement of a version until it is due.
VERSION_S = 8.0
#: Versions that a sidecar may hold in memory: two, and the one in transfer.
MAX_VERSIONS = 3


class LimitedOrigin(fakes.FakeOrigin):
    """An origin with a slow link, which has the two newest versions."""

    def __init__(self):
        super().__init__()
        self.newest = 1
        self._link = asyncio.Lock()

    def _check_version(self, version):
        if version <= self.newest - 2:
            raise errors.VersionWithdrawnError('gone', step='chunk')

    async def manifest(self, model, version):
        self._check_version(version)
        return await super().manifest(model, version)

    async def chunk(self, model, version, index):
        self._check_version(version)
        async with self._link:
            await asyncio.sleep(CHUNK_S)
        self._check_version(version)
        return await super().chunk(model, version, index)


class NewestView(fakes.FakeClusterView):
    """Targets the newest version."""

    async def target_version(self, report):
        return max(self.versions, key=lambda t: t.version, default=None)


class Sidecar:
    """One sidecar beside an engine that serves version 1."""

    def __init__(self):
        loop = asyncio.get_running_loop()
        member = spread.Member('a0', 'a')
        self.engine = fakes.FakeEngine(1)
        self.origin = LimitedOrigin()
        self.cluster_view = NewestView([member])
        self.held = 0
        self._member = member
        self._clock = loop.time

    def start(self):
        self.version_store = spread.VersionStore()
        self.agent = spread.Agent(
            self._member,
            self.cluster_view,
            self.engine,
            self.origin,
            fakes.FakePeers(),
            self.version_store,
            self._clock,
            fakes.manifest(1).size_bytes / spread.BYTES_PER_MBIT / COPY_S,
            fakes.Counter(),
            fakes.FakeAdmission(),
        )
        asyncio.ensure_future(self.agent.run())

    async def stop(self):
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def announce(self, version):
        self.origin.newest = max(version, self.origin.newest)
        self.cluster_view.announce_version(version, VERSION_S)
        # A peer asks for the version that the engine had at first.
        self.agent.on_chunk_request(fakes.MODEL, 1)

    async def wait_until_served(self, version, wait_s):
        async with asyncio.timeout(wait_s):
            while self.engine.version != version:
                self.note_held()
                await asyncio.sleep(0.05)

    def note_held(self):
        versions = len(self.version_store.of_model(fakes.MODEL))
        self.held = max(self.held, versions)


async def play(seed):
    """Announce a series of versions; return (sidecar, seconds, newest)."""
    rng = random.Random(seed)
    sidecar = Sidecar()
    sidecar.start()
    newest = 1
    for _ in range(rng.randint(2, 10)):
        await asyncio.sleep(10 ** rng.uniform(-1.3, 1.0))
        sidecar.note_held()
        newest += 1
        sidecar.announce(newest)
        if rng.random() < 0.2:
            sidecar.announce(max(1, newest - rng.randint(1, 3)))
        if rng.random() < 0.15:
            await sidecar.stop()
            sidecar.start()
        if rng.random() < 0.15:
            sidecar.origin.down = True
            await asyncio.sleep(rng.uniform(0.5, 6))
            sidecar.origin.down = False
    began = asyncio.get_running_loop().time()
    await sidecar.wait_until_served(newest, 60)
    took_s = asyncio.get_running_loop().time() - began
    await sidecar.stop()
    return sidecar, took_s, newest


@pytest.mark.parametrize('first_seed', range(0, 200, 50))
def test_engine_serves_the_newest_of_a_series(first_seed):
    """Versions in quick succession must not stop the sidecar for good."""
    for seed in range(first_seed, first_seed + 50):
        sidecar, took_s, newest = swarm.run_in_virtual_time(
            lambda seed=seed: play(seed)
        )
        assert took_s <= VERSION_S, seed
        assert sidecar.held <= MAX_VERSIONS, seed
        assert sidecar.engine.loaded == {
            i: fakes.chunk(newest, i) for i in range(fakes.CHUNKS)
        }, seed
