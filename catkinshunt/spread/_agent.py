"""Reconciles the engine of one sidecar with its target version."""

import asyncio
import math

from catkinshunt import errors
from catkinshunt import logs
from catkinshunt.spread import _chunk_store
from catkinshunt.spread import _fetcher
from catkinshunt.spread import _loader
from catkinshunt.spread import _origin_query
from catkinshunt.spread import _plan
from catkinshunt.spread import _plan_updater
from catkinshunt.spread import _progress
from catkinshunt.spread import _serving_state
from catkinshunt.spread import _staging
from catkinshunt.spread import base

#: Polling interval of the engine, and while it drains or loads: the engine
#: stays idle until the end of the load is detected.
POLL_S = 0.25
LOADING_POLL_S = 0.05
#: Pause after a failed transfer. Without it, all members retry a transfer
#: that cannot start 20 times a second during an outage of the store.
RETRY_S = 0.4
#: Time limit of one probe for the manifest of a newer version, during another
#: transfer, or of the loaded one. The next poll or request starts another.
MANIFEST_TIMEOUT_S = 2.0
#: Turns in a row that may end in an unexpected error. Then the transfer and
#: all versions are dropped, as their state may be the cause.
MAX_FAILED_TURNS = 5
#: Transfer time of a copy relative to that at full link speed: headers,
#: verification and other traffic add to it.
COPY_OVERHEAD = 1.2
#: Time for which a request may be queued on the link behind chunks. Without
#: this margin it would start on an expired version.
LINK_QUEUE_S = 0.5

_log = logs.get_logger('agent')


class Agent:
    """Fetches target versions, serves them to peers and orders loads.

    Args:
        local_member: `Member` of this sidecar.
        cluster_view: `BaseClusterView`.
        engine: `base.BaseEngine`.
        origin: `base.BaseOrigin`.
        peers: `PeerClient`.
        version_store: `VersionStore`.
        clock: returns seconds on the monotonic clock.
        link_mbps: speed of the instance's link.
        byte_counter: counts bytes by source: received from a 'peer' or the
            'origin'.
        admission: `permits.BasePermitAdmission` of the engine.

    Attributes:
        failed_turns: turns in a row that ended in an unexpected error.
        serving_state: `ServingState` of the engine.
    """

    def __init__(
        self, local_member, cluster_view, engine, origin, peers,
        version_store, clock, link_mbps, byte_counter, admission,
    ):  # fmt: skip
        self.local_member = local_member
        self.cluster_view = cluster_view
        self.engine = engine
        self.origin = origin
        self.peers = peers
        self.version_store = version_store
        self.clock = clock
        self.link_mbps = link_mbps
        self.byte_counter = byte_counter
        self.admission = admission
        self.failed_turns = 0
        self.serving_state = _serving_state.ServingState()
        self._expires_in_s = math.inf
        self._transfer = None
        self._retry_at = -math.inf
        self._manifest_probe = None
        self._transfer_target = None
        self._transfer_store = None
        self._starting_to_serve = set()
        self._progress = {}
        self._is_leaving = False
        self._wakeup = asyncio.Event()
        self._staging_lock = asyncio.Lock()
        self._loader = self._make_loader()
        self._origin_query = _origin_query.OriginQuery(
            origin, cluster_view, version_store, clock, self._wakeup.set
        )
        # A failure may also be one of the cluster view; its end is logged as
        # soon as the engine reports.
        self._outage = logs.OutageLogger(
            _log, 'Reconciling the engine failed: {}.', 'Engine reports again.'
        )

    async def run(self):
        """Keep the engine at its target version until cancelled."""
        while True:
            try:
                await self._reconcile()
                self.failed_turns = 0
            except errors.CatkinshuntError as exc:
                self._outage.begin(exc)
            except Exception:
                # If the loop ended, the engine would keep an old version
                # until its requests are rejected.
                self.failed_turns += 1
                _log.exception(
                    'Unexpected error in the agent loop, {} in a row.',
                    self.failed_turns,
                )
                if self.failed_turns % MAX_FAILED_TURNS == 0:
                    self._start_afresh()
            await self._pause()

    def _make_loader(self):
        return _loader.Loader(
            self.engine,
            self.cluster_view,
            self.admission,
            self.clock,
            self._staging_lock,
        )

    def _start_afresh(self):
        """Drop the state of all versions but what the engine has damaged."""
        _log.error('Dropped all versions after unexpected errors.')
        if self._is_transferring():
            self._cancel_transfer()
        if self._manifest_probe is not None:
            self._manifest_probe.cancel()
        self._transfer = None
        self._transfer_target = None
        self._transfer_store = None
        self._manifest_probe = None
        self._progress.clear()
        self.version_store.clear()
        damaged_versions = self._loader.damaged_versions
        self._loader = self._make_loader()
        self._loader.damaged_versions.update(damaged_versions)

    async def _pause(self):
        """Wait for the next poll, a new version or a completed transfer."""
        announced = asyncio.ensure_future(self.cluster_view.wait_for_version())
        wakeup = asyncio.ensure_future(self._wakeup.wait())
        try:
            await asyncio.wait(
                (announced, wakeup),
                timeout=LOADING_POLL_S
                if self._loader.is_load_near
                else POLL_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            announced.cancel()
            wakeup.cancel()
            self._wakeup.clear()

    def is_ready(self):
        """Return whether the agent keeps its engine at the target version."""
        return self.failed_turns < MAX_FAILED_TURNS

    def load_order_ages(self):
        """Return the age of the comparison by (model,), metric labels.

        It is the time in seconds from the comparison of the staged chunks
        until the engine was known to have accepted the last load order.
        """
        ages = self._loader.order_ages_s
        return {(model,): age_s for model, age_s in ages.items()}

    def damaged_versions(self):
        """Return versions with damaged chunks by (model,), metric labels."""
        versions = self._loader.damaged_versions
        return {(model,): version for model, version in versions.items()}

    def on_chunk_request(self, model, version):
        """Record the version that a peer requested, and serve it if loaded.

        A sidecar without access to the store receives new versions this way.
        """
        self.cluster_view.note_version(model, version)
        chunk_store = self.version_store.find(model, version)
        if (
            chunk_store is None
            and (model, version) not in self._starting_to_serve
            and not self.version_store.is_too_old(model, version)
        ):
            self._starting_to_serve.add((model, version))
            asyncio.ensure_future(self._serve_staged(model, version))

    async def _reconcile(self):
        report = await self._read_report()
        self._outage.end()
        self.admission.reconcile(report.request_count)
        if report.is_leaving:
            # It will serve no version that is loaded now.
            self._begin_leaving(report)
            self._record_obstacle(_serving_state.Reason.LEAVING)
            return
        self._end_leaving()
        # The expiry comes first: `observe` may let queued requests start.
        self._update_expiry(report)
        self._loader.observe(report)
        self.serving_state.update(self._find_obstacle(report), self.clock())
        target = await self.cluster_view.target_version(report)
        if target is None and not report.versions:
            target = self._origin_query.find_target()
        if target is None:
            return
        if report.versions.get(target.model) == target.version:
            return
        if not self._chunk_store_of(target).is_complete:
            self._start_transfer(target)
        await self._step_loader(report, target)

    async def _read_report(self):
        try:
            return await self.engine.report()
        except errors.CatkinshuntError as exc:
            self._record_obstacle(_serving_state.Reason.UNREACHABLE, f'{exc}.')
            raise

    def _record_obstacle(self, reason, detail=''):
        obstacle = _serving_state.Obstacle(reason, detail)
        self.serving_state.update(obstacle, self.clock())

    def _find_obstacle(self, report):
        """Return the `Obstacle` that keeps the engine from serving, or None.

        It is that of the moment before this turn.
        """
        reasons = _serving_state.Reason
        if report.is_loading:
            return _serving_state.Obstacle(reasons.LOADING)
        if self._loader.is_damaged(report):
            return _serving_state.Obstacle(reasons.DAMAGED)
        if report.versions and self._expires_in_s > 0:
            return None
        detail = f'Loaded: {report.versions}, expired.'
        if not report.versions:
            detail = 'Nothing is loaded.'
        if self._is_transferring():
            detail = f'{detail} {self._describe_transfer()}'
            return _serving_state.Obstacle(reasons.TRANSFER, detail)
        if self._transfer_target is None:
            return _serving_state.Obstacle(reasons.NO_VERSION, detail)
        return _serving_state.Obstacle(reasons.LOAD_PENDING, detail)

    def _describe_transfer(self):
        chunk_store = self._transfer_store
        text = f'Version {chunk_store.version} of {chunk_store.model}: '
        if chunk_store.manifest is None:
            return text + 'no manifest yet.'
        count = len(chunk_store.manifest.chunks)
        missing = len(chunk_store.missing_indices)
        return f'{text}{count - missing} of {count} chunks.'

    def _begin_leaving(self, report):
        if not self._is_leaving:
            self._is_leaving = True
            _log.info('The engine states that it leaves.')
        self.admission.begin_leaving(report.started_at_ms)

    def _end_leaving(self):
        if self._is_leaving:
            self._is_leaving = False
            _log.info('The engine has started anew.')
            self.admission.end_leaving()

    def _update_expiry(self, report):
        """Set the time after which no request may start on this version."""
        times = [
            self.cluster_view.expires_at(model, version)
            for model, version in report.versions.items()
        ]
        expires_in_s = min(times, default=math.inf) - self.cluster_view.now()
        if self._is_transferring():
            expires_in_s -= LINK_QUEUE_S
        if self._loader.is_damaged(report):
            expires_in_s = -math.inf
        self._expires_in_s = expires_in_s
        self.admission.set_expiry(expires_in_s)

    async def _step_loader(self, report, target):
        """Choose the version to load next and run one step of the loader."""
        candidate = self._newest_complete(report, target)
        newest = self._chunk_store_of(target)
        if candidate is None and self._is_target_model_in_transfer(target):
            # The loader drains the engine before the transfer is complete.
            candidate = self._transfer_store
        served = report.versions.get(target.model, 0)
        if (
            candidate is None
            or candidate.manifest is None
            or candidate.version <= served
        ):
            return
        newer_s = math.inf
        if candidate is not newest:
            newer_s = self._complete_in_s(newest)
        await self._loader.step(
            report, candidate, self._complete_in_s(candidate), newer_s
        )

    def _is_target_model_in_transfer(self, target):
        current = self._transfer_target
        return current is not None and current.model == target.model

    def _complete_in_s(self, chunk_store):
        """Return the estimated seconds until a version is complete."""
        if chunk_store.manifest is None:
            return math.inf
        if chunk_store.is_complete:
            return 0.0
        # Engines drain ahead of this time. A source with a slow link can delay
        # the last chunks by seconds, in which a drained engine is idle.
        progress = self._progress.setdefault(
            (chunk_store.model, chunk_store.version), _progress.Progress()
        )
        now = self.clock()
        progress.add_sample(chunk_store.missing_share, now)
        copy_s = self._copy_s(chunk_store.manifest.size_bytes)
        return max(
            chunk_store.missing_share * copy_s, progress.remaining_s(now)
        )

    def _newest_complete(self, report, target):
        """Return the newest complete `ChunkStore` above the served version.

        Versions before the target count too: requests may need them before
        the target is complete. None if there is none.
        """
        served = report.versions.get(target.model, 0)
        complete = [
            chunk_store
            for chunk_store in self.version_store.of_model(target.model)
            if chunk_store.is_complete
            and served < chunk_store.version <= target.version
        ]
        return max(complete, key=lambda store: store.version, default=None)

    # Transfers of versions.

    def _is_transferring(self):
        return self._transfer is not None and not self._transfer.done()

    def _start_transfer(self, target):
        """Start a transfer unless another one has precedence."""
        if self._is_transferring():
            current = self._transfer_target
            if current.version == target.version:
                return
            if (
                current.model != target.model
                or self._finishes_older_first(target)
                or not self._has_manifest_else_probe(target)
            ):
                return
            # Field `left_share`: the missing share of the cancelled version.
            _log.info(
                'Cancelled the transfer of version {} of {} for version {}.',
                self._transfer_target.version,
                self._transfer_target.model,
                target.version,
                left_share=self._transfer_store.missing_share,
            )
            self._cancel_transfer()
        elif self.clock() < self._retry_at:
            return
        self._transfer_target = target
        self._transfer_store = self._chunk_store_of(target)
        self._transfer_store.begin_transfer()
        self._forget_evicted()
        self._transfer = asyncio.ensure_future(
            self._run_transfer(target, self._transfer_store)
        )

    def _cancel_transfer(self):
        self._transfer.cancel()
        # A task that is cancelled before its first step does not do this.
        self._transfer_store.end_transfer()

    def _has_manifest_else_probe(self, newer):
        """Return whether the manifest of the newer version is present.

        Otherwise starts to fetch it. If the older transfer were cancelled
        while the origin is unreachable, neither version would be complete when
        due, and the gap without a serving engine would last 8 s instead of
        3 s.
        """
        if self._chunk_store_of(newer).manifest is not None:
            return True
        if self._manifest_probe is None or self._manifest_probe.done():
            self._manifest_probe = asyncio.ensure_future(
                self._probe_manifest(newer)
            )
        return False

    async def _probe_manifest(self, newer):
        """Fetch the manifest of a version during another transfer."""
        try:
            plan = await self._make_plan(newer.model, newer.version)
            fetcher = self._make_fetcher(self._chunk_store_of(newer), plan)
            async with asyncio.timeout(MANIFEST_TIMEOUT_S):
                await fetcher.fetch_manifest()
            self._wakeup.set()
        except (errors.CatkinshuntError, TimeoutError) as exc:
            _log.warning(
                'Fetching the manifest of version {} of {} failed: {!r}.',
                newer.version,
                newer.model,
                exc,
            )

    def _forget_evicted(self):
        """Drop the progress and waves of evicted versions."""
        kept = self.version_store.versions()
        for key in set(self._progress) - kept:
            del self._progress[key]
        self._loader.forget_versions(kept)

    def _chunk_store_of(self, target):
        return self.version_store.get_or_create(target.model, target.version)

    def _finishes_older_first(self, newer):
        older = self._transfer_target
        chunk_store = self._transfer_store
        if chunk_store.manifest is None:
            return False
        now = self.cluster_view.now()
        copy_s = self._copy_s(chunk_store.manifest.size_bytes)
        remaining_s = chunk_store.missing_share * copy_s
        if chunk_store.is_withdrawn or self.version_store.is_too_old(
            chunk_store.model, chunk_store.version
        ):
            # Only members that have not evicted it yet can send the rest.
            remaining_s = self._complete_in_s(chunk_store)
        return _plan.finish_older_first(
            remaining_s,
            copy_s,
            _loader.LOAD_S,
            older.due_at - now,
            newer.due_at - now,
        )

    def _copy_s(self, size):
        return size / (self.link_mbps * base.BYTES_PER_MBIT) * COPY_OVERHEAD

    async def _run_transfer(self, target, chunk_store):
        try:
            await self._fetch_version(target, chunk_store)
            return
        except errors.CatkinshuntError as exc:
            _log.warning(
                'Transfer of {} failed: {}; retrying in {} s.',
                target.model,
                exc,
                RETRY_S,
                version=target.version,
            )
        except ExceptionGroup as group:
            _log.warning(
                'Transfer of {} failed: {!r}; retrying in {} s.',
                target.model,
                group.exceptions[0],
                RETRY_S,
                version=target.version,
            )
        except Exception:
            _log.exception(
                'Unexpected error in the transfer of version {} of {}.',
                target.version,
                target.model,
            )
        finally:
            chunk_store.end_transfer()
        self._retry_at = self.clock() + RETRY_S

    async def _fetch_version(self, target, chunk_store):
        """Fetch a version completely."""
        began = self.clock()
        plan = await self._make_plan(target.model, target.version)
        fetcher = self._make_fetcher(chunk_store, plan)

        def apply_plan():
            self._set_wave(plan)
            fetcher.reassign()

        updater = asyncio.ensure_future(
            _plan_updater.PlanUpdater(plan, self.cluster_view).run(apply_plan)
        )
        try:
            await fetcher.fetch_manifest()
            self._set_wave(plan)
            # After a restart most chunks may be staged already.
            restored = await _staging.restore_staged(chunk_store, self.engine)
            await fetcher.run()
        finally:
            updater.cancel()
        self._wakeup.set()
        _log.info(
            'Version {} of {} is whole.',
            target.version,
            target.model,
            took_s=round(self.clock() - began, 3),
            restored=restored,
        )

    def _set_wave(self, plan):
        self._loader.set_wave(
            plan.model, plan.version, plan.wave(_loader.WAVES)
        )

    async def _make_plan(self, model, version):
        members, connections = await _plan_updater.read_sources(
            self.cluster_view
        )
        return _plan.SourcePlan(
            self.local_member,
            members,
            self.cluster_view.regions,
            model,
            version,
            connections=connections,
        )

    def _make_fetcher(self, chunk_store, plan):
        async def stage_chunk(index, data):
            async with self._staging_lock:
                await self.engine.put_chunk(chunk_store.model, index, data)

        return _fetcher.Fetcher(
            chunk_store,
            plan,
            self.peers,
            self.origin,
            self.clock,
            stage_chunk,
            self.byte_counter,
            self._copy_s,
            self.cluster_view.origin_copy_s,
        )

    # Serving the version that the engine has loaded.

    async def _serve_staged(self, model, version):
        """Serve the staged chunks of the loaded version to peers."""
        try:
            report = await self.engine.report()
            if report.versions.get(model) != version:
                return
            plan = await self._make_plan(model, version)
            chunk_store = _chunk_store.ChunkStore(model, version)
            # No member may have the manifest of an old version.
            async with asyncio.timeout(MANIFEST_TIMEOUT_S):
                await self._make_fetcher(chunk_store, plan).fetch_manifest()
            restored = await _staging.restore_staged(chunk_store, self.engine)
            self.version_store.add(chunk_store)
            _log.info(
                'Started serving version {} of {} to peers.',
                version,
                model,
                chunks=restored,
            )
        except (errors.CatkinshuntError, TimeoutError) as exc:
            _log.warning(
                'Serving version {} of {} to peers failed: {!r}.',
                version,
                model,
                exc,
            )
        finally:
            self._starting_to_serve.discard((model, version))
