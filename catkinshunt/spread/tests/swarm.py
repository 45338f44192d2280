"""Simulates a service whose members fetch a version, in virtual time.

Plans, fetchers and chunk stores are the real ones; links, the origin and the
life cycle of instances are simulated. A chunk crosses its links one after the
other as a unit, and each link sends chunks in the order of requests.
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
from catkinshunt.spread import _chunk_server
from catkinshunt.spread import _chunk_store
from catkinshunt.spread import _plan_updater
from catkinshunt.spread.tests import fakes
from catkinshunt import weights

#: One-way latency between two instances.
LATENCY_S = 0.001
#: Timeout of a request to a peer.
PEER_TIMEOUT_S = 3.0
#: Timeout of a request to the origin.
ORIGIN_TIMEOUT_S = 4.0
#: Pause after a failed transfer.
RETRY_S = 0.25


class _Selector(selectors.SelectSelector):
    """Advances the virtual time instead of waiting."""

    now = 0.0

    def select(self, timeout=None):
        if timeout:
            self.now += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer."""

    def __init__(self):
        self._virtual_selector = _Selector()
        super().__init__(self._virtual_selector)

    def time(self):
        """Return the virtual seconds since the start."""
        return self._virtual_selector.now


class Link:
    """A serial link of a given speed."""

    def __init__(self, mbps):
        self.bytes_per_s = mbps * spread.BYTES_PER_MBIT
        self.sent = 0
        self._lock = asyncio.Lock()

    async def send(self, size):
        """Wait until `size` bytes have been sent."""
        async with self._lock:
            self.sent += size
            await asyncio.sleep(size / self.bytes_per_s)


@attrs.frozen
class Scale:
    """Dimensions of a deployment.

    Attributes:
        member_counts: number of members by data centre.
    """

    member_counts: dict
    chunk_count: int = 96
    chunk_bytes: int = 24_576
    link_mbps: float = 3.65
    origin_mbps: float = 4.38
    region_mbps: float = 11.5
    origin_connections: int = 48

    @property
    def copy_bytes(self):
        """Size of one version."""
        return self.chunk_count * self.chunk_bytes

    @property
    def copy_s(self):
        """Seconds in which a copy crosses the link of one member."""
        return self.copy_bytes / (self.link_mbps * spread.BYTES_PER_MBIT)


class SimulatedInstance:
    """An instance with a sidecar that can die and restart."""

    def __init__(self, swarm, member):
        self.swarm = swarm
        self.member = member
        self.uplink = Link(swarm.scale.link_mbps)
        self.downlink = Link(swarm.scale.link_mbps)
        self.stage = {}
        self.alive = True
        self.frozen = False
        self.completed_at = None
        self.chunk_store = None
        self.send_lock = None
        self._task = None

    def start(self, version):
        """Start the sidecar and fetch a version, staged chunks first."""
        self.alive = True
        self.send_lock = _chunk_server.PriorityLock()
        self.chunk_store = spread.ChunkStore(fakes.MODEL, version)
        self.chunk_store.begin_transfer()
        self._task = asyncio.ensure_future(self._fetch())

    def run_without_transfer(self):
        """Start the sidecar without a transfer of the version."""
        self.alive = True
        self.send_lock = _chunk_server.PriorityLock()

    def kill(self):
        """Kill the sidecar; staged chunks remain."""
        self.alive = False
        if self._task is not None:
            self._task.cancel()

    def cancel_transfer(self):
        """Cancel the transfer, but serve the present chunks."""
        self._task.cancel()
        self.chunk_store.end_transfer()

    async def _fetch(self):
        while not self.chunk_store.is_complete:
            with contextlib.suppress(errors.CatkinshuntError, ExceptionGroup):
                fetcher = self._make_fetcher()
                updater = asyncio.ensure_future(
                    _plan_updater.PlanUpdater(
                        fetcher.plan, SwarmView(self)
                    ).run(fetcher.reassign)
                )
                try:
                    await fetcher.fetch_manifest()
                    for index, data in self.stage.items():
                        self.chunk_store.put(index, data)
                    await fetcher.run()
                finally:
                    updater.cancel()
                break
            await asyncio.sleep(RETRY_S)
        self.completed_at = asyncio.get_running_loop().time()

    def _make_fetcher(self):
        swarm = self.swarm
        plan = spread.SourcePlan(
            self.member,
            swarm.members_listed_by(self.member),
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
            self._stage_chunk,
            fakes.Counter(),
            lambda size: copy_s,
            lambda size: origin_s,
        )

    async def _stage_chunk(self, index, data):
        self.stage[index] = data


class SwarmView:
    """What one member reads of the others."""

    def __init__(self, instance):
        self.instance = instance
        self.swarm = instance.swarm

    async def members(self):
        """See `spread.BaseClusterView.members`."""
        return self.swarm.members_listed_by(self.instance.member)

    async def origin_connections(self):
        """See `spread.BaseClusterView.origin_connections`."""
        return self.swarm.scale.origin_connections


class SwarmOrigin(spread.BaseOrigin):
    """The origin, with the link of one member."""

    def __init__(self, instance):
        self.instance = instance
        self.swarm = instance.swarm

    async def manifest(self, model, version):
        """See `spread.BaseOrigin.manifest`."""
        await self._receive(len(self.swarm.manifest(version).dumps()))
        return self.swarm.manifest(version)

    async def newest_version(self, model):
        """See `spread.BaseOrigin.newest_version`."""
        raise NotImplementedError

    async def chunk(self, model, version, index):
        """See `spread.BaseOrigin.chunk`."""
        await self._receive(self.swarm.scale.chunk_bytes)
        self.swarm.origin_sent_counts[index] += 1
        return self.swarm.chunk(version, index)

    def release(self):
        """See `spread.BaseOrigin.release`."""

    async def _receive(self, size):
        await asyncio.sleep(LATENCY_S)
        if self.swarm.origin_down:
            raise errors.TransferError('no connection', peer='origin')
        try:
            async with asyncio.timeout(ORIGIN_TIMEOUT_S):
                await self.swarm.origin.send(size)
        except TimeoutError as exc:
            raise errors.TransferError('unresponsive', peer='origin') from exc
        await self.instance.downlink.send(size)


class SwarmPeers:
    """The peers of one member, with its link."""

    def __init__(self, instance):
        self.instance = instance
        self.swarm = instance.swarm
        self.reported_shares = {}

    def reported_share(self, peer, model, version):
        """See `spread.PeerClient.reported_share`."""
        return self.reported_shares.get(peer)

    async def chunk(self, peer, model, version, indices, relay=False):
        """See `spread.PeerClient.chunk`."""
        return await self._request(peer, version, indices, 0 if relay else 1)

    async def chunk_if_idle(self, peer, model, version, indices):
        """See `spread.PeerClient.chunk_if_idle`."""
        return await self._request(peer, version, indices, None)

    async def _request(self, peer, version, indices, priority):
        instance = self.swarm.instances[peer]
        await asyncio.sleep(LATENCY_S)
        if not instance.alive:
            raise errors.TransferError('no connection', peer=peer)
        try:
            async with asyncio.timeout(PEER_TIMEOUT_S):
                while instance.frozen:
                    await asyncio.sleep(RETRY_S)
                return await self._receive(
                    instance, version, indices, priority
                )
        except TimeoutError as exc:
            raise errors.TransferError('unresponsive', peer=peer) from exc

    async def manifest(self, peer, model, version):
        """See `spread.PeerClient.manifest`."""
        _, data = await self.chunk(
            peer, model, version, [_chunk_store.MANIFEST_INDEX]
        )
        return data

    async def _receive(self, instance, version, indices, priority):
        chunk_store, send_lock = instance.chunk_store, instance.send_lock
        peer = instance.member.name
        if chunk_store is None or chunk_store.version != version:
            await asyncio.sleep(_chunk_server.START_WAIT_S)
            raise errors.SourceUnableError('not fetched', peer=peer)
        if priority is not None:
            self._note_requester(chunk_store, indices)
            await chunk_store.wait_for_any(indices, _chunk_server.MAX_WAIT_S)
        elif not send_lock.is_free:
            raise errors.SourceBusyError('sending another chunk', peer=peer)
        found = chunk_store.find_any(indices)
        if found is None and not (
            chunk_store.is_expecting(indices) or chunk_store.is_complete
        ):
            raise errors.SourceUnableError('uploads disabled', peer=peer)
        if found is None:
            raise errors.SourceBusyError(
                'not available yet',
                peer=peer,
                chains=chunk_store.wait_graph.chains(indices),
            )
        await send_lock.acquire(1 if priority is None else priority)
        try:
            found = chunk_store.find_any(indices)
            if found is None:
                raise errors.SourceUnableError('uploads disabled', peer=peer)
            chunk_store.count_served(found[0])
            self.reported_shares[peer] = 1 - chunk_store.missing_share
            await instance.uplink.send(self.swarm.scale.chunk_bytes)
        finally:
            send_lock.release()
        if not instance.alive:
            raise errors.TransferError('reset', peer=peer)
        await self._cross(instance)
        await self.instance.downlink.send(self.swarm.scale.chunk_bytes)
        return found

    def _note_requester(self, chunk_store, indices):
        now = asyncio.get_running_loop().time()
        for index in indices:
            chunk_store.wait_graph.note_requester(
                index, self.instance.member.name, now
            )

    async def _cross(self, instance):
        here, there = (
            self.instance.member.data_centre,
            instance.member.data_centre,
        )
        if here != there:
            link = self.swarm.link_between(there, here)
            await link.send(self.swarm.scale.chunk_bytes)


class Swarm:
    """The members of one service, their links and the origin.

    Args:
        scale: `Scale`.

    Attributes:
        unlisted: names of members missing from the list of a member, by its
            name.
    """

    def __init__(self, scale):
        self.scale = scale
        self.members = [
            spread.Member(f'{data_centre}{number}', data_centre)
            for data_centre, count in scale.member_counts.items()
            for number in range(count)
        ]
        self.origin = Link(scale.origin_mbps)
        self.unlisted = {}
        self.origin_down = False
        self.origin_sent_counts = collections.Counter()
        self.instances = {
            m.name: SimulatedInstance(self, m) for m in self.members
        }
        self._links_between = {}
        self._manifests = {}

    def members_listed_by(self, member):
        """Return the members in the list of one of them."""
        unlisted = self.unlisted.get(member.name, ())
        return [m for m in self.members if m.name not in unlisted]

    def link_between(self, one, other):
        """Return the link from one data centre to another."""
        if (one, other) not in self._links_between:
            self._links_between[(one, other)] = Link(self.scale.region_mbps)
        return self._links_between[(one, other)]

    def chunk(self, version, index):
        """Return the content of a chunk."""
        return f'{version}:{index}:'.encode().ljust(self.scale.chunk_bytes)

    def manifest(self, version):
        """Return the `weights.Manifest` of a version."""
        if version not in self._manifests:
            digests = [
                hashlib.sha256(self.chunk(version, index)).hexdigest()
                for index in range(self.scale.chunk_count)
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

    def announce_version(self, version):
        """Start the transfer of a version on all running instances."""
        for instance in self.instances.values():
            if instance.alive:
                instance.start(version)

    async def wait(self, longest_s):
        """Wait until the version is complete everywhere, or `longest_s`."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(longest_s):
                while any(
                    instance.completed_at is None
                    for instance in self.instances.values()
                ):
                    await asyncio.sleep(0.05)

    @property
    def origin_copies(self):
        """Data sent by the origin, in copies of the version."""
        return self.origin.sent / self.scale.copy_bytes

    def completion_times_s(self):
        """Return the sorted times at which the version was complete.

        Members where it is incomplete are omitted.
        """
        ends = (instance.completed_at for instance in self.instances.values())
        return sorted(end for end in ends if end is not None)


def run_in_virtual_time(scenario):
    """Run a coroutine function in virtual time; return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(scenario())
