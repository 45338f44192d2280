"""Decides when an engine loads a version, and gives the orders."""

import asyncio
import math

import attrs

from catkinshunt import logs
from catkinshunt.spread import _staging
from catkinshunt.spread import base

#: Seconds after which an order that shows no effect is given again.
ORDER_TIMEOUT_S = 3.0
#: Pause before an order whose answer was lost is given again, in seconds.
ORDER_RETRY_S = 0.3
#: Groups in which engines that serve load a version, one after the other, so
#: that the others go on meanwhile.
WAVES = 3
#: Seconds in which an engine runs empty and loads; groups need not follow
#: each other more slowly.
WAVE_INTERVAL_S = 1.6
#: Seconds before the version is due at which the last group begins at the
#: latest; from then on the engines with the older one get no requests.
LAST_WAVE_LEAD_S = 0.75
#: Seconds from the order in which answers that were let in may still end.
DRAIN_S = 0.4
#: Seconds that an engine is taken to need for loading a version, once it has
#: ended its answers.
LOAD_S = 0.3
#: Seconds that an engine may stand idle between two versions rather than load
#: both: each load keeps it from work, and while it stands idle it still ends
#: its answers.
MAX_IDLE_S = 2.9
#: Seconds before the turn of an engine from which on it is looked at often.
FREQUENT_POLL_LEAD_S = 0.5

_log = logs.get_logger('agent')


@attrs.frozen
class LoadTiming:
    """What is known of the way of one engine to a version.

    Attributes:
        complete_in_s: seconds until the version is complete here; negative
            once it is.
        due_in_s: seconds until engines with what it serves get no more
            requests.
        wave: number of its group, from 0.
        newer_complete_in_s: seconds until a newer version is whole here;
            infinite where none is on its way.
    """

    complete_in_s: float
    due_in_s: float
    wave: int = 0
    newer_complete_in_s: float = math.inf


def load_in_s(timing):
    """Return in how many seconds the engine is to load; infinite for not.

    Groups follow each other as slowly as the time until the version is due
    allows, since engines that load together take no requests together. Where
    a newer version comes soon after, the last group leaves this one out: it
    serves until the version is due, and loads the newer one first. Otherwise
    all engines would have to load the second one at nearly the same time.

    Args:
        move: `LoadTiming`.

    Examples:
        >>> [load_in_s(LoadTiming(0.0, 10.0, wave)) for wave in range(3)]
        [0.0, 1.6, 3.2]
        >>> [load_in_s(LoadTiming(0.0, 1.75, wave)) for wave in range(3)]
        [0.0, 0.5, 1.0]
        >>> [load_in_s(LoadTiming(0.0, 1.75, wave, 4.0)) for wave in range(3)]
        [0.0, 1.0, inf]
    """
    waves = WAVES
    if timing.newer_complete_in_s - max(0.0, timing.due_in_s) <= MAX_IDLE_S:
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
    """Empties one engine in its turn and orders it to load.

    Args:
        engine: `base.BaseEngine`.
        outlook: `base.BaseClusterView`.
        door: `places.BaseAdmission` that lets requests in to the engine.
        clock: gives seconds on the steady clock.
        staging_lock: lock of whoever puts chunks beside the engine.
    """

    def __init__(self, engine, cluster_view, admission, clock, staging_lock):
        self.engine = engine
        self.cluster_view = cluster_view
        self.admission = admission
        self.clock = clock
        self.staging_lock = staging_lock
        self._ordered = None
        self._ordered_at = 0.0
        self._waves = {}
        self._completed_at = {}
        self._draining_for = None
        self._load_at = 0.0

    @property
    def is_load_near(self):
        """Whether the engine is about to load, or loads."""
        if self._draining_for is None:
            return False
        return self.clock() > self._load_at - FREQUENT_POLL_LEAD_S

    def set_wave(self, version, wave):
        """Note in which group the engine loads a version."""
        self._waves[version] = wave

    def observe(self, report):
        """Let requests in again once the engine serves what was ordered."""
        if self._draining_for is None:
            return
        model, version = self._draining_for
        if report.versions.get(model, 0) >= version and not report.is_loading:
            self._draining_for = None
            self.admission.open()
            _log.info(
                'Version {} of {} is loaded.',
                version,
                model,
                took_s=round(self.clock() - self._ordered_at, 3),
            )

    async def step(
        self, report, chunk_store, complete_in_s, newer_complete_in_s
    ):
        """Do what is due to bring the engine to a version.

        Args:
            report: the `base.EngineReport` of this moment.
            holding: the `ChunkStore` of the version.
            complete_in_s: seconds until it is likely to be whole; 0 if it is.
            newer_complete_in_s: the same for a newer version on its way.
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
        self._drain(key, left_s)
        if left_s > 0 or not chunk_store.is_complete or self._was_ordered(key):
            return
        # The engine loads what is staged when it takes the order. Chunks of
        # another version put there meanwhile would give mixed weights, so
        # none is put until it is known whether the order was taken.
        async with self.staging_lock:
            await _staging.verify_staged(chunk_store, self.engine)
            self._ordered = key
            self._ordered_at = self.clock()
            await self._send_order(*key)

    def _make_timing(
        self, report, chunk_store, complete_in_s, newer_complete_in_s
    ):
        served = report.versions[chunk_store.model]
        now = self.cluster_view.now()
        if chunk_store.is_complete:
            completed_at = self._completed_at.setdefault(
                chunk_store.version, now
            )
            complete_in_s = completed_at - now
        return LoadTiming(
            complete_in_s,
            self.cluster_view.superseded_at(chunk_store.model, served) - now,
            self._waves.get(chunk_store.version, 0),
            newer_complete_in_s,
        )

    def _drain(self, key, left_s):
        """Let the engine run empty until its turn."""
        if math.isinf(left_s):
            if self._draining_for is not None:
                self._draining_for = None
                self.admission.open()
            return
        self._draining_for = key
        self._load_at = self.clock() + left_s
        closes_in_s = left_s + DRAIN_S
        self.admission.close(closes_in_s, closes_in_s + LOAD_S)

    def _was_ordered(self, key):
        """Return whether the order was given and may still take effect."""
        waited_s = self.clock() - self._ordered_at
        return self._ordered == key and waited_s < ORDER_TIMEOUT_S

    async def _send_order(self, model, version):
        while True:
            try:
                await self.engine.load(model, version)
            except base.LoadOutcomeUnknownError as exc:
                _log.warning('The answer to an order was lost: {}.', exc)
                await asyncio.sleep(ORDER_RETRY_S)
                continue
            _log.info('Ordered version {} of {}.', version, model)
            return
