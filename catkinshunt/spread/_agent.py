"""Brings the engine of one sidecar to the version that is wanted."""

import asyncio
import math

import attrs

from catkinshunt import errors
from catkinshunt import logs
from catkinshunt.spread import _fetcher
from catkinshunt.spread import _chunk_store
from catkinshunt.spread import _loader
from catkinshunt.spread import _plan
from catkinshunt.spread import _progress
from catkinshunt.spread import _staging
from catkinshunt.spread import base

#: Pause between looks at the engine, in seconds, and while it is being
#: emptied or loads: it stands idle until its end is seen.
LOOK_S = 0.25
LOADING_LOOK_S = 0.05
#: Pause after a transfer that failed, in seconds. Without it one that cannot
#: begin, since the list of members cannot be read, is tried 20 times a second
#: by all members, for as long as the store is away.
AGAIN_S = 0.4
#: Seconds for which the manifest of a newer version is asked for before the
#: other one goes on without it, to be asked again at the next look.
ASK_S = 2.0
#: Time of one copy over the time that the link alone would need: heads,
#: checks and other traffic share it.
COPY_OVERHEAD = 1.2
#: Seconds for which a request may wait on its way here behind the chunks of a
#: transfer. It would begin on a version that is too old by then.
BUSY_LINK_S = 0.5

_log = logs.get_logger('agent')


@attrs.frozen
class TargetVersion:
    """A version that the engine should serve.

    Attributes:
        due_at: when requests need it, on the clock of the catalog.
    """

    model: str
    version: int
    due_at: float


class Agent:
    """Fetches wanted versions, gives them to peers, and orders loads.

    Args:
        me: `Member` of this sidecar.
        outlook: `BaseClusterView` on the operator's wishes and the members.
        engine: `base.BaseEngine`.
        origin: `base.BaseOrigin`.
        peers: `PeerClient`.
        shelf: `VersionStore`.
        clock: gives seconds on the steady clock.
        link_mbps: speed of the instance's link.
        counter: counts bytes by source.
        door: `places.BaseAdmission` that lets requests in to the engine.
    """

    def __init__(
        self, me, outlook, engine, origin, peers, version_store, clock, link_mbps,
        counter, door,
    ):  # fmt: skip
        self.me = me
        self.outlook = outlook
        self.engine = engine
        self.origin = origin
        self.peers = peers
        self.version_store = version_store
        self.clock = clock
        self.link_mbps = link_mbps
        self.counter = counter
        self.door = door
        self._transfer = None
        self._again_at = -math.inf
        self._asking = None
        self._fetching = None
        self._providing = set()
        self._progress = {}
        self._news = asyncio.Event()
        self._stage_turn = asyncio.Lock()
        self._loader = _loader.Loader(
            engine, outlook, door, clock, self._stage_turn
        )
        self._outage = logs.Outage(
            _log, 'The engine is lost: {}.', 'The engine is back.'
        )

    async def run(self):
        """Keep the engine at the wanted version until cancelled."""
        while True:
            try:
                await self._look()
            except errors.CatkinshuntError as exc:
                self._outage.begin(exc)
            except Exception:
                # An unforeseen error must not end the care for the engine;
                # it would keep an old version until requests are refused.
                _log.exception('Could not look after the engine.')
            await self._pause()

    async def _pause(self):
        """Wait until the next look, a new version, or a whole one."""
        named = asyncio.ensure_future(self.outlook.wait_for_version())
        news = asyncio.ensure_future(self._news.wait())
        try:
            await asyncio.wait(
                (named, news),
                timeout=LOADING_LOOK_S if self._loader.is_busy else LOOK_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            named.cancel()
            news.cancel()
            self._news.clear()

    def on_chunk_request(self, model, version):
        """Learn of a version from a peer that asks for it.

        A sidecar that is cut off from the store hears of new versions so.
        """
        self.outlook.note_version(model, version)
        chunk_store = self.version_store.find(model, version)
        if chunk_store is None and (model, version) not in self._providing:
            self._providing.add((model, version))
            asyncio.ensure_future(self._provide(model, version))

    async def _look(self):
        report = await self.engine.report()
        self._outage.end()
        self.door.reconcile(report.request_count)
        self._loader.note(report)
        self._expire(report)
        wanted = await self.outlook.target_version(report)
        if wanted is None:
            return
        if report.versions.get(wanted.model) == wanted.version:
            return
        if not self._holding_of(wanted).is_complete:
            self._fetch(wanted)
        await self._move(report, wanted)

    def _expire(self, report):
        """Let no request begin once the engine's version is too old."""
        times = [
            self.outlook.expires_at(model, version)
            for model, version in report.versions.items()
        ]
        expires_in_s = min(times, default=math.inf) - self.outlook.now()
        if self._is_fetching():
            expires_in_s -= BUSY_LINK_S
        self.door.set_expiry(expires_in_s)

    async def _move(self, report, wanted):
        """Bring the engine to the next version that it can have."""
        ready = self._newest_whole(report, wanted)
        newest = self._holding_of(wanted)
        if ready is None and self._fetching is not None:
            ready = self._holding_of(self._fetching)
        serves = report.versions.get(wanted.model, 0)
        if ready is None or ready.manifest is None or ready.version <= serves:
            return
        newer_s = math.inf
        if ready is not newest:
            newer_s = self._whole_in_s(newest)
        await self._loader.step(
            report, ready, self._whole_in_s(ready), newer_s
        )

    def _whole_in_s(self, chunk_store):
        """Return in how many seconds a version is likely to be whole."""
        if chunk_store.manifest is None:
            return math.inf
        if chunk_store.is_complete:
            return 0.0
        # Engines are emptied by this time. One source with a narrow link can
        # hold up the last chunks for seconds, and nobody serves meanwhile.
        progress = self._progress.setdefault(
            (chunk_store.model, chunk_store.version), _progress.Progress()
        )
        now = self.clock()
        progress.see(chunk_store.left_share, now)
        copy_s = self._copy_s(chunk_store.manifest.size_bytes)
        return max(chunk_store.left_share * copy_s, progress.end_in_s(now))

    def _newest_whole(self, report, wanted):
        """Return the newest whole `ChunkStore` that the engine lacks, or None.

        A version that was named before the wanted one counts too: requests
        may need it before the wanted one has come.
        """
        serves = report.versions.get(wanted.model, 0)
        whole = [
            chunk_store
            for chunk_store in self.version_store.of(wanted.model)
            if chunk_store.is_complete
            and serves < chunk_store.version <= wanted.version
        ]
        return max(whole, key=lambda h: h.version, default=None)

    # Transfers.

    def _is_fetching(self):
        return self._transfer is not None and not self._transfer.done()

    def _fetch(self, wanted):
        """Begin the transfer of `target_version` unless another one goes first."""
        if self._is_fetching():
            if self._fetching.version == wanted.version:
                return
            if self._finishes_first(wanted) or not self._can_be_had(wanted):
                return
            _log.info(
                'Dropped version {} for version {}.',
                self._fetching.version,
                wanted.version,
                left_share=self._holding_of(self._fetching).left_share,
            )
            self._transfer.cancel()
        elif self.clock() < self._again_at:
            return
        self._fetching = wanted
        self._forget_progress()
        self._transfer = asyncio.ensure_future(self._run_transfer(wanted))

    def _can_be_had(self, newer):
        """Return whether a source gives the newer version.

        The origin may be away. Dropped for a version that cannot be had, the
        older one is missing too when it is due, and nobody serves until the
        origin is back and the newer one has come: eight seconds instead of
        three.
        """
        if self._holding_of(newer).manifest is not None:
            return True
        if self._asking is None or self._asking.done():
            self._asking = asyncio.ensure_future(self._ask_for(newer))
        return False

    async def _ask_for(self, newer):
        """Fetch the manifest of a version while another is on its way."""
        try:
            plan = await self._plan(newer.model, newer.version)
            fetcher = self._fetcher(self._holding_of(newer), plan)
            async with asyncio.timeout(ASK_S):
                await fetcher.fetch_manifest()
            self._news.set()
        except (errors.CatkinshuntError, TimeoutError) as exc:
            _log.warning(
                'Version {} cannot be had yet: {!r}.', newer.version, exc
            )

    def _forget_progress(self):
        """Drop the progress of versions that are not kept any more."""
        kept = {
            (chunk_store.model, chunk_store.version)
            for chunk_store in self.version_store.of(self._fetching.model)
        }
        for key in set(self._progress) - kept:
            del self._progress[key]

    def _holding_of(self, wanted):
        return self.version_store.chunk_store(wanted.model, wanted.version)

    def _finishes_first(self, newer):
        older = self._fetching
        chunk_store = self._holding_of(older)
        if chunk_store.manifest is None:
            return False
        now = self.outlook.now()
        return _plan.finish_older_first(
            chunk_store.left_share,
            self._copy_s(chunk_store.manifest.size_bytes),
            _loader.LOAD_S,
            older.due_at - now,
            newer.due_at - now,
        )

    def _copy_s(self, size):
        return size / (self.link_mbps * base.BYTES_PER_MBIT) * COPY_OVERHEAD

    async def _run_transfer(self, wanted):
        chunk_store = self._holding_of(wanted)
        chunk_store.begin()
        try:
            await self._bring(wanted, chunk_store)
            return
        except errors.CatkinshuntError as exc:
            _log.warning('A transfer failed: {}.', exc, version=wanted.version)
        except ExceptionGroup as group:
            _log.warning(
                'A transfer failed: {!r}.',
                group.exceptions[0],
                version=wanted.version,
            )
        except Exception:
            _log.exception('A transfer failed.')
        finally:
            chunk_store.end()
        self._again_at = self.clock() + AGAIN_S

    async def _bring(self, wanted, chunk_store):
        """Fetch a version until it is whole."""
        began = self.clock()
        plan = await self._plan(wanted.model, wanted.version)
        fetcher = self._fetcher(chunk_store, plan)
        await fetcher.fetch_manifest()
        self._loader.set_wave(wanted.version, plan.wave(_loader.WAVES))
        # After a restart most chunks may lie beside the engine already.
        restored = await _staging.restore_staged(chunk_store, self.engine)
        await fetcher.run()
        self._news.set()
        _log.info(
            'Version {} of {} is whole.',
            wanted.version,
            wanted.model,
            took_s=round(self.clock() - began, 3),
            restored=restored,
        )

    async def _plan(self, model, version):
        members, connections = await asyncio.gather(
            self.outlook.members(), self.outlook.origin_connections()
        )
        return _plan.SourcePlan(
            self.me,
            members,
            self.outlook.regions,
            model,
            version,
            connections=connections or _plan.UNKNOWN_CONNECTIONS,
        )

    def _fetcher(self, chunk_store, plan):
        async def keep(index, data):
            async with self._stage_turn:
                await self.engine.put_chunk(chunk_store.model, index, data)

        return _fetcher.Fetcher(
            chunk_store,
            plan,
            self.peers,
            self.origin,
            self.clock,
            keep,
            self.counter,
            self._copy_s,
            self.outlook.origin_copy_s,
        )

    # Giving to peers what the engine has.

    async def _provide(self, model, version):
        """Put what is staged beside the engine within reach of peers."""
        try:
            report = await self.engine.report()
            if report.versions.get(model) != version:
                return
            plan = await self._plan(model, version)
            chunk_store = _chunk_store.ChunkStore(model, version)
            await self._fetcher(chunk_store, plan).fetch_manifest()
            taken = await _staging.restore_staged(chunk_store, self.engine)
            self.version_store.add(chunk_store)
            _log.info('Gives version {} of {}.', version, model, chunks=taken)
        except errors.CatkinshuntError as exc:
            _log.warning('Cannot give version {}: {}.', version, exc)
        finally:
            self._providing.discard((model, version))
