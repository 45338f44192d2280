"""Decides when an engine loads a version, and gives the orders."""

import asyncio
import math

import attrs

from catkinshunt import logs
from catkinshunt.spread import _staging
from catkinshunt.spread import base

#: Seconds after which an order that shows no effect is given again.
ORDER_PATIENCE_S = 3.0
#: Pause before an order whose answer was lost is given again, in seconds.
ORDER_AGAIN_S = 0.3
#: Groups in which engines that serve load a version, one after the other, so
#: that the others go on meanwhile.
WAVES = 3
#: Seconds in which an engine runs empty and loads; groups need not follow
#: each other more slowly.
WAVE_S = 1.6
#: Seconds before the version is due at which the last group begins at the
#: latest; from then on the engines with the older one get no requests.
LAST_WAVE_LEAD_S = 0.75
#: Seconds from the order in which answers that were let in may still end.
EMPTYING_S = 0.4
#: Seconds that an engine is taken to need for loading a version, once it has
#: ended its answers.
LOAD_S = 0.3
#: Seconds that an engine may stand idle between two versions rather than load
#: both: each load keeps it from work, and while it stands idle it still ends
#: its answers.
MOST_IDLE_S = 2.9
#: Seconds before the turn of an engine from which on it is looked at often.
NEAR_S = 0.5

_log = logs.get_logger('agent')


@attrs.frozen
class Move:
    """What is known of the way of one engine to a version.

    Attributes:
        whole_in_s: seconds until the version is whole here; below 0 where it
            has been for so long.
        due_in_s: seconds until engines with what it serves get no more
            requests.
        wave: number of its group, from 0.
        newer_whole_in_s: seconds until a newer version is whole here;
            infinite where none is on its way.
    """

    whole_in_s: float
    due_in_s: float
    wave: int = 0
    newer_whole_in_s: float = math.inf


def turn_in_s(move):
    """Return in how many seconds the engine is to load; infinite for not.

    Groups follow each other as slowly as the time until the version is due
    allows, since engines that load together take no requests together. Where
    a newer version comes soon after, the last group leaves this one out: it
    serves until the version is due, and loads the newer one first. Otherwise
    all engines would have to load the second one at nearly the same time.

    Args:
        move: `Move`.

    Examples:
        >>> [turn_in_s(Move(0.0, 10.0, wave)) for wave in range(3)]
        [0.0, 1.6, 3.2]
        >>> [turn_in_s(Move(0.0, 1.75, wave)) for wave in range(3)]
        [0.0, 0.5, 1.0]
        >>> [turn_in_s(Move(0.0, 1.75, wave, 4.0)) for wave in range(3)]
        [0.0, 1.0, inf]
    """
    waves = WAVES
    if move.newer_whole_in_s - max(0.0, move.due_in_s) <= MOST_IDLE_S:
        waves -= 1
    if move.wave >= waves:
        return math.inf
    left_s = max(0.0, move.due_in_s - LAST_WAVE_LEAD_S - move.whole_in_s)
    return move.whole_in_s + move.wave * min(WAVE_S, left_s / (waves - 1))


class Loader:
    """Empties one engine in its turn and orders it to load.

    Args:
        engine: `base.BaseEngine`.
        outlook: `base.BaseClusterView`.
        door: `places.BaseAdmission` that lets requests in to the engine.
        clock: gives seconds on the steady clock.
        stage_turn: lock of whoever puts chunks beside the engine.
    """

    def __init__(self, engine, outlook, door, clock, stage_turn):
        self.engine = engine
        self.outlook = outlook
        self.door = door
        self.clock = clock
        self.stage_turn = stage_turn
        self._ordered = None
        self._ordered_at = 0.0
        self._waves = {}
        self._whole_at = {}
        self._closed_for = None
        self._turn_at = 0.0

    @property
    def is_busy(self):
        """Whether the engine is about to load, or loads."""
        if self._closed_for is None:
            return False
        return self.clock() > self._turn_at - NEAR_S

    def set_wave(self, version, wave):
        """Note in which group the engine loads a version."""
        self._waves[version] = wave

    def note(self, report):
        """Let requests in again once the engine serves what was ordered."""
        if self._closed_for is None:
            return
        model, version = self._closed_for
        if report.versions.get(model, 0) >= version and not report.is_loading:
            self._closed_for = None
            self.door.open()
            _log.info(
                'Version {} of {} is loaded.',
                version,
                model,
                took_s=round(self.clock() - self._ordered_at, 3),
            )

    async def step(self, report, chunk_store, whole_in_s, newer_whole_in_s):
        """Do what is due to bring the engine to a version.

        Args:
            report: the `base.EngineReport` of this moment.
            holding: the `ChunkStore` of the version.
            whole_in_s: seconds until it is likely to be whole; 0 if it is.
            newer_whole_in_s: the same for a newer version on its way.
        """
        if report.is_loading:
            return
        key = (chunk_store.model, chunk_store.version)
        if not report.versions.get(chunk_store.model):
            left_s = whole_in_s
        else:
            left_s = turn_in_s(
                self._move(report, chunk_store, whole_in_s, newer_whole_in_s)
            )
        self._prepare(key, left_s)
        if left_s > 0 or not chunk_store.is_complete or self._was_ordered(key):
            return
        # The engine loads what is staged when it takes the order. Chunks of
        # another version put there meanwhile would give mixed weights, so
        # none is put until it is known whether the order was taken.
        async with self.stage_turn:
            await _staging.verify_staged(chunk_store, self.engine)
            self._ordered = key
            self._ordered_at = self.clock()
            await self._order(*key)

    def _move(self, report, chunk_store, whole_in_s, newer_whole_in_s):
        serves = report.versions[chunk_store.model]
        now = self.outlook.now()
        if chunk_store.is_complete:
            whole_at = self._whole_at.setdefault(chunk_store.version, now)
            whole_in_s = whole_at - now
        return Move(
            whole_in_s,
            self.outlook.superseded_at(chunk_store.model, serves) - now,
            self._waves.get(chunk_store.version, 0),
            newer_whole_in_s,
        )

    def _prepare(self, key, left_s):
        """Let the engine run empty until its turn."""
        if math.isinf(left_s):
            if self._closed_for is not None:
                self._closed_for = None
                self.door.open()
            return
        self._closed_for = key
        self._turn_at = self.clock() + left_s
        closes_in_s = left_s + EMPTYING_S
        self.door.close(closes_in_s, closes_in_s + LOAD_S)

    def _was_ordered(self, key):
        """Return whether the order was given and may still take effect."""
        waited_s = self.clock() - self._ordered_at
        return self._ordered == key and waited_s < ORDER_PATIENCE_S

    async def _order(self, model, version):
        while True:
            try:
                await self.engine.load(model, version)
            except base.LoadOutcomeUnknownError as exc:
                _log.warning('The answer to an order was lost: {}.', exc)
                await asyncio.sleep(ORDER_AGAIN_S)
                continue
            _log.info('Ordered version {} of {}.', version, model)
            return
