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
        item = platform.Item(key, value, self.revision)
        self.items[key] = item
        if value is None:
            del self.items[key]
        self.events.append(item)
        self._changes.notify_all()

    async def read_prefix(self, prefix):
        await self._begin('read')
        found = [i for k, i in self.items.items() if k.startswith(prefix)]
        return platform.Page(tuple(found), self.revision)

    async def watch(self, prefix, after, wait_s):
        await self._begin('watch')
        try:
            async with asyncio.timeout(wait_s):
                while not self._since(prefix, after):
                    if self._is_gone(after):
                        raise platform.HistoryGoneError('gone')
                    await self._changes.wait()
        except TimeoutError:
            pass
        found = self._since(prefix, after)
        self.sent_keys += [item.key for item in found]
        return platform.Page(tuple(found), self.revision)

    async def grant_lease(self, ttl_s):
        await self._begin('grant')
        self._lease_count += 1
        lease = self._lease_count
        self.leases[lease] = set()
        self.granted_s.append(ttl_s)
        return lease

    async def renew_lease(self, lease):
        await self._begin('renew')
        self._check_lease(lease)

    async def revoke_lease(self, lease):
        await self._begin('end')
        self._check_lease(lease)
        self.expire(lease)

    async def write(self, key, value, lease=0):
        await self._begin('write')
        if lease:
            self._check_lease(lease)
            self.leases[lease].add(key)
        self.put(key, value)

    def expire(self, lease):
        """End a lease with all its keys."""
        for key in self.leases.pop(lease):
            self.delete(key)

    def _check_lease(self, lease):
        if lease not in self.leases:
            raise platform.LeaseNotFoundError('no such lease')

    def _is_gone(self, after):
        """Return whether the changes after a revision are not available."""
        return after < self.first_kept_revision or after > self.revision

    def _since(self, prefix, after):
        return [
            item
            for item in self.events
            if item.revision > after and item.key.startswith(prefix)
        ]

    async def _begin(self, kind):
        self.calls.append(kind)
        await asyncio.sleep(0)
        if self.is_down:
            raise errors.StoreUnavailableError('down', step=kind)


async def wait_until(condition, timeout_s=3.0):
    """Wait until `condition` holds."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.005)
