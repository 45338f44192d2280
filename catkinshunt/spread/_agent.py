"""Brings the engine of one sidecar to the version that is wanted."""

import asyncio

import attrs

from catkinshunt import errors
from catkinshunt import logs
from catkinshunt.spread import _fetcher
from catkinshunt.spread import _holding
from catkinshunt.spread import _plan
from catkinshunt.spread import _stage
from catkinshunt.spread import base

#: Pause between looks at the engine, in seconds.
LOOK_S = 0.25
#: Seconds after which an order that shows no effect is given again.
ORDER_PATIENCE_S = 3.0
#: Pause before an order whose answer was lost is given again, in seconds.
ORDER_AGAIN_S = 0.3
#: Time of one copy over the time that the link alone would need; measured
#: with heads, checks and other traffic on the link.
COPY_OVERHEAD = 1.12
#: Groups in which engines that serve load a version, one after the other, so
#: that the others go on meanwhile.
WAVES = 3
#: Seconds in which an engine ends its answers and loads; groups need not
#: follow each other more slowly.
WAVE_S = 1.6
#: Seconds before the version is due at which the last group begins at the
#: latest; from then on the engines with the older one get no requests.
LAST_WAVE_LEAD_S = 0.75
#: Seconds that an engine takes to load a version once it has ended its
#: answers; 0.3 s on the users' deployments.
LOAD_S = 0.3

_log = logs.get_logger('agent')


@attrs.frozen
class Wanted:
    """A version that the engine should serve.

    Attributes:
        due_at: when requests need it, on the clock of the catalog.
    """

    model: str
    version: int
    due_at: float


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


class Agent:
    """Fetches wanted versions, gives them to peers, and orders loads.

    Args:
        me: `Member` of this sidecar.
        outlook: `BaseOutlook` on the operator's wishes and the members.
        engine: `base.BaseEngine`.
        origin: `base.BaseOrigin`.
        peers: `PeerClient`.
        shelf: `Shelf`.
        clock: gives seconds on the steady clock.
        link_mbps: speed of the instance's link.
        counter: counts bytes by source.
        door: `places.BaseDoor` that lets requests in to the engine.
    """

    def __init__(
        self, me, outlook, engine, origin, peers, shelf, clock, link_mbps,
        counter, door,
    ):  # fmt: skip
        self.me = me
        self.outlook = outlook
        self.engine = engine
        self.origin = origin
        self.peers = peers
        self.shelf = shelf
        self.clock = clock
        self.link_mbps = link_mbps
        self.counter = counter
        self.door = door
        self._transfer = None
        self._fetching = None
        self._ordered = None
        self._ordered_at = 0.0
        self._providing = set()
        self._waves = {}
        self._whole_at = {}
        self._whole = asyncio.Event()
        self._stage_turn = asyncio.Lock()

    async def run(self):
        """Keep the engine at the wanted version until cancelled."""
        while True:
            try:
                await self._look()
            except errors.CatkinshuntError as exc:
                _log.warning('Could not look after the engine: {}.', exc)
            except Exception:
                # An unforeseen error must not end the care for the engine;
                # it would keep an old version until requests are refused.
                _log.exception('Could not look after the engine.')
            await self._pause()

    async def _pause(self):
        """Wait until the next look, a new version, or a whole one."""
        named = asyncio.ensure_future(self.outlook.wait_for_version())
        whole = asyncio.ensure_future(self._whole.wait())
        try:
            await asyncio.wait(
                (named, whole),
                timeout=LOOK_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            named.cancel()
            whole.cancel()
            self._whole.clear()

    def note_asked(self, model, version):
        """Learn of a version from a peer that asks for it.

        A sidecar that is cut off from the store hears of new versions so.
        """
        self.outlook.hear_of(model, version)
        holding = self.shelf.find(model, version)
        if holding is None and (model, version) not in self._providing:
            self._providing.add((model, version))
            asyncio.ensure_future(self._provide(model, version))

    async def _look(self):
        report = await self.engine.report()
        self.door.correct(report.present)
        wanted = await self.outlook.wanted(report)
        if wanted is None:
            return
        if report.versions.get(wanted.model) == wanted.version:
            return
        holding = self.shelf.holding(wanted.model, wanted.version)
        if not holding.is_whole:
            self._fetch(wanted)
        ready = self._newest_whole(report, wanted)
        if ready is not None:
            await self._load(report, ready)

    def _newest_whole(self, report, wanted):
        """Return the newest whole `Holding` that the engine lacks, or None.

        A version that was named before the wanted one counts too: requests
        may need it before the wanted one has come.
        """
        serves = report.versions.get(wanted.model, 0)
        whole = [
            holding
            for holding in self.shelf.of(wanted.model)
            if holding.is_whole and serves < holding.version <= wanted.version
        ]
        return max(whole, key=lambda h: h.version, default=None)

    # Transfers.

    def _is_fetching(self):
        return self._transfer is not None and not self._transfer.done()

    def _fetch(self, wanted):
        """Begin the transfer of `wanted` unless another one goes first."""
        if self._is_fetching():
            if self._fetching.version == wanted.version:
                return
            if self._finishes_first(wanted):
                return
            _log.info(
                'Dropped version {} for version {}.',
                self._fetching.version,
                wanted.version,
                left_share=self._holding_of(self._fetching).left_share,
            )
            self._transfer.cancel()
        self._fetching = wanted
        self._transfer = asyncio.ensure_future(self._run_transfer(wanted))

    def _holding_of(self, wanted):
        return self.shelf.holding(wanted.model, wanted.version)

    def _finishes_first(self, newer):
        older = self._fetching
        holding = self._holding_of(older)
        if holding.manifest is None:
            return False
        now = self.outlook.now()
        return _plan.finish_older_first(
            holding.left_share,
            self._copy_s(holding.manifest.size_bytes),
            LOAD_S,
            older.due_at - now,
            newer.due_at - now,
        )

    def _copy_s(self, size):
        return size / (self.link_mbps * base.BYTES_PER_MBIT) * COPY_OVERHEAD

    async def _run_transfer(self, wanted):
        began = self.clock()
        holding = self._holding_of(wanted)
        try:
            plan = await self._plan(wanted.model, wanted.version)
            fetcher = self._fetcher(holding, plan)
            await fetcher.fetch_manifest()
            self._waves[wanted.version] = plan.wave(WAVES)
            # After a restart most chunks may lie beside the engine already.
            restored = await _stage.restore(holding, self.engine)
            await fetcher.run()
        except errors.CatkinshuntError as exc:
            _log.warning('A transfer failed: {}.', exc, version=wanted.version)
            return
        except ExceptionGroup as group:
            _log.warning(
                'A transfer failed: {!r}.',
                group.exceptions[0],
                version=wanted.version,
            )
            return
        except Exception:
            _log.exception('A transfer failed.')
            return
        self._whole.set()
        _log.info(
            'Version {} of {} is whole.',
            wanted.version,
            wanted.model,
            took_s=round(self.clock() - began, 3),
            restored=restored,
        )

    async def _plan(self, model, version):
        members = await self.outlook.members()
        return _plan.Plan(
            self.me,
            members,
            self.outlook.regions,
            model,
            version,
        )

    def _fetcher(self, holding, plan):
        async def keep(index, data):
            async with self._stage_turn:
                await self.engine.put_chunk(holding.model, index, data)

        return _fetcher.Fetcher(
            holding,
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
            holding = _holding.Holding(model, version)
            await self._fetcher(holding, plan).fetch_manifest()
            taken = await _stage.restore(holding, self.engine)
            self.shelf.add(holding)
            _log.info('Gives version {} of {}.', version, model, chunks=taken)
        except errors.CatkinshuntError as exc:
            _log.warning('Cannot give version {}: {}.', version, exc)
        finally:
            self._providing.discard((model, version))

    # Orders.

    async def _load(self, report, holding):
        if report.busy or not self._is_turn(report, holding):
            return
        key = (holding.model, holding.version)
        waited_s = self.clock() - self._ordered_at
        if self._ordered == key and waited_s < ORDER_PATIENCE_S:
            return
        # The engine loads what is staged when it takes the order. Chunks of
        # another version put there meanwhile would give mixed weights, so
        # none is put until it is known whether the order was taken.
        async with self._stage_turn:
            await _stage.settle(holding, self.engine)
            self._ordered = key
            self._ordered_at = self.clock()
            await self._order(*key)

    def _is_turn(self, report, holding):
        """Return whether it is this member's turn to load."""
        serves = report.versions.get(holding.model)
        if not serves:
            return True
        now = self.outlook.now()
        whole_at = self._whole_at.setdefault(holding.version, now)
        wave = self._waves.get(holding.version, 0)
        due_at = self.outlook.due_after(holding.model, serves)
        return now >= turn_at(wave, whole_at, due_at)

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
