"""An in-memory store that can simulate faults."""

import asyncio
import copy
import json

import attrs

from catkinshunt import errors
from catkinshunt import notifier
from catkinshunt import platform


@attrs.frozen
class StoreCopy:
    """State of a `FakeStore` at one time."""

    items: dict
    events: list
    revision: int
    leases: dict
    lease_count: int


class FakeStore:
    """Keys with revisions, watches and leases.

    Attributes:
        era: rises by one each time the store goes back.
        eras: `platform.EraMonitor` of the callers.
        is_down: all calls fail.
        calls: kinds of the calls made, in order.
        sent_keys: keys of the changes that watches returned, in order.
        granted_s: lifetimes of the leases granted, in order.
    """

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 1
        self.era = 1
        self.eras = platform.EraMonitor()
        self.is_down = False
        self.first_kept_revision = 0
        self.calls = []
        self.sent_keys = []
        self.leases = {}
        self.granted_s = []
        self._lease_count = 0
        self._changes = notifier.Notifier()

    def put(self, key, document):
        value = document
        if not isinstance(document, bytes):
            value = json.dumps(document).encode()
        self._change(key, value)

    def delete(self, key):
        self._change(key, None)

    def forget_history(self):
        """Drop all changes, so that running watches fail."""
        self.first_kept_revision = self.revision + 1
        self.revision += 1
        self._changes.notify_all()

    def take_copy(self):
        """Return a `StoreCopy` of the present state."""
        return StoreCopy(
            dict(self.items),
            list(self.events),
            self.revision,
            copy.deepcopy(self.leases),
            self._lease_count,
        )

    def go_back(self, former):
        """Continue from a `StoreCopy` in the next era.

        All that was written and granted since the copy is lost, and revisions
        and leases are given out again.
        """
        self.era += 1
        self.items = dict(former.items)
        self.events = list(former.events)
        self.revision = former.revision
        self.leases = copy.deepcopy(former.leases)
        self._lease_count = former.lease_count
        self._changes.notify_all()

    def _change(self, key, value):
        self.revision += 1
        revision = platform.Revision(self.era, self.revision)
        item = platform.Item(key, value, revision)
        self.items[key] = item
        if value is None:
            del self.items[key]
        self.events.append(item)
        self._changes.notify_all()

    async def read_prefix(self, prefix):
        await self._begin('read')
        found = [i for k, i in self.items.items() if k.startswith(prefix)]
        return self._make_page(found)

    async def watch(self, prefix, after, wait_s):
        await self._begin('watch')
        self._check_era(after)
        try:
            async with asyncio.timeout(wait_s):
                while not self._since(prefix, after):
                    if self._is_gone(after.number):
                        raise platform.HistoryGoneError('gone')
                    await self._changes.wait()
                    self._check_era(after)
        except TimeoutError:
            pass
        found = self._since(prefix, after)
        self.sent_keys += [item.key for item in found]
        return self._make_page(found)

    def _make_page(self, items):
        """Return a page whose revisions are all of the present era."""
        items = tuple(
            attrs.evolve(item, revision=self._revision(item.revision.number))
            for item in items
        )
        return platform.Page(items, self._revision(self.revision))

    def _revision(self, number):
        return platform.Revision(self.era, number)

    def _check_era(self, after):
        """Raise an error if a revision is of an older era."""
        self.eras.observe(self.era, 0.0)
        if after.era < self.era:
            raise platform.EraChangedError('the era has changed', self.era)

    async def grant_lease(self, ttl_s):
        await self._begin('grant')
        self._lease_count += 1
        lease = platform.Lease(self._lease_count, self.era)
        self.leases[lease.id] = set()
        self.granted_s.append(ttl_s)
        return lease

    async def renew_lease(self, lease):
        await self._begin('renew')
        self._check_lease(lease)

    async def revoke_lease(self, lease):
        await self._begin('end')
        self._check_lease(lease)
        self.expire(lease.id)

    async def write(self, key, value, lease=None):
        await self._begin('write')
        if lease is not None:
            self._check_lease(lease)
            self.leases[lease.id].add(key)
        self.put(key, value)

    async def remove(self, key):
        await self._begin('remove')
        if key in self.items:
            self.delete(key)

    def expire(self, lease):
        """End the lease with this number and all its keys."""
        for key in self.leases.pop(lease):
            self.delete(key)

    def _check_lease(self, lease):
        if lease.era != self.era or lease.id not in self.leases:
            raise platform.LeaseNotFoundError('no such lease')

    def _is_gone(self, after):
        """Return whether the changes after a revision are not available."""
        return after < self.first_kept_revision or after > self.revision

    def _since(self, prefix, after):
        return [
            item
            for item in self.events
            if item.revision.number > after.number
            and item.key.startswith(prefix)
        ]

    async def _begin(self, kind):
        self.calls.append(kind)
        await asyncio.sleep(0)
        if self.is_down:
            raise errors.StoreUnavailableError('down', step=kind)
        self.eras.observe(self.era, 0.0)


async def wait_until(condition, timeout_s=3.0):
    """Wait until `condition` holds.

    It is looked at once more when the time is up, as this process may have
    stood still since it began to hold.
    """
    try:
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.005)
    except TimeoutError:
        if not condition():
            raise
