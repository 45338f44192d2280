"""Fetches all chunks of one version."""

import asyncio
import collections
import enum
import math

from catkinshunt import errors
from catkinshunt import logs
from catkinshunt.spread import _manifests
from catkinshunt.spread import _plan
from catkinshunt.spread import _source_health
from catkinshunt.spread import _source_speeds

#: Consecutive requests without a chunk, the last of them failed, after which
#: the queue of a source fails over to the next sources. Only corrupt chunks
#: count as such a last failure; after other errors the source is excluded and
#: its queue fails over at once.
MAX_UNSUCCESSFUL = 2
#: A chunk is fetched from the origin after members * (MIN_FAILED_ATTEMPTS +
#: FAILED_ATTEMPTS_PER_S * origin_copy_s) failed attempts, where `members` is
#: the number of usable members and `origin_copy_s` the time in which the
#: origin sends one copy. Only busy replies and corrupt chunks count as failed
#: attempts. Owners that share a slow origin have no chunks for a while; after
#: two attempts only, all members would use the origin at once.
MIN_FAILED_ATTEMPTS = 2
FAILED_ATTEMPTS_PER_S = 1.0
#: Least length of a queue from which an idle source steals; the busy source
#: is about to send the first chunk.
MIN_STEALABLE = 2
#: Pause after a stealing attempt without a chunk.
STEAL_PAUSE_S = 0.5
#: Pause before the queue of a failed source is reassigned.
RETRY_S = 0.2
#: Interval of log lines on a transfer in progress.
REPORT_INTERVAL_S = 1.0
#: Consecutive corrupt chunks after which the manifest itself is taken to be
#: damaged. Sources that corrupt one chunk in ten do not reach this limit.
MAX_CORRUPT_IN_ROW = 8

_log = logs.get_logger('transfer')


class _Outcome(enum.Enum):
    """Result of one request to a source.

    A source that is unable to send the version counts as failed.
    """

    RECEIVED = 'received'
    BUSY = 'busy'
    FAILED = 'failed'


class Fetcher:
    """Fills one `ChunkStore` from the sources of a `SourcePlan`.

    A copy is all chunks of one version, sent once.

    Args:
        chunk_store: `ChunkStore` to fill.
        plan: `SourcePlan`.
        peers: `PeerClient`.
        origin: `base.BaseOrigin`.
        clock: returns seconds on the monotonic clock.
        stage_chunk: coroutine function of (index, data).
        byte_counter: counts bytes by source: received from a 'peer' or the
            'origin'.
        copy_s: function of the size of a copy in bytes; returns the seconds in
            which it crosses this instance's link. Infinite seconds disable the
            detection of slow sources and of a slow link.
        origin_copy_s: the same for the link of the origin.
    """

    def __init__(
        self, chunk_store, plan, peers, origin, clock, stage_chunk,
        byte_counter, copy_s=lambda size: math.inf,
        origin_copy_s=lambda size: 0.0,
    ):  # fmt: skip
        self.chunk_store = chunk_store
        self.plan = plan
        self.peers = peers
        self.origin = origin
        self.clock = clock
        self.stage_chunk = stage_chunk
        self.byte_counter = byte_counter
        self.copy_s = copy_s
        self.origin_copy_s = origin_copy_s
        self._health = _source_health.SourceHealth(chunk_store, clock)
        self._speeds = _source_speeds.SourceSpeeds(clock)
        self._min_attempts = MIN_FAILED_ATTEMPTS
        self._corrupt_in_row = 0
        self._queues = {}
        self._active_sources = set()
        self._in_wait_cycle = set()
        self._tried = {}
        self._failed_attempts = collections.Counter()
        self._group = None

    async def run(self):
        """Fetch all missing chunks.

        Raises:
            ExceptionGroup: with an `errors.ManifestError` if the manifest
                seems damaged; it was dropped with all chunks verified with
                it.
        """
        self._apply_manifest(self.chunk_store.manifest)
        report_task = asyncio.ensure_future(self._report())
        try:
            async with asyncio.TaskGroup() as self._group:
                missing = self.chunk_store.missing_indices
                for index in self.plan.fetch_order(missing):
                    self._assign(index)
        finally:
            report_task.cancel()

    def reassign(self):
        """Assign all queued chunks again after a change of the plan."""
        queued = set().union(*self._queues.values())
        for queue in self._queues.values():
            queue.clear()
        for index in self.plan.fetch_order(queued):
            self._tried[index].clear()
            self._assign(index)

    async def _report(self):
        """Log periodically which sources the transfer waits for.

        Otherwise a late version would only be logged at its end, and one that
        never completes not at all.
        """
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            # Fields by source: waits_for, its queued chunks; given, chunks
            # received from it; blamed, those with a queue that are excluded
            # after a failure.
            waits_for = {
                s: left for s, left in self._queue_lengths().items() if left
            }
            _log.info(
                'Waits for {} chunks of version {}.',
                len(self.chunk_store.missing_indices),
                self.chunk_store.version,
                waits_for=waits_for,
                given=dict(self._speeds.received),
                blamed=[s for s in waits_for if self._health.is_excluded(s)],
            )

    def _apply_manifest(self, manifest):
        """Set the limits that depend on the size of a copy."""
        size = manifest.size_bytes
        self.plan.set_chunk_count(len(manifest.chunks))
        self._speeds.start(self.copy_s(size))
        attempts = self.origin_copy_s(size) * FAILED_ATTEMPTS_PER_S
        self._min_attempts = MIN_FAILED_ATTEMPTS + round(attempts)

    def _assign(self, index):
        """Append a chunk to the queue of its best source not tried yet."""
        tried = self._tried.setdefault(index, set())
        usable = self._health.usable(self._sources_of(index))
        if _plan.ORIGIN in usable and not self._may_use_origin(index, usable):
            usable.remove(_plan.ORIGIN)
        source = next((s for s in usable if s not in tried), None)
        if index in self._in_wait_cycle:
            source = _plan.ORIGIN
        if source is None:
            # Restart with the best source. During an outage of the origin all
            # members wait for the owners; otherwise the origin would have to
            # send a copy to each of them afterwards.
            tried.clear()
            source = (usable or self._sources_of(index))[0]
        self.chunk_store.wait_graph.set_source(index, source)
        queue = self._queues.setdefault(source, [])
        queue.append(index)
        if source not in self._active_sources:
            self._active_sources.add(source)
            self._group.create_task(self._run_worker(source))

    def _sources_of(self, index):
        """Return the sources of a chunk without excluded members."""
        excluded = self._health.excluded_members()
        if self.chunk_store.is_upload_disabled:
            excluded.add(self.plan.local_member.name)
        self.plan.set_excluded(frozenset(excluded))
        return self.plan.sources(index)

    def _may_use_origin(self, index, usable):
        """Return whether this member may fetch a chunk from the origin.

        The number of failed attempts required grows with the number of usable
        members and is zero without one. If all members used the origin when
        the owner of a chunk fails, its link would carry the chunk once for
        each of them, and the entire transfer would be delayed.
        """
        if index in self._in_wait_cycle:
            return True
        members = sum(source != _plan.ORIGIN for source in usable)
        return self._failed_attempts[index] >= members * self._min_attempts

    async def _run_worker(self, source):
        """Fetch the queue of one source, then steal from longer queues."""
        queue = self._queues[source]
        try:
            await self._process_queue(source, queue)
            while self._may_steal(source) and not queue:
                await self._steal_chunk(source)
            if queue:
                await self._process_queue(source, queue)
        finally:
            self._active_sources.discard(source)
            # The origin accepts few connections; idle ones would block other
            # members.
            if source == _plan.ORIGIN:
                self.origin.release()

    async def _process_queue(self, source, queue):
        unsuccessful = 0
        while queue:
            self._raise_if_manifest_damaged()
            self._disable_upload_if_link_slow()
            if self._break_wait_cycles(source, queue):
                continue
            if source == _plan.ORIGIN and self._return_to_members(queue):
                continue
            outcome = await self._fetch_one(source, queue)
            if outcome is _Outcome.RECEIVED:
                unsuccessful = 0
                self._speeds.record_chunk(source)
                if self._speeds.is_slow(source, self._queue_lengths()):
                    await self._fail_over(source, queue, kept=1)
                continue
            unsuccessful += 1
            if self._health.is_excluded(source):
                await self._fail_over(source, queue)
            elif (
                unsuccessful >= MAX_UNSUCCESSFUL and outcome is _Outcome.FAILED
            ):
                await self._fail_over(source, queue)
            elif outcome is _Outcome.BUSY:
                self._reassign_from_busy(source, queue)

    def _queue_lengths(self):
        """Return the number of queued chunks by source."""
        return {source: len(queue) for source, queue in self._queues.items()}

    def _may_steal(self, source):
        """Return whether an idle source may steal from the queues of others.

        Only within the data centre: the link between data centres carries
        each chunk once.
        """
        if source == _plan.ORIGIN or self.plan.is_remote(source):
            return False
        if self.chunk_store.is_upload_disabled:
            # This instance's link is the bottleneck.
            return False
        return not self._health.is_excluded(source) and bool(
            self._longest_queue(source)
        )

    def _longest_queue(self, idle):
        """Return the longest queue of another source, [] if too short."""
        queues = [
            queue for source, queue in self._queues.items() if source != idle
        ]
        longest = max(queues, key=len, default=[])
        return longest if len(longest) >= MIN_STEALABLE else []

    async def _steal_chunk(self, source):
        """Request chunks from the end of the longest queue.

        A failover owner, or a member with a slow link, is slower than the
        rest, while other members may already have some of its chunks.
        """
        indices = self._longest_queue(source)[:0:-1]
        chunk_store = self.chunk_store
        try:
            received, data = await self.peers.chunk_if_idle(
                source, chunk_store.model, chunk_store.version, indices
            )
            chunk_store.put(received, data)
        except errors.SourceBusyError:
            await asyncio.sleep(STEAL_PAUSE_S)
            return
        except errors.TransferError as exc:
            self._health.record_failure(source, exc)
            return
        self._dequeue(received)
        self.byte_counter.add('peer', amount=len(data))
        await self.stage_chunk(received, data)

    def _dequeue(self, index):
        """Remove a received chunk; it may have been assigned elsewhere."""
        for queue in self._queues.values():
            if index in queue:
                queue.remove(index)

    async def _fail_over(self, source, queue, kept=0):
        """Reassign the queue of a failed or slow source.

        Args:
            source: name of the source.
            queue: its queue; shortened to `kept` chunks.
            kept: number of chunks that stay with it.
        """
        indices, queue[:] = queue[kept:], queue[:kept]
        if self._health.is_excluded(source):
            # Without a pause, a dead source that is the only one left would be
            # retried in a tight loop.
            await asyncio.sleep(RETRY_S)
        for index in indices:
            self._tried[index].add(source)
            self._assign(index)

    def _reassign_from_busy(self, source, queue):
        """Reassign the chunks that a fallback source does not have.

        Fallbacks in the same data centre often wait for this member. Chunks
        stay in the queue of their best source, which receives them first:
        during an outage of the origin, members would otherwise request chunks
        that no member has from each other, and still do so after it.
        """
        for index in list(queue):
            sources = self._sources_of(index)
            if source != sources[0] or self._may_use_origin(
                index, self._health.usable(sources)
            ):
                queue.remove(index)
                self._tried[index].add(source)
                self._assign(index)

    def _break_wait_cycles(self, source, queue):
        """Assign chunks in a wait cycle to the origin.

        Only the member with the lowest name does so; the others keep waiting.
        Returns whether there was such a chunk.
        """
        if source == _plan.ORIGIN:
            return False
        local_name, now = self.plan.local_member.name, self.clock()
        in_cycle = [
            index
            for index in queue
            if local_name
            == min(
                self.chunk_store.wait_graph.find_cycle(index, local_name, now),
                default='',
            )
        ]
        for index in in_cycle:
            queue.remove(index)
            self._in_wait_cycle.add(index)
            self._assign(index)
        if in_cycle:
            _log.info(
                'Assigned {} chunks of version {} of {} to the origin to '
                'break a wait cycle with {}.',
                len(in_cycle),
                self.chunk_store.version,
                self.chunk_store.model,
                source,
            )
        return bool(in_cycle)

    def _disable_upload_if_link_slow(self):
        """Stop serving this version if this instance's link is slow."""
        chunk_store = self.chunk_store
        if chunk_store.is_upload_disabled:
            return
        present_share = 1 - chunk_store.missing_share
        reported = [
            self.peers.reported_share(
                source, chunk_store.model, chunk_store.version
            )
            for source in self._queues
            if source != _plan.ORIGIN
        ]
        reported_shares = [s for s in reported if s is not None]
        if self._speeds.is_local_link_slow(present_share, reported_shares):
            # Field `has`: the present share of the version.
            _log.info(
                'Disabled uploads of version {} of {}; the link of this '
                'instance is too slow.',
                chunk_store.version,
                chunk_store.model,
                has=round(present_share, 3),
            )
            chunk_store.disable_upload()

    def _return_to_members(self, queue):
        """Reassign chunks from the origin to members that are usable again.

        An owner that restarted fetches its chunks itself. Returns whether
        there was such a chunk.
        """
        returned = [
            index
            for index in queue
            if not self._may_use_origin(
                index, self._health.usable(self._sources_of(index))
            )
        ]
        for index in returned:
            queue.remove(index)
            self._tried[index].clear()
            self._assign(index)
        return bool(returned)

    async def _fetch_one(self, source, queue):
        """Request one of the queued chunks; return the `_Outcome`."""
        if source == _plan.ORIGIN:
            indices = [queue.pop(0)]
        else:
            indices = list(queue)
        received = None
        try:
            received, data = await self._request_chunk(source, indices)
            self.chunk_store.put(received, data)
        except errors.SourceUnableError as exc:
            self._health.record_failure(source, exc)
            return _Outcome.FAILED
        except errors.SourceBusyError as exc:
            self._health.record_answer(source)
            self._failed_attempts.update(indices)
            for index, chain in exc.chains.items():
                self.chunk_store.wait_graph.extend_chain(index, source, chain)
            return _Outcome.BUSY
        except errors.CorruptChunkError as exc:
            self._corrupt_in_row += 1
            self._failed_attempts.update(indices)
            self._health.log_failure(source, exc)
            return _Outcome.FAILED
        except errors.TransferError as exc:
            if isinstance(exc, errors.VersionWithdrawnError):
                self.chunk_store.is_withdrawn = True
            self._health.record_failure(source, exc)
            return _Outcome.FAILED
        finally:
            if (
                source == _plan.ORIGIN
                and indices[0] not in self.chunk_store.chunks
            ):
                queue.append(indices[0])
        self._dequeue(received)
        self._health.record_success(source)
        self._corrupt_in_row = 0
        source_kind = 'origin' if source == _plan.ORIGIN else 'peer'
        self.byte_counter.add(source_kind, amount=len(data))
        await self.stage_chunk(received, data)
        return _Outcome.RECEIVED

    async def _request_chunk(self, source, indices):
        model, version = self.chunk_store.model, self.chunk_store.version
        if source == _plan.ORIGIN:
            data = await self.origin.chunk(model, version, indices[0])
            return indices[0], data
        # A member that fetches from another data centre relays the chunk
        # within its own.
        relay = self.plan.is_remote(source)
        return await self.peers.chunk(source, model, version, indices, relay)

    async def fetch_manifest(self):
        """Fetch the manifest unless it is present."""
        await _manifests.fetch(
            self.chunk_store, self.plan, self.peers, self.origin, self._health
        )

    def _raise_if_manifest_damaged(self):
        """Drop the manifest and all chunks if the manifest seems damaged.

        If it was damaged in transit, the chunks of all sources are rejected
        forever.

        Raises:
            errors.ManifestError: there were too many corrupt chunks in a row.
        """
        if self._corrupt_in_row < MAX_CORRUPT_IN_ROW:
            return
        self.chunk_store.clear()
        raise errors.ManifestError(
            f'{self._corrupt_in_row} consecutive chunks do not match the '
            'manifest; dropped it and all chunks',
            step='fetch chunk',
        )
