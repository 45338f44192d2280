"""A service of many members that fetch a version together, in virtual time.

Plans, fetchers and holdings are the product's own; links, the origin and the
members' lives are modelled. A chunk is sent as a whole over one link after
the other, in the order in which links were asked.
"""

import asyncio
import collections
import contextlib
import hashlib
import selectors

import attrs

from catkinshunt import errors
from catkinshunt import spread
from catkinshunt.spread import _agent
from catkinshunt.spread import _chunk_store
from catkinshunt.spread import _chunk_server
from catkinshunt.spread.tests import fakes
from catkinshunt import weights

#: Time on the way between two machines, in seconds.
DELAY_S = 0.001
#: Seconds after which a peer that sends nothing is given up.
SILENT_S = 3.0
#: The same for the origin.
ORIGIN_SILENT_S = 4.0
#: Pause of a member before a transfer that failed is begun again.
AGAIN_S = 0.25


class _Selector(selectors.SelectSelector):
    """Passes the time that a loop would wait for at once."""

    now = 0.0

    def select(self, timeout=None):
        if timeout:
            self.now += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer."""

    def __init__(self):
        self._passing = _Selector()
        super().__init__(self._passing)

    def time(self):
        """Return the virtual seconds since the begin."""
        return self._passing.now


class Link:
    """Sends one piece after the other at a given speed."""

    def __init__(self, mbps):
        self.bytes_per_s = mbps * spread.BYTES_PER_MBIT
        self.sent = 0
        self._turn = asyncio.Lock()

    async def carry(self, size):
        """Return when `size` bytes have passed."""
        async with self._turn:
            self.sent += size
            await asyncio.sleep(size / self.bytes_per_s)


@attrs.frozen
class Scale:
    """Sizes of a deployment; speeds in Mbit/s, sizes in bytes."""

    places: dict
    chunks: int = 96
    chunk_bytes: int = 24_576
    link_mbps: float = 3.65
    origin_mbps: float = 4.38
    region_mbps: float = 11.5
    origin_connections: int = 48

    @property
    def copy_bytes(self):
        """Bytes of one version."""
        return self.chunks * self.chunk_bytes

    @property
    def copy_s(self):
        """Seconds of one copy over the link of one member."""
        return self.copy_bytes / (self.link_mbps * spread.BYTES_PER_MBIT)


class Box:
    """One instance with its sidecar, which can die and start again."""

    def __init__(self, swarm, member):
        self.swarm = swarm
        self.member = member
        self.up = Link(swarm.scale.link_mbps)
        self.down = Link(swarm.scale.link_mbps)
        self.stage = {}
        self.alive = True
        self.frozen = False
        self.completed_at = None
        self.chunk_store = None
        self.turns = None
        self._task = None

    def start(self, version):
        """Fetch a version; what lies staged of it is taken first."""
        self.alive = True
        self.turns = _chunk_server.PriorityLock()
        self.chunk_store = spread.ChunkStore(fakes.MODEL, version)
        self.chunk_store.begin()
        self._task = asyncio.ensure_future(self._fetch())

    def stay_idle(self):
        """Answer others, without a transfer of the version."""
        self.alive = True
        self.turns = _chunk_server.PriorityLock()

    def kill(self):
        """End the sidecar; what it staged stays."""
        self.alive = False
        if self._task is not None:
            self._task.cancel()

    def give_up(self):
        """Fetch this version no more, but give what is here."""
        self._task.cancel()
        self.chunk_store.end()

    async def _fetch(self):
        while not self.chunk_store.is_complete:
            with contextlib.suppress(errors.CatkinshuntError, ExceptionGroup):
                fetcher = self._make_fetcher()
                await fetcher.fetch_manifest()
                for index, data in self.stage.items():
                    self.chunk_store.put(index, data)
                await fetcher.run()
                break
            await asyncio.sleep(AGAIN_S)
        self.completed_at = asyncio.get_running_loop().time()

    def _make_fetcher(self):
        swarm = self.swarm
        plan = spread.SourcePlan(
            self.member,
            swarm.listed_at(self.member),
            {},
            fakes.MODEL,
            self.chunk_store.version,
            connections=swarm.scale.origin_connections,
        )
        origin = SwarmOrigin(self)
        copy_s = swarm.scale.copy_s * _agent.COPY_OVERHEAD
        origin_s = swarm.scale.copy_bytes / swarm.origin.bytes_per_s
        return spread.Fetcher(
            self.chunk_store,
            plan,
            SwarmPeers(self),
            origin,
            asyncio.get_running_loop().time,
            self._keep,
            fakes.Counter(),
            lambda size: copy_s,
            lambda size: origin_s,
        )

    async def _keep(self, index, data):
        self.stage[index] = data


class SwarmOrigin(spread.BaseOrigin):
    """The origin as one member sees it."""

    def __init__(self, box):
        self.box = box
        self.swarm = box.swarm

    async def manifest(self, model, version):
        """See `spread.BaseOrigin.manifest`."""
        await self._receive(len(self.swarm.manifest(version).dumps()))
        return self.swarm.manifest(version)

    async def chunk(self, model, version, index):
        """See `spread.BaseOrigin.chunk`."""
        await self._receive(self.swarm.scale.chunk_bytes)
        self.swarm.origin_given[index] += 1
        return self.swarm.chunk(version, index)

    def release(self):
        """See `spread.BaseOrigin.release`."""

    async def _receive(self, size):
        await asyncio.sleep(DELAY_S)
        if self.swarm.origin_down:
            raise errors.TransferError('no connection', peer='origin')
        try:
            async with asyncio.timeout(ORIGIN_SILENT_S):
                await self.swarm.origin.carry(size)
        except TimeoutError as exc:
            raise errors.TransferError('silent', peer='origin') from exc
        await self.box.down.carry(size)


class SwarmPeers:
    """The other members as one of them sees them."""

    def __init__(self, box):
        self.box = box
        self.swarm = box.swarm
        self.shares = {}

    def share(self, peer, model, version):
        """Return the share of the version that a peer had, or None."""
        return self.shares.get(peer)

    async def chunk(self, peer, model, version, indices, relays=False):
        """Return (index, bytes) of one of these chunks."""
        return await self._ask(peer, version, indices, 0 if relays else 1)

    async def spare_chunk(self, peer, model, version, indices):
        """Return (index, bytes) of one of these if the peer is idle."""
        return await self._ask(peer, version, indices, None)

    async def _ask(self, peer, version, indices, rank):
        box = self.swarm.instances[peer]
        await asyncio.sleep(DELAY_S)
        if not box.alive:
            raise errors.TransferError('no connection', peer=peer)
        try:
            async with asyncio.timeout(SILENT_S):
                while box.frozen:
                    await asyncio.sleep(AGAIN_S)
                return await self._receive(box, version, indices, rank)
        except TimeoutError as exc:
            raise errors.TransferError('silent', peer=peer) from exc

    async def manifest(self, peer, model, version):
        """Return the bytes of the manifest."""
        _, data = await self.chunk(
            peer, model, version, [_chunk_store.MANIFEST_INDEX]
        )
        return data

    async def _receive(self, box, version, indices, rank):
        chunk_store, turns = box.chunk_store, box.turns
        peer = box.member.name
        if chunk_store is None or chunk_store.version != version:
            await asyncio.sleep(_chunk_server.BEGIN_S)
            raise errors.SourceUnableError('not fetched', peer=peer)
        if rank is not None:
            self._note_asker(chunk_store, indices)
            await chunk_store.wait_for_any(
                indices, _chunk_server.LONGEST_WAIT_S
            )
        elif not turns.is_free:
            raise errors.SourceBusyError('gives to others', peer=peer)
        found = chunk_store.find_any(indices)
        if found is None and not (
            chunk_store.awaits(indices) or chunk_store.is_complete
        ):
            raise errors.SourceUnableError('left out', peer=peer)
        if found is None:
            raise errors.SourceBusyError(
                'not there yet',
                peer=peer,
                chains=chunk_store.waits.chains(indices),
            )
        await turns.take(1 if rank is None else rank)
        try:
            found = chunk_store.find_any(indices)
            if found is None:
                raise errors.SourceUnableError('left out', peer=peer)
            chunk_store.note_given(found[0])
            self.shares[peer] = 1 - chunk_store.left_share
            await box.up.carry(self.swarm.scale.chunk_bytes)
        finally:
            turns.leave()
        if not box.alive:
            raise errors.TransferError('reset', peer=peer)
        await self._cross(box)
        await self.box.down.carry(self.swarm.scale.chunk_bytes)
        return found

    def _note_asker(self, chunk_store, indices):
        now = asyncio.get_running_loop().time()
        for index in indices:
            chunk_store.waits.note_asker(index, self.box.member.name, now)

    async def _cross(self, box):
        here, there = self.box.member.data_centre, box.member.data_centre
        if here != there:
            link = self.swarm.between(there, here)
            await link.carry(self.swarm.scale.chunk_bytes)


class Swarm:
    """All members of one service, and what they take versions from.

    Args:
        scale: `Scale`.
    """

    def __init__(self, scale):
        self.scale = scale
        self.members = [
            spread.Member(f'{place}{number}', place)
            for place, count in scale.places.items()
            for number in range(count)
        ]
        self.origin = Link(scale.origin_mbps)
        self.missed = {}
        self.origin_down = False
        self.origin_given = collections.Counter()
        self.instances = {m.name: Box(self, m) for m in self.members}
        self._between = {}
        self._manifests = {}

    def listed_at(self, member):
        """Return the members that one of them knows."""
        missed = self.missed.get(member.name, ())
        return [m for m in self.members if m.name not in missed]

    def between(self, one, other):
        """Return the link from one data centre to another."""
        if (one, other) not in self._between:
            self._between[(one, other)] = Link(self.scale.region_mbps)
        return self._between[(one, other)]

    def chunk(self, version, index):
        """Return the bytes that stand for a chunk."""
        return f'{version}:{index}:'.encode().ljust(self.scale.chunk_bytes)

    def manifest(self, version):
        """Return the `weights.Manifest` of a version."""
        if version not in self._manifests:
            digests = [
                hashlib.sha256(self.chunk(version, index)).hexdigest()
                for index in range(self.scale.chunks)
            ]
            self._manifests[version] = weights.Manifest(
                model=fakes.MODEL,
                version=str(version),
                size_bytes=self.scale.copy_bytes,
                chunk_bytes=self.scale.chunk_bytes,
                chunks=tuple(digests),
                digest='0' * 64,
            )
        return self._manifests[version]

    def name(self, version):
        """Let all members that live fetch a version."""
        for box in self.instances.values():
            if box.alive:
                box.start(version)

    async def wait(self, longest_s):
        """Return once all members have it whole, or after `longest_s`."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(longest_s):
                while any(
                    b.completed_at is None for b in self.instances.values()
                ):
                    await asyncio.sleep(0.05)

    @property
    def origin_copies(self):
        """Copies that the origin has sent."""
        return self.origin.sent / self.scale.copy_bytes

    def ends_s(self):
        """Return when members had it whole, in order.

        Members that do not have it are left out.
        """
        ends = (box.completed_at for box in self.instances.values())
        return sorted(end for end in ends if end is not None)


def play(day):
    """Run a coroutine function in virtual time; return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(day())
