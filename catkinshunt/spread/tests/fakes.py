"""Engines, an origin and an outlook in memory."""

import asyncio
import hashlib
import math

import attrs

from catkinshunt import errors
from catkinshunt import places
from catkinshunt import spread
from catkinshunt.spread import _agent
from catkinshunt import weights

MODEL = 'drafts'
CHUNKS = 6


def chunk(version, index):
    """Return the bytes of a chunk."""
    return f'{version}:{index}:'.encode() * 50


def manifest(version, model=MODEL):
    chunks = [chunk(version, index) for index in range(CHUNKS)]
    return weights.Manifest(
        model=model,
        version=str(version),
        size_bytes=sum(map(len, chunks)),
        chunk_bytes=len(chunks[0]),
        chunks=tuple(hashlib.sha256(data).hexdigest() for data in chunks),
        digest='0' * 64,
    )


class Counter:
    """Counts bytes by source."""

    def __init__(self):
        self.counts = {}

    def add(self, way, amount=1):
        self.counts[way] = self.counts.get(way, 0) + amount


class FakeOrigin(spread.BaseOrigin):
    """Gives chunks; some of them bad."""

    def __init__(self):
        self.given = []
        self.asks = 0
        self.corrupt = set()
        self.bad_manifests = 0
        self.down = False
        self.released = 0

    async def manifest(self, model, version):
        await asyncio.sleep(0)
        if self.down:
            raise errors.TransferError('down', step='manifest')
        if self.bad_manifests:
            self.bad_manifests -= 1
            return attrs.evolve(manifest(version + 100), version=str(version))
        return manifest(version, model)

    async def chunk(self, model, version, index):
        self.asks += 1
        await asyncio.sleep(0)
        if self.down:
            raise errors.TransferError('down', step='chunk')
        self.given.append(index)
        if index in self.corrupt:
            self.corrupt.discard(index)
            return b'spoilt'
        return chunk(version, index)

    def release(self):
        self.released += 1


class FakePeers:
    """Holdings of other members, by name."""

    def __init__(self, **shelves):
        self.shelves = shelves
        self.asked = []
        self.dead = set()
        self.corrupt = set()
        self.shares = {}

    def share(self, peer, model, version):
        return self.shares.get(peer)

    async def spare_chunk(self, peer, model, version, indices):
        return await self.chunk(peer, model, version, indices)

    async def chunk(self, peer, model, version, indices, relays=False):
        await asyncio.sleep(0)
        self.asked.append((peer, tuple(indices)))
        if peer in self.dead:
            raise errors.TransferError('gone', step='chunk', peer=peer)
        held = self.shelves.get(peer, {})
        for index in indices:
            if index in held.get(version, ()):
                data = chunk(version, index)
                return index, b'x' if peer in self.corrupt else data
        raise errors.SourceBusyError('not there yet', peer=peer)

    async def manifest(self, peer, model, version):
        raise errors.SourceBusyError('not there yet', peer=peer)


class FakeDoor(places.BaseAdmission):
    """Notes what it is told."""

    def __init__(self):
        self.told = []
        self.expires_in_s = None

    def reconcile(self, present):
        self.told.append(('correct', present))

    def close(self, closes_in_s, opens_in_s):
        self.told.append(('close', closes_in_s))

    def open(self):
        self.told.append(('open',))

    def set_expiry(self, expires_in_s):
        self.expires_in_s = expires_in_s


class FakeEngine(spread.BaseEngine):
    """An engine that loads what is staged when it takes an order.

    Attributes:
        loaded: the staged bytes at the order, by index.
        lost_answers: orders that take effect without an answer.
    """

    def __init__(self, version=0):
        self.version = version
        self.stage = {}
        self.loaded = None
        self.orders = []
        self.lost_answers = 0
        self.down = False

    async def report(self):
        if self.down:
            raise errors.TransferError('down', step='report')
        versions = {MODEL: self.version} if self.version else {}
        return spread.EngineReport(versions)

    async def put_chunk(self, model, index, data):
        await asyncio.sleep(0)
        self.stage[index] = data

    async def get_chunk(self, model, index):
        await asyncio.sleep(0)
        return self.stage.get(index)

    async def list_staged(self, model):
        return list(self.stage)

    async def load(self, model, version):
        self.orders.append(version)
        if self.version != version:
            self.version = version
            self.loaded = dict(self.stage)
        if self.lost_answers:
            self.lost_answers -= 1
            raise spread.LoadOutcomeUnknownError('lost', step='load')


class FakeOutlook(spread.BaseClusterView):
    """Names versions as the test wants them."""

    regions = {}

    def __init__(self, members=()):
        self.versions = []
        self.heard = []
        self.listed = list(members)
        self._named = asyncio.Event()

    def name(self, version, due_s=8.0):
        due_at = self.now() + due_s
        self.versions.append(_agent.TargetVersion(MODEL, version, due_at))
        self._named.set()

    def now(self):
        return asyncio.get_running_loop().time()

    async def target_version(self, report):
        return self.versions[-1] if self.versions else None

    async def wait_for_version(self):
        await self._named.wait()
        self._named.clear()

    def superseded_at(self, model, version):
        return min(w.due_at for w in self.versions if w.version > version)

    def expires_at(self, model, version):
        later = [w.due_at for w in self.versions if w.version > version]
        return min(later, default=math.inf)

    async def members(self):
        return self.listed

    async def origin_connections(self):
        return 40

    def origin_copy_s(self, size):
        return 0.0

    def note_version(self, model, version):
        self.heard.append((model, version))
