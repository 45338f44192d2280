"""Publishes pending versions in the store, for entries that start later."""

import asyncio
import math

from catkinshunt import errors
from catkinshunt import logs
from catkinshunt.platform import _documents
from catkinshunt import rendezvous

#: Entries that write the key of a version, so that one of them may fail.
WRITER_COUNT = 2
#: Shortest lease that the store grants and that is worth two calls.
MIN_LEASE_S = 1.0
#: Seconds by which a lease is shorter than the time until its key has to end.
#: They allow for the latency of the grant; a lease whose grant took longer is
#: revoked, and one is granted that allows for more.
LEASE_MARGIN_S = 0.4
#: Seconds between two attempts to remove a key, and between two looks at the
#: clock before, which also runs during a suspend.
REMOVAL_PERIOD_S = 0.5

_log = logs.get_logger('versions')


class PendingPublisher:
    """Writes a key for each announced version that is not due yet.

    An entry that starts reads the announced versions from the store without
    the time of their announcement. If such entries treat a version as due
    too early, they reject all requests for up to eight seconds while engines
    are still loading. The key is bound to a lease, and the version is pending
    while the key exists. An entry may take a version as pending for
    `Catalog.pending_trust_s` after the end of its key, so the lease ends by as
    much before the version is due.

    Args:
        client: `StoreClient`.
        catalog: `catalog.Catalog` with the announced versions.
        live_entries: `catalog.LiveEntries`.
        name: name of this entry.
        version_grace_s: seconds from the announcement of a version until it
            is due.
        boottime: returns seconds on the clock of the catalog.
    """

    def __init__(
        self, client, catalog, live_entries, name, version_grace_s, boottime
    ):
        self.client = client
        self.catalog = catalog
        self.live_entries = live_entries
        self.name = name
        self.version_grace_s = version_grace_s
        self.boottime = boottime
        self._handled = set()
        self._removals = set()

    async def run(self):
        """Write keys until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._publish_again(group))
            while True:
                self._publish_new(group)
                await self.catalog.wait_for_change()

    async def _publish_again(self, group):
        """Write the keys again after each change of the store's era."""
        changes = self.client.eras.changes
        while True:
            changes = await self.client.eras.sleep(changes)
            self._handled.clear()
            self._publish_new(group, is_repeated=True)

    def _publish_new(self, group, is_repeated=False):
        for model, announced in self._find_unpublished():
            group.create_task(self._publish(model, announced))
            if is_repeated:
                # The store may have got a key back from an older copy.
                group.create_task(self._remove_when_due(model, announced))

    def _find_unpublished(self):
        """Return (model, version) pairs that this entry has to publish."""
        found = []
        # Several may be learned at once, and each becomes due separately.
        for model, announced in self.catalog.announced_versions():
            key = (model, announced.version)
            if key in self._handled:
                continue
            self._handled.add(key)
            # If it is pending, its key was found in the store.
            if not announced.is_pending and self._is_writer(*key):
                found.append((model, announced))
        return found

    def _is_writer(self, model, version):
        names = sorted({*self.live_entries.names(), self.name})
        ranked = rendezvous.rank(f'{model}/{version}', names)
        return self.name in ranked[:WRITER_COUNT]

    async def _remove_when_due(self, model, announced):
        """Remove a key that may outlast its time.

        Leases may pause while the store is down, and a key that the store has
        back from an older copy lasts as long as its lease had left then, or
        longer. An entry that starts meanwhile would serve an older version.
        """
        removal = (model, announced.version)
        left_s = self._left_s(announced)
        if left_s < -self.version_grace_s or removal in self._removals:
            return
        self._removals.add(removal)
        while (left_s := self._left_s(announced)) > 0:
            await asyncio.sleep(min(left_s, REMOVAL_PERIOD_S))
        key = _documents.pending_key(model, announced.version)
        while True:
            try:
                await self.client.remove(key)
                break
            except errors.StoreError as exc:
                _log.warning('Removing the key {} failed: {}.', key, exc)
            await asyncio.sleep(REMOVAL_PERIOD_S)
        self._removals.discard(removal)

    def _left_s(self, announced):
        """Return the seconds until the key of a version has to end."""
        return self._ends_at(announced) - self.boottime()

    def _ends_at(self, announced):
        """Return the time by which the key of a version has to end."""
        due_at = announced.announced_after + self.version_grace_s
        return due_at - self.catalog.pending_trust_s

    async def _publish(self, model, announced):
        """Write the key of one version unless it is due too soon."""
        lease = None
        try:
            lease = await self._grant_lease(self._ends_at(announced))
            if lease is None:
                return
            key = _documents.pending_key(model, announced.version)
            previous = self.catalog.previous_version(model, announced.version)
            await self.client.write(
                key, _documents.dump_pending(previous), lease
            )
        except errors.StoreError as exc:
            _log.warning(
                'Publishing version {} of {} as pending failed: {}.',
                announced.version,
                model,
                exc,
            )
        if lease is not None:
            await self._remove_when_due(model, announced)

    async def _grant_lease(self, ends_at):
        """Return a lease that ends by a time, or None if that is too soon."""
        margin_s = LEASE_MARGIN_S
        while True:
            asked_at = self.boottime()
            lease_s = ends_at - asked_at - margin_s
            if not math.isfinite(lease_s) or lease_s < MIN_LEASE_S:
                return None
            lease = await self.client.grant_lease(lease_s)
            if self.boottime() + lease_s <= ends_at:
                return lease
            await self.client.revoke_lease(lease)
            margin_s = 2 * (self.boottime() - asked_at)
