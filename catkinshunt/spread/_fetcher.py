"""Fetches all chunks of one version."""

import asyncio

from catkinshunt import errors
from catkinshunt import logs
from catkinshunt.spread import _holding
from catkinshunt.spread import _plan
from catkinshunt import weights

#: Chunks asked for at once: of members of the own data centre, and of the
#: origin or members elsewhere. Two keep the link busy while one is checked.
LOCAL_WORKERS = 3
REMOTE_WORKERS = 2
#: Seconds for which a source that gave no answer is left out.
BLAME_S = 1.5
#: Times that a source without the chunk is asked again before the next.
PATIENCE = 2
#: Pause after all sources of a chunk failed, in seconds.
RETRY_S = 0.2
#: Chunks in a row that differ from the manifest before it is taken as
#: damaged; sources that send one bad chunk in ten never reach it.
MOST_CORRUPT = 8

_log = logs.get_logger('transfer')


class Fetcher:
    """Fills one `Holding` from the sources of a `Plan`.

    Args:
        holding: what is filled.
        plan: `Plan`.
        peers: `PeerClient`.
        origin: `base.BaseOrigin`.
        clock: gives seconds on the steady clock.
        keep: coroutine function of (index, data) that stages a chunk.
        counter: counts bytes by source.
    """

    def __init__(self, holding, plan, peers, origin, clock, keep, counter):
        self.holding = holding
        self.plan = plan
        self.peers = peers
        self.origin = origin
        self.clock = clock
        self.keep = keep
        self.counter = counter
        self._blamed = {}
        self._corrupt_in_row = 0

    async def run(self):
        """Fetch what is missing; returns when all of it is here.

        Raises:
            errors.ManifestError: no chunk fits the manifest any more; it
                was dropped with what it had let in.
        """
        await self.fetch_manifest()
        local, remote = [], []
        for index in self.holding.missing:
            (local if self.plan.is_local(index) else remote).append(index)
        workers = [self._work(remote) for _ in range(REMOTE_WORKERS)]
        workers += [self._work(local) for _ in range(LOCAL_WORKERS)]
        async with asyncio.TaskGroup() as group:
            for worker in workers:
                group.create_task(worker)

    async def _work(self, indices):
        while indices:
            await self._fetch(indices.pop(0))

    async def fetch_manifest(self):
        """Fetch the manifest unless it is here."""
        while self.holding.manifest is None:
            for source in self._usable(self.plan.manifest_sources()):
                if await self._manifest_from(source):
                    return
            await asyncio.sleep(RETRY_S)

    async def _manifest_from(self, source):
        model, version = self.holding.model, self.holding.version
        try:
            if source == _plan.ORIGIN:
                found = await self.origin.manifest(model, version)
            else:
                raw = await self.peers.manifest(source, model, version)
                found = weights.Manifest.loads(raw)
            self.holding.describe(
                _holding.check_manifest(found, model, version)
            )
        except errors.SourceBusyError:
            return False
        except errors.TransferError as exc:
            self._blame(source, exc)
            return False
        return True

    async def _fetch(self, index):
        while index not in self.holding.chunks:
            self._check_manifest()
            for source in self._usable(self.plan.sources(index)):
                if await self._chunk_from(source, index):
                    break
            else:
                await asyncio.sleep(RETRY_S)

    def _check_manifest(self):
        """Drop the manifest where all sources differ from it.

        The manifest itself may have been damaged on its way; one notices
        it by chunks of all sources being refused, for ever.
        """
        if self._corrupt_in_row < MOST_CORRUPT:
            return
        self.holding.forget()
        raise errors.ManifestError(
            f'{self._corrupt_in_row} chunks in a row differ from it',
            step='fetch chunk',
        )

    async def _chunk_from(self, source, index):
        for _ in range(PATIENCE):
            try:
                data = await self._ask(source, index)
                self.holding.put(index, data)
            except errors.SourceBusyError:
                continue
            except errors.CorruptChunkError as exc:
                self._corrupt_in_row += 1
                self._warn(source, exc)
                return False
            except errors.TransferError as exc:
                self._blame(source, exc)
                return False
            self._corrupt_in_row = 0
            self.counter.add(
                'origin' if source == _plan.ORIGIN else 'peer',
                amount=len(data),
            )
            await self.keep(index, data)
            return True
        return False

    async def _ask(self, source, index):
        model, version = self.holding.model, self.holding.version
        if source == _plan.ORIGIN:
            return await self.origin.chunk(model, version, index)
        return await self.peers.chunk(source, model, version, index)

    def _usable(self, sources):
        now = self.clock()
        return [
            source for source in sources if self._blamed.get(source, 0) <= now
        ]

    def _blame(self, source, exc):
        self._blamed[source] = self.clock() + BLAME_S
        self._warn(source, exc)

    def _warn(self, source, exc):
        _log.warning(
            'Source {} failed: {}.',
            source,
            exc,
            model=self.holding.model,
            version=self.holding.version,
        )
