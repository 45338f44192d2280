"""Schedules the loads of one engine and sends the load orders."""

import math

import attrs

from catkinshunt import logs
from catkinshunt.spread import _load_order

#: Time after which an order without effect is sent again.
ORDER_TIMEOUT_S = 3.0
#: Number of waves in which serving engines load a version, so that the other
#: engines serve meanwhile.
WAVES = 3
#: Longest interval between waves: the time in which an engine drains and
#: loads.
WAVE_INTERVAL_S = 1.6
#: Least lead of the last wave before the version is due. From the due time
#: on, engines at the older version receive no requests.
LAST_WAVE_LEAD_S = 0.75
#: Time after the order in which admitted requests may still finish; requests
#: that would last longer are rejected ahead of the order.
DRAIN_S = 0.4
#: Estimated load time of a drained engine.
LOAD_S = 0.3
#: Longest time from the due time of a version until a newer one is complete
#: for which the last wave skips the version and is idle meanwhile. A load
#: interrupts service, whereas an engine that receives no new requests still
#: finishes those in progress.
MAX_SKIP_GAP_S = 2.9
#: Time before a load from which on the engine is polled frequently.
FREQUENT_POLL_LEAD_S = 0.5

_log = logs.get_logger('agent')


@attrs.frozen
class LoadTiming:
    """Inputs that decide when an engine loads a version.

    Attributes:
        complete_in_s: seconds until the version is complete; negative after
            that.
        due_in_s: seconds until the due time of the version after the served
            one (see `TargetVersion.due_at`).
        wave: number of the engine's wave, from 0.
        newer_complete_in_s: seconds until a newer version is complete;
            infinite if there is none.
    """

    complete_in_s: float
    due_in_s: float
    wave: int = 0
    newer_complete_in_s: float = math.inf


def load_in_s(timing):
    """Return the seconds until the engine loads; infinite to skip the version.

    Waves are spread over the time until the version is due, since engines of
    one wave serve no requests while they load. If a newer version follows
    soon, the last wave skips this one: it serves the older version until the
    due time and then loads the newer one. Otherwise all engines would load
    the newer version at nearly the same time.

    Args:
        timing: `LoadTiming`.

    Examples:
        >>> [load_in_s(LoadTiming(0.0, 10.0, wave)) for wave in range(3)]
        [0.0, 1.6, 3.2]
        >>> [load_in_s(LoadTiming(0.0, 1.75, wave)) for wave in range(3)]
        [0.0, 0.5, 1.0]
        >>> [load_in_s(LoadTiming(0.0, 1.75, wave, 4.0)) for wave in range(3)]
        [0.0, 1.0, inf]
    """
    waves = WAVES
    if (
        timing.newer_complete_in_s - max(0.0, timing.due_in_s)
        <= MAX_SKIP_GAP_S
    ):
        waves -= 1
    if timing.wave >= waves:
        return math.inf
    left_s = max(
        0.0, timing.due_in_s - LAST_WAVE_LEAD_S - timing.complete_in_s
    )
    return timing.complete_in_s + timing.wave * min(
        WAVE_INTERVAL_S, left_s / (waves - 1)
    )


class Loader:
    """Drains one engine and orders it to load a version.

    Args:
        engine: `base.BaseEngine`.
        cluster_view: `base.BaseClusterView`.
        admission: `permits.BasePermitAdmission` of the engine.
        clock: returns seconds on the monotonic clock.
        staging_lock: held by tasks that write to the engine's staging area.

    Attributes:
        order_ages_s: by model, seconds from the comparison of the staged
            chunks until the engine was known to have accepted the last order.
        damaged_versions: by model, a version that the engine may have loaded
            with damaged chunks. No request may start on it.
    """

    def __init__(self, engine, cluster_view, admission, clock, staging_lock):
        self.engine = engine
        self.cluster_view = cluster_view
        self.admission = admission
        self.clock = clock
        self.staging_lock = staging_lock
        self.order_ages_s = {}
        self.damaged_versions = {}
        self._ordered = None
        self._ordered_at = 0.0
        self._waves = {}
        self._completed_at = {}
        self._draining_for = None
        self._load_at = 0.0

    @property
    def is_load_near(self):
        """Whether the engine is loading or will load soon."""
        if self._draining_for is None:
            return False
        return self.clock() > self._load_at - FREQUENT_POLL_LEAD_S

    def set_wave(self, model, version, wave):
        """Set the wave in which the engine loads a version."""
        self._waves[model, version] = wave

    def forget_versions(self, kept):
        """Drop the state of versions whose (model, version) is not kept."""
        for key in set(self._waves) | set(self._completed_at):
            if key not in kept:
                self._waves.pop(key, None)
                self._completed_at.pop(key, None)

    def is_damaged(self, report):
        """Return whether the engine serves a version with damaged chunks.

        Forgets versions that the engine no longer has.
        """
        for model, version in list(self.damaged_versions.items()):
            served = report.versions.get(model, math.inf)
            if served > version and not report.is_loading:
                del self.damaged_versions[model]
        return any(
            report.versions.get(model) == version
            for model, version in self.damaged_versions.items()
        )

    def observe(self, report):
        """Reopen the admission once the engine has loaded the version."""
        if self._draining_for is None:
            return
        model, version = self._draining_for
        if report.versions.get(model, 0) >= version and not report.is_loading:
            self._draining_for = None
            self.admission.end_reload()
            _log.info(
                'Version {} of {} is loaded.',
                version,
                model,
                took_s=round(self.cluster_view.now() - self._ordered_at, 3),
            )

    async def step(
        self, report, chunk_store, complete_in_s, newer_complete_in_s
    ):
        """Drain the engine or order the load when it is time.

        Args:
            report: the current `base.EngineReport`.
            chunk_store: the `ChunkStore` of the version.
            complete_in_s: estimated seconds until it is complete; 0 if it is
                (`LoadTiming` then has the time since, negative).
            newer_complete_in_s: the same for a newer version; infinite if
                there is none.
        """
        if report.is_loading:
            return
        key = (chunk_store.model, chunk_store.version)
        if not report.versions.get(chunk_store.model):
            left_s = complete_in_s
        else:
            left_s = load_in_s(
                self._make_timing(
                    report, chunk_store, complete_in_s, newer_complete_in_s
                )
            )
        self._update_admission(key, left_s)
        if left_s > 0 or not chunk_store.is_complete or self._was_ordered(key):
            return
        # The engine loads the chunks that are staged when it accepts the
        # order. The lock is held until the outcome is known: chunks of another
        # version staged meanwhile would lead to mixed weights.
        async with self.staging_lock:
            await self._order_load(chunk_store)

    async def _order_load(self, chunk_store):
        order = _load_order.LoadOrder(
            chunk_store, self.engine, self.cluster_view.now
        )
        try:
            await order.run()
        finally:
            if order.sent_at is not None:
                self._ordered = (chunk_store.model, chunk_store.version)
                self._ordered_at = order.sent_at
        self.order_ages_s[chunk_store.model] = order.age_s
        _log.info(
            'Ordered the load of version {} of {}.',
            chunk_store.version,
            chunk_store.model,
            comparison_age_s=round(order.age_s, 3),
        )
        if order.damaged:
            self.damaged_versions[chunk_store.model] = chunk_store.version
            _log.error(
                'Version {} of {} may have been loaded with the damaged '
                'chunks {}; no request starts on it.',
                chunk_store.version,
                chunk_store.model,
                sorted(order.damaged),
            )

    def _make_timing(
        self, report, chunk_store, complete_in_s, newer_complete_in_s
    ):
        served = report.versions[chunk_store.model]
        now = self.cluster_view.now()
        key = (chunk_store.model, chunk_store.version)
        if chunk_store.is_complete:
            completed_at = self._completed_at.setdefault(key, now)
            complete_in_s = completed_at - now
        return LoadTiming(
            complete_in_s,
            self.cluster_view.superseded_at(chunk_store.model, served) - now,
            self._waves.get(key, 0),
            newer_complete_in_s,
        )

    def _update_admission(self, key, left_s):
        """Schedule the reload in the admission, or reopen it without one.

        Requests that would not end within DRAIN_S after the order are
        rejected.

        Args:
            key: model and version to load.
            left_s: seconds until the load; infinite if the version is skipped.
        """
        if math.isinf(left_s):
            if self._draining_for is not None:
                self._draining_for = None
                self.admission.end_reload()
            return
        self._draining_for = key
        self._load_at = self.clock() + left_s
        closes_in_s = left_s + DRAIN_S
        self.admission.schedule_reload(closes_in_s, closes_in_s + LOAD_S)

    def _was_ordered(self, key):
        """Return whether a sent order may still take effect."""
        waited_s = self.cluster_view.now() - self._ordered_at
        return self._ordered == key and waited_s < ORDER_TIMEOUT_S
