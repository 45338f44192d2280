"""In-memory fakes of an engine, an origin, peers and a cluster view."""

import asyncio
import hashlib
import math

import attrs

from catkinshunt import errors
from catkinshunt import permits
from catkinshunt import spread
from catkinshunt import weights

MODEL = 'drafts'
CHUNKS = 6


def chunk(version, index):
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
    """Counts bytes by way: 'peer', 'origin' or 'given'."""

    def __init__(self):
        self.counts = {}

    def add(self, way, amount=1):
        self.counts[way] = self.counts.get(way, 0) + amount


class FakeOrigin(spread.BaseOrigin):
    """An origin that can be down or send corrupt data."""

    def __init__(self):
        self.sent_chunks = []
        self.requests = 0
        self.corrupt = set()
        self.bad_manifests = 0
        self.down = False
        self.released = 0
        self.newest = 1
        self.unknown_versions = set()

    async def manifest(self, model, version):
        await asyncio.sleep(0)
        if self.down or version in self.unknown_versions:
            raise errors.TransferError('down', step='manifest')
        if self.bad_manifests:
            self.bad_manifests -= 1
            return attrs.evolve(manifest(version + 100), version=str(version))
        return manifest(version, model)

    async def newest_version(self, model):
        await asyncio.sleep(0)
        if self.down:
            raise errors.TransferError('down', step='newest version')
        return self.newest

    async def chunk(self, model, version, index):
        self.requests += 1
        await asyncio.sleep(0)
        if self.down:
            raise errors.TransferError('down', step='chunk')
        self.sent_chunks.append(index)
        if index in self.corrupt:
            self.corrupt.discard(index)
            return b'corrupt'
        return chunk(version, index)

    def release(self):
        self.released += 1


class FakePeers:
    """Peers that have the chunks in `stores`, by name and version."""

    def __init__(self, **stores):
        self.stores = stores
        self.requested = []
        self.dead = set()
        self.corrupt = set()
        self.reported_shares = {}

    def reported_share(self, peer, model, version):
        return self.reported_shares.get(peer)

    async def chunk_if_idle(self, peer, model, version, indices):
        return await self.chunk(peer, model, version, indices)

    async def chunk(self, peer, model, version, indices, relay=False):
        await asyncio.sleep(0)
        self.requested.append((peer, tuple(indices)))
        if peer in self.dead:
            raise errors.TransferError('unreachable', step='chunk', peer=peer)
        stored = self.stores.get(peer, {})
        for index in indices:
            if index in stored.get(version, ()):
                data = chunk(version, index)
                return index, b'x' if peer in self.corrupt else data
        raise errors.SourceBusyError('not available yet', peer=peer)

    async def manifest(self, peer, model, version):
        raise errors.SourceBusyError('not available yet', peer=peer)


class FakeAdmission(permits.BasePermitAdmission):
    """Records its calls."""

    def __init__(self):
        self.calls = []
        self.expires_in_s = None

    def reconcile(self, present):
        self.calls.append(('reconcile', present))

    def schedule_reload(self, closes_in_s, opens_in_s):
        self.calls.append(('close', closes_in_s))

    def end_reload(self):
        self.calls.append(('open',))

    def begin_leaving(self, started_at_ms):
        self.calls.append(('leave', started_at_ms))

    def end_leaving(self):
        self.calls.append(('back',))

    def set_expiry(self, expires_in_s):
        self.expires_in_s = expires_in_s


class FakeEngine(spread.BaseEngine):
    """An engine that loads the staged chunks when it receives an order.

    Attributes:
        loaded: staged chunks at the last load, by index.
        lost_replies: number of orders that take effect without a reply.
    """

    def __init__(self, version=0):
        self.version = version
        self.stage = {}
        self.loaded = None
        self.orders = []
        self.lost_replies = 0
        self.down = False
        self.is_leaving = False

    async def report(self):
        if self.down:
            raise errors.TransferError('down', step='report')
        versions = {MODEL: self.version} if self.version else {}
        return spread.EngineReport(
            versions, is_leaving=self.is_leaving, started_at_ms=5
        )

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
        if self.lost_replies:
            self.lost_replies -= 1
            raise spread.LoadOutcomeUnknownError('lost', step='load')


class FakeClusterView(spread.BaseClusterView):
    """Targets the last version announced by the test.

    Attributes:
        offset_s: how far its clock is ahead of that of the event loop.
    """

    regions = {}

    def __init__(self, members=()):
        self.versions = []
        self.noted = []
        self.listed = list(members)
        self.offset_s = 0.0
        self._announced = asyncio.Event()

    def announce_version(self, version, due_s=8.0):
        due_at = self.now() + due_s
        self.versions.append(spread.TargetVersion(MODEL, version, due_at))
        self._announced.set()

    def now(self):
        return asyncio.get_running_loop().time() + self.offset_s

    async def target_version(self, report):
        return self.versions[-1] if self.versions else None

    async def unannounced_models(self):
        return [] if self.versions else [MODEL]

    async def wait_for_version(self):
        await self._announced.wait()
        self._announced.clear()

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
        self.noted.append((model, version))
