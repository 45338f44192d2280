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

#: Times that a source without the chunk is asked, each for a second, before
#: its chunks are taken from the next member.
MAX_UNSUCCESSFUL = 2
#: Times that a chunk is asked for in vain before a member turns to the origin
#: for it: at least, and for each second in which the origin can give one copy;
#: both for each member that stands before it. Owners that share a slow origin
#: have nothing for a while; asked twice only, all would turn to the origin at
#: once.
MIN_FAILED_ATTEMPTS = 2
FAILED_ATTEMPTS_PER_S = 1.0
#: Chunks that must wait at a busy source before an idle one is asked for the
#: last of them; the busy one is about to give the first.
MIN_STEALABLE = 2
#: Pause after an idle source had none of them, in seconds.
STEAL_PAUSE_S = 0.5
#: Pause after all sources of a chunk failed, in seconds.
RETRY_S = 0.2
#: Seconds between two log lines on what a transfer waits for.
REPORT_INTERVAL_S = 1.0
#: Chunks in a row that differ from the manifest before it is taken as
#: damaged; sources that send one bad chunk in ten never reach it.
MAX_CORRUPT_IN_ROW = 8

_log = logs.get_logger('transfer')


class _Outcome(enum.Enum):
    """What came of asking a source."""

    RECEIVED = 'given'
    UNAVAILABLE = 'not there yet'
    FAILED = 'failed'


class Fetcher:
    """Fills one `ChunkStore` from the sources of a `SourcePlan`.

    Args:
        holding: what is filled.
        plan: `SourcePlan`.
        peers: `PeerClient`.
        origin: `base.BaseOrigin`.
        clock: gives seconds on the steady clock.
        keep: coroutine function of (index, data) that stages a chunk.
        counter: counts bytes by source.
        copy_s: function of the bytes of a copy that returns the seconds
            which it takes.
        origin_copy_s: the same for the origin.
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
        self._max_attempts = MIN_FAILED_ATTEMPTS
        self._corrupt_in_row = 0
        self._queues = {}
        self._active_sources = set()
        self._in_wait_cycle = set()
        self._tried = {}
        self._failed_attempts = collections.Counter()
        self._group = None

    async def run(self):
        """Fetch what is missing; returns when all of it is here.

        Raises:
            errors.ManifestError: no chunk fits the manifest any more; it
                was dropped with what it had let in.
        """
        self._apply_manifest(self.chunk_store.manifest)
        reports = asyncio.ensure_future(self._report())
        try:
            async with asyncio.TaskGroup() as self._group:
                for index in self.chunk_store.missing:
                    self._assign(index)
        finally:
            reports.cancel()

    async def _report(self):
        """Write now and then which sources the transfer waits for.

        A version that comes late is otherwise told by its end alone, and one
        that never comes by nothing.
        """
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            waits_for = {
                s: left for s, left in self._queue_lengths().items() if left
            }
            _log.info(
                'Waits for {} chunks of version {}.',
                len(self.chunk_store.missing),
                self.chunk_store.version,
                waits_for=waits_for,
                given=dict(self._speeds.received),
                blamed=[s for s in waits_for if self._health.is_excluded(s)],
            )

    def _apply_manifest(self, manifest):
        """Take over what the manifest says of the size of a copy."""
        size = manifest.size_bytes
        self.plan.set_chunk_count(len(manifest.chunks))
        self._speeds.start(self.copy_s(size))
        attempts = self.origin_copy_s(size) * FAILED_ATTEMPTS_PER_S
        self._max_attempts = MIN_FAILED_ATTEMPTS + round(attempts)

    def _assign(self, index):
        """Give a chunk to the worker of its best source."""
        tried = self._tried.setdefault(index, set())
        usable = self._health.usable(self._sources_of(index))
        if _plan.ORIGIN in usable and not self._may_use_origin(index, usable):
            usable.remove(_plan.ORIGIN)
        source = next((s for s in usable if s not in tried), None)
        if index in self._in_wait_cycle:
            source = _plan.ORIGIN
        if source is None:
            # Begin again with the best one. While the origin is down all
            # wait for the owners; if each turned to the origin instead, it
            # would send a copy to each when it is back.
            tried.clear()
            source = (usable or self._sources_of(index))[0]
        self.chunk_store.wait_graph.set_source(index, source)
        queue = self._queues.setdefault(source, [])
        queue.append(index)
        if source not in self._active_sources:
            self._active_sources.add(source)
            self._group.create_task(self._run_worker(source))

    def _sources_of(self, index):
        """Return the sources of a chunk among those that can be reached."""
        excluded = self._health.excluded_members()
        if self.chunk_store.is_upload_disabled:
            excluded.add(self.plan.local_member.name)
        self.plan.set_excluded(frozenset(excluded))
        return self.plan.sources(index)

    def _may_use_origin(self, index, usable):
        """Return whether this member takes a chunk from the origin itself.

        At once where nobody is left who stands before it. Else the later, the
        more members there are to ask: were all to turn to the origin when the
        owner of a chunk dies, its link would carry the chunk for each of
        them, and the whole transfer would wait for it.
        """
        if index in self._in_wait_cycle:
            return True
        members = sum(source != _plan.ORIGIN for source in usable)
        return self._failed_attempts[index] >= members * self._max_attempts

    async def _run_worker(self, source):
        """Ask one source for its chunks until none is left to it."""
        queue = self._queues[source]
        try:
            await self._process_queue(source, queue)
            while self._may_steal(source) and not queue:
                await self._steal_chunk(source)
            if queue:
                await self._process_queue(source, queue)
        finally:
            self._active_sources.discard(source)
            # The origin takes few connections; one that lies idle here
            # would be missing elsewhere.
            if source == _plan.ORIGIN:
                self.origin.release()

    async def _process_queue(self, source, queue):
        failures = 0
        while queue:
            self._check_manifest()
            self._check_own_link()
            if self._break_wait_cycles(source, queue):
                continue
            if source == _plan.ORIGIN and self._return_to_members(queue):
                continue
            outcome = await self._fetch_one(source, queue)
            if outcome is _Outcome.RECEIVED:
                failures = 0
                self._speeds.record_chunk(source)
                if self._speeds.is_slow(source, self._queue_lengths()):
                    await self._fail_over(source, queue, kept=1)
                continue
            failures += 1
            if self._health.is_excluded(source):
                await self._fail_over(source, queue)
            elif failures >= MAX_UNSUCCESSFUL and outcome is _Outcome.FAILED:
                await self._fail_over(source, queue)
            elif outcome is _Outcome.UNAVAILABLE:
                self._reassign_unavailable(source, queue)

    def _queue_lengths(self):
        """Return how many chunks are left to each source."""
        return {source: len(queue) for source, queue in self._queues.items()}

    def _may_steal(self, source):
        """Return whether an idle source may give what busy ones are to give.

        Only nearby: the way between data centres is for what enters them.
        """
        if source == _plan.ORIGIN or self.plan.is_remote(source):
            return False
        if self.chunk_store.is_upload_disabled:
            # The own link is what all wait for.
            return False
        return not self._health.is_excluded(source) and bool(
            self._longest_queue(source)
        )

    def _longest_queue(self, idle):
        """Return the longest list of chunks that waits at another source."""
        lists = [
            queue for source, queue in self._queues.items() if source != idle
        ]
        longest = max(lists, key=len, default=[])
        return longest if len(longest) >= MIN_STEALABLE else []

    async def _steal_chunk(self, source):
        """Ask an idle source for the last chunks that wait at a busy one.

        A member that stands in for others, or whose link is narrow, has more
        to give than the rest. What it has given to some is there elsewhere.
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
        for queue in self._queues.values():
            if received in queue:
                queue.remove(received)
        self.byte_counter.add('peer', amount=len(data))
        await self.stage_chunk(received, data)

    async def _fail_over(self, source, queue, kept=0):
        """Give chunks of a source that fails or lags to their next sources.

        Args:
            source: the source.
            asked: what is left to it; shortened to `kept` chunks.
            kept: chunks that stay with it.
        """
        indices, queue[:] = queue[kept:], queue[:kept]
        if self._health.is_excluded(source):
            # Where no source is left, a dead one is not asked in a tight loop.
            await asyncio.sleep(RETRY_S)
        for index in indices:
            self._tried[index].add(source)
            self._assign(index)

    def _reassign_unavailable(self, source, queue):
        """Give chunks that a fallback lacks to their next sources.

        A member nearby waits for this one itself. The best source is the
        first to have a chunk, so its own stay with it: while the origin is
        away, members would otherwise ask each other for what nobody has, and
        ask the wrong ones when it is back.
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
        """Take from the origin what members wait for from each other.

        One of them does so, the others go on waiting. Returns whether there
        was such a chunk.
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
                'Takes {} chunks of version {} from the origin; {} waits '
                'for this member too.',
                len(in_cycle),
                self.chunk_store.version,
                source,
            )
        return bool(in_cycle)

    def _check_own_link(self):
        """Give nothing of this version where far less comes here."""
        chunk_store = self.chunk_store
        if chunk_store.is_upload_disabled:
            return
        share = 1 - chunk_store.missing_share
        told = [
            self.peers.reported_share(
                source, chunk_store.model, chunk_store.version
            )
            for source in self._queues
            if source != _plan.ORIGIN
        ]
        shares = [share for share in told if share is not None]
        if self._speeds.is_own_link_narrow(share, shares):
            _log.info(
                'Gives nothing of version {}; its link is too narrow.',
                chunk_store.version,
                has=round(share, 3),
            )
            chunk_store.disable_upload()

    def _return_to_members(self, queue):
        """Give chunks back to members that can be reached again.

        Whoever stands before this one and has died and started again fetches
        them itself. Returns whether there was such a chunk.
        """
        recalled = [
            index
            for index in queue
            if not self._may_use_origin(
                index, self._health.usable(self._sources_of(index))
            )
        ]
        for index in recalled:
            queue.remove(index)
            self._tried[index].clear()
            self._assign(index)
        return bool(recalled)

    async def _fetch_one(self, source, queue):
        """Ask for one of the chunks; return the `_Outcome`."""
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
            return _Outcome.UNAVAILABLE
        except errors.CorruptChunkError as exc:
            self._corrupt_in_row += 1
            self._failed_attempts.update(indices)
            self._health.log_failure(source, exc)
            return _Outcome.FAILED
        except errors.TransferError as exc:
            self._health.record_failure(source, exc)
            return _Outcome.FAILED
        finally:
            if (
                source == _plan.ORIGIN
                and indices[0] not in self.chunk_store.chunks
            ):
                queue.append(indices[0])
        if received in queue:
            queue.remove(received)
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
        relay = self.plan.is_remote(source)
        return await self.peers.chunk(source, model, version, indices, relay)

    async def fetch_manifest(self):
        """Fetch the manifest unless it is here."""
        await _manifests.fetch(
            self.chunk_store, self.plan, self.peers, self.origin, self._health
        )

    def _check_manifest(self):
        """Drop the manifest where all sources differ from it.

        The manifest itself may have been damaged on its way; one notices
        it by chunks of all sources being refused, for ever.
        """
        if self._corrupt_in_row < MAX_CORRUPT_IN_ROW:
            return
        self.chunk_store.clear()
        raise errors.ManifestError(
            f'{self._corrupt_in_row} chunks in a row differ from it',
            step='fetch chunk',
        )
