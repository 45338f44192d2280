"""Decides when an engine loads a version, and gives the orders."""

import asyncio

from catkinshunt import logs
from catkinshunt.spread import _stage
from catkinshunt.spread import base

#: Seconds after which an order that shows no effect is given again.
ORDER_PATIENCE_S = 3.0
#: Pause before an order whose answer was lost is given again, in seconds.
ORDER_AGAIN_S = 0.3
#: Groups in which engines that serve load a version, one after the other, so
#: that the others go on meanwhile.
WAVES = 3
#: Seconds in which an engine ends its answers and loads; groups need not
#: follow each other more slowly.
WAVE_S = 1.6
#: Seconds before the version is due at which the last group begins at the
#: latest; from then on the engines with the older one get no requests.
LAST_WAVE_LEAD_S = 0.75
#: Seconds from the order in which answers that were let in may still end.
EMPTYING_S = 0.4
#: Seconds that an engine takes to load a version once it has ended its
#: answers; 0.3 s on the users' deployments.
LOAD_S = 0.3

_log = logs.get_logger('agent')


def turn_at(wave, whole_at, due_at):
    """Return when an engine of a group loads a version.

    Groups follow each other as slowly as the time until the version is due
    allows. Engines that load together take no new requests together.

    Args:
        wave: number of the group, from 0.
        whole_at: when the version was whole, in seconds.
        due_at: when engines with the older version get no more requests.

    Examples:
        >>> [turn_at(wave, 10.0, 20.0) for wave in range(3)]
        [10.0, 11.6, 13.2]
        >>> [turn_at(wave, 10.0, 11.5) for wave in range(3)]
        [10.0, 10.375, 10.75]
    """
    left_s = max(0.0, due_at - LAST_WAVE_LEAD_S - whole_at)
    return whole_at + wave * min(WAVE_S, left_s / (WAVES - 1))


class Loader:
    """Empties one engine in its turn and orders it to load.

    Args:
        engine: `base.BaseEngine`.
        outlook: `base.BaseOutlook`.
        door: `places.BaseDoor` that lets requests in to the engine.
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

    @property
    def is_busy(self):
        """Whether the engine is being emptied or loads."""
        return self._closed_for is not None

    def set_wave(self, version, wave):
        """Note in which group the engine loads a version."""
        self._waves[version] = wave

    def note(self, report):
        """Let requests in again once the engine serves what was ordered."""
        if self._closed_for is None:
            return
        model, version = self._closed_for
        if report.versions.get(model, 0) >= version and not report.busy:
            self._closed_for = None
            self.door.open()
            _log.info(
                'Version {} of {} is loaded.',
                version,
                model,
                took_s=round(self.clock() - self._ordered_at, 3),
            )

    async def step(self, report, holding):
        """Do what is due to bring the engine to a version that is whole.

        Args:
            report: the `base.EngineReport` of this moment.
            holding: the whole `Holding`.
        """
        if report.busy:
            return
        key = (holding.model, holding.version)
        left_s = self._turn_in_s(report, holding)
        if self._closed_for != key:
            self._closed_for = key
            self.door.close(left_s + EMPTYING_S, left_s + EMPTYING_S + LOAD_S)
        waited_s = self.clock() - self._ordered_at
        if left_s > 0 or (
            self._ordered == key and waited_s < ORDER_PATIENCE_S
        ):
            return
        # The engine loads what is staged when it takes the order. Chunks of
        # another version put there meanwhile would give mixed weights, so
        # none is put until it is known whether the order was taken.
        async with self.stage_turn:
            await _stage.settle(holding, self.engine)
            self._ordered = key
            self._ordered_at = self.clock()
            await self._order(*key)

    def _turn_in_s(self, report, holding):
        """Return in how many seconds the engine is to load."""
        serves = report.versions.get(holding.model)
        if not serves:
            return 0.0
        now = self.outlook.now()
        whole_at = self._whole_at.setdefault(holding.version, now)
        wave = self._waves.get(holding.version, 0)
        due_at = self.outlook.due_after(holding.model, serves)
        return max(0.0, turn_at(wave, whole_at, due_at) - now)

    async def _order(self, model, version):
        while True:
            try:
                await self.engine.load(model, version)
            except base.OrderLostError as exc:
                _log.warning('The answer to an order was lost: {}.', exc)
                await asyncio.sleep(ORDER_AGAIN_S)
                continue
            _log.info('Ordered version {} of {}.', version, model)
            return
