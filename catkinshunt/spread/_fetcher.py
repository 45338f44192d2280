"""Fetches all chunks of one version."""

import asyncio
import collections
import enum
import math

from catkinshunt import errors
from catkinshunt import logs
from catkinshunt.spread import _source_health
from catkinshunt.spread import _manifests
from catkinshunt.spread import _plan
from catkinshunt.spread import _source_speeds

#: Times that a source without the chunk is asked, each for a second, before
#: its chunks are taken from the next member.
PATIENCE = 2
#: Times that a chunk is asked for in vain before a member turns to the origin
#: for it: at least, and for each second in which the origin can give one copy;
#: both for each member that stands before it. Owners that share a slow origin
#: have nothing for a while; asked twice only, all would turn to the origin at
#: once.
LEAST_VAIN = 2
VAIN_PER_S = 1.0
#: Chunks that must wait at a busy source before an idle one is asked for the
#: last of them; the busy one is about to give the first.
LEAST_RELIEVED = 2
#: Pause after an idle source had none of them, in seconds.
RELIEF_PAUSE_S = 0.5
#: Pause after all sources of a chunk failed, in seconds.
RETRY_S = 0.2
#: Seconds between two log lines on what a transfer waits for.
REPORT_S = 1.0
#: Chunks in a row that differ from the manifest before it is taken as
#: damaged; sources that send one bad chunk in ten never reach it.
MOST_CORRUPT = 8

_log = logs.get_logger('transfer')


class _Outcome(enum.Enum):
    """What came of asking a source."""

    GIVEN = 'given'
    NOT_THERE = 'not there yet'
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
        self, chunk_store, plan, peers, origin, clock, keep, counter,
        copy_s=lambda size: math.inf, origin_copy_s=lambda size: 0.0,
    ):  # fmt: skip
        self.chunk_store = chunk_store
        self.plan = plan
        self.peers = peers
        self.origin = origin
        self.clock = clock
        self.keep = keep
        self.counter = counter
        self.copy_s = copy_s
        self.origin_copy_s = origin_copy_s
        self._health = _source_health.SourceHealth(chunk_store, clock)
        self._speeds = _source_speeds.Speeds(clock)
        self._most_vain = LEAST_VAIN
        self._corrupt_in_row = 0
        self._asked = {}
        self._working = set()
        self._looped = set()
        self._tried = {}
        self._vain = collections.Counter()
        self._group = None

    async def run(self):
        """Fetch what is missing; returns when all of it is here.

        Raises:
            errors.ManifestError: no chunk fits the manifest any more; it
                was dropped with what it had let in.
        """
        self._judge_by(self.chunk_store.manifest)
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
            await asyncio.sleep(REPORT_S)
            waits_for = {s: left for s, left in self._left().items() if left}
            _log.info(
                'Waits for {} chunks of version {}.',
                len(self.chunk_store.missing),
                self.chunk_store.version,
                waits_for=waits_for,
                given=dict(self._speeds.given),
                blamed=[s for s in waits_for if self._health.is_away(s)],
            )

    def _judge_by(self, manifest):
        """Take over what the manifest says of the size of a copy."""
        size = manifest.size_bytes
        self.plan.describe(len(manifest.chunks))
        self._speeds.begin(self.copy_s(size))
        vain = self.origin_copy_s(size) * VAIN_PER_S
        self._most_vain = LEAST_VAIN + round(vain)

    def _assign(self, index):
        """Give a chunk to the worker of its best source."""
        tried = self._tried.setdefault(index, set())
        usable = self._health.usable(self._sources_of(index))
        if _plan.ORIGIN in usable and not self._may_ask_origin(index, usable):
            usable.remove(_plan.ORIGIN)
        source = next((s for s in usable if s not in tried), None)
        if index in self._looped:
            source = _plan.ORIGIN
        if source is None:
            # Begin again with the best one. While the origin is down all
            # wait for the owners; if each turned to the origin instead, it
            # would send a copy to each when it is back.
            tried.clear()
            source = (usable or self._sources_of(index))[0]
        self.chunk_store.waits.ask(index, source)
        asked = self._asked.setdefault(source, [])
        asked.append(index)
        if source not in self._working:
            self._working.add(source)
            self._group.create_task(self._work(source))

    def _sources_of(self, index):
        """Return the sources of a chunk among those that can be reached."""
        away = self._health.members_away()
        if self.chunk_store.is_slow:
            away.add(self.plan.me.name)
        self.plan.leave_out(frozenset(away))
        return self.plan.sources(index)

    def _may_ask_origin(self, index, usable):
        """Return whether this member takes a chunk from the origin itself.

        At once where nobody is left who stands before it. Else the later, the
        more members there are to ask: were all to turn to the origin when the
        owner of a chunk dies, its link would carry the chunk for each of
        them, and the whole transfer would wait for it.
        """
        if index in self._looped:
            return True
        members = sum(source != _plan.ORIGIN for source in usable)
        return self._vain[index] >= members * self._most_vain

    async def _work(self, source):
        """Ask one source for its chunks until none is left to it."""
        asked = self._asked[source]
        try:
            await self._ask_all(source, asked)
            while self._may_relieve(source) and not asked:
                await self._relieve(source)
            if asked:
                await self._ask_all(source, asked)
        finally:
            self._working.discard(source)
            # The origin takes few connections; one that lies idle here
            # would be missing elsewhere.
            if source == _plan.ORIGIN:
                self.origin.release()

    async def _ask_all(self, source, asked):
        strikes = 0
        while asked:
            self._check_manifest()
            self._judge_own_link()
            if self._break_loops(source, asked):
                continue
            if source == _plan.ORIGIN and self._recall(asked):
                continue
            outcome = await self._ask_one(source, asked)
            if outcome is _Outcome.GIVEN:
                strikes = 0
                self._speeds.note(source)
                if self._speeds.is_slow(source, self._left()):
                    await self._hand_over(source, asked, kept=1)
                continue
            strikes += 1
            if self._health.is_away(source):
                await self._hand_over(source, asked)
            elif strikes >= PATIENCE and outcome is _Outcome.FAILED:
                await self._hand_over(source, asked)
            elif outcome is _Outcome.NOT_THERE:
                self._hand_back(source, asked)

    def _left(self):
        """Return how many chunks are left to each source."""
        return {source: len(asked) for source, asked in self._asked.items()}

    def _may_relieve(self, source):
        """Return whether an idle source may give what busy ones are to give.

        Only nearby: the way between data centres is for what enters them.
        """
        if source == _plan.ORIGIN or self.plan.is_far(source):
            return False
        if self.chunk_store.is_slow:
            # The own link is what all wait for.
            return False
        return not self._health.is_away(source) and bool(self._busiest(source))

    def _busiest(self, idle):
        """Return the longest list of chunks that waits at another source."""
        lists = [
            asked for source, asked in self._asked.items() if source != idle
        ]
        longest = max(lists, key=len, default=[])
        return longest if len(longest) >= LEAST_RELIEVED else []

    async def _relieve(self, source):
        """Ask an idle source for the last chunks that wait at a busy one.

        A member that stands in for others, or whose link is narrow, has more
        to give than the rest. What it has given to some is there elsewhere.
        """
        names = self._busiest(source)[:0:-1]
        chunk_store = self.chunk_store
        try:
            got, data = await self.peers.spare_chunk(
                source, chunk_store.model, chunk_store.version, names
            )
            chunk_store.put(got, data)
        except errors.SourceBusyError:
            await asyncio.sleep(RELIEF_PAUSE_S)
            return
        except errors.TransferError as exc:
            self._health.blame(source, exc)
            return
        for asked in self._asked.values():
            if got in asked:
                asked.remove(got)
        self.counter.add('peer', amount=len(data))
        await self.keep(got, data)

    async def _hand_over(self, source, asked, kept=0):
        """Give chunks of a source that fails or lags to their next sources.

        Args:
            source: the source.
            asked: what is left to it; shortened to `kept` chunks.
            kept: chunks that stay with it.
        """
        indices, asked[:] = asked[kept:], asked[:kept]
        if self._health.is_away(source):
            # Where no source is left, a dead one is not asked in a tight loop.
            await asyncio.sleep(RETRY_S)
        for index in indices:
            self._tried[index].add(source)
            self._assign(index)

    def _hand_back(self, source, asked):
        """Give chunks that a fallback lacks to their next sources.

        A member nearby waits for this one itself. The best source is the
        first to have a chunk, so its own stay with it: while the origin is
        away, members would otherwise ask each other for what nobody has, and
        ask the wrong ones when it is back.
        """
        for index in list(asked):
            sources = self._sources_of(index)
            if source != sources[0] or self._may_ask_origin(
                index, self._health.usable(sources)
            ):
                asked.remove(index)
                self._tried[index].add(source)
                self._assign(index)

    def _break_loops(self, source, asked):
        """Take from the origin what members wait for from each other.

        One of them does so, the others go on waiting. Returns whether there
        was such a chunk.
        """
        if source == _plan.ORIGIN:
            return False
        me, now = self.plan.me.name, self.clock()
        looped = [
            index
            for index in asked
            if me
            == min(self.chunk_store.waits.loop(index, me, now), default='')
        ]
        for index in looped:
            asked.remove(index)
            self._looped.add(index)
            self._assign(index)
        if looped:
            _log.info(
                'Takes {} chunks of version {} from the origin; {} waits '
                'for this member too.',
                len(looped),
                self.chunk_store.version,
                source,
            )
        return bool(looped)

    def _judge_own_link(self):
        """Give nothing of this version where far less comes here."""
        chunk_store = self.chunk_store
        if chunk_store.is_slow:
            return
        share = 1 - chunk_store.left_share
        told = [
            self.peers.share(source, chunk_store.model, chunk_store.version)
            for source in self._asked
            if source != _plan.ORIGIN
        ]
        shares = [share for share in told if share is not None]
        if self._speeds.is_own_link_narrow(share, shares):
            _log.info(
                'Gives nothing of version {}; its link is too narrow.',
                chunk_store.version,
                has=round(share, 3),
            )
            chunk_store.give_nothing()

    def _recall(self, asked):
        """Give chunks back to members that can be reached again.

        Whoever stands before this one and has died and started again fetches
        them itself. Returns whether there was such a chunk.
        """
        recalled = [
            index
            for index in asked
            if not self._may_ask_origin(
                index, self._health.usable(self._sources_of(index))
            )
        ]
        for index in recalled:
            asked.remove(index)
            self._tried[index].clear()
            self._assign(index)
        return bool(recalled)

    async def _ask_one(self, source, asked):
        """Ask for one of the chunks; return the `_Outcome`."""
        if source == _plan.ORIGIN:
            names = [asked.pop(0)]
        else:
            names = list(asked)
        got = None
        try:
            got, data = await self._ask(source, names)
            self.chunk_store.put(got, data)
        except errors.SourceUnableError as exc:
            self._health.blame(source, exc)
            return _Outcome.FAILED
        except errors.SourceBusyError as exc:
            self._health.note_answer(source)
            self._vain.update(names)
            for index, chain in exc.chains.items():
                self.chunk_store.waits.hear(index, source, chain)
            return _Outcome.NOT_THERE
        except errors.CorruptChunkError as exc:
            self._corrupt_in_row += 1
            self._vain.update(names)
            self._health.warn(source, exc)
            return _Outcome.FAILED
        except errors.TransferError as exc:
            self._health.blame(source, exc)
            return _Outcome.FAILED
        finally:
            if (
                source == _plan.ORIGIN
                and names[0] not in self.chunk_store.chunks
            ):
                asked.append(names[0])
        if got in asked:
            asked.remove(got)
        self._health.praise(source)
        self._corrupt_in_row = 0
        way = 'origin' if source == _plan.ORIGIN else 'peer'
        self.counter.add(way, amount=len(data))
        await self.keep(got, data)
        return _Outcome.GIVEN

    async def _ask(self, source, names):
        model, version = self.chunk_store.model, self.chunk_store.version
        if source == _plan.ORIGIN:
            data = await self.origin.chunk(model, version, names[0])
            return names[0], data
        relays = self.plan.is_far(source)
        return await self.peers.chunk(source, model, version, names, relays)

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
        if self._corrupt_in_row < MOST_CORRUPT:
            return
        self.chunk_store.forget()
        raise errors.ManifestError(
            f'{self._corrupt_in_row} chunks in a row differ from it',
            step='fetch chunk',
        )
