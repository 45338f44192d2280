"""Registers an entry in the store while it runs."""

import asyncio

from catkinshunt import errors
from catkinshunt import logs
from catkinshunt.platform import _documents
from catkinshunt.platform import _store

#: Lifetime of an entry's key without renewal. It is longer than a usual
#: outage of the store; otherwise all entries would register again at once
#: after one.
LEASE_TTL_S = 15.0
#: Seconds between two renewals. Two in a row may fail.
RENEW_PERIOD_S = 5.0
#: Pause after a failed call.
RETRY_PAUSE_S = 1.0

_log = logs.get_logger('membership')


class Registration:
    """Keeps one entry's key in the store, bound to a lease.

    Args:
        client: `StoreClient`.
        live_entries: `catalog.LiveEntries`, which shows whether the key
            exists.
        name: name of the instance.
        location: its `catalog.EntryLocation`, for entries that relay watches;
            None to publish no location.
    """

    def __init__(self, client, live_entries, name, location=None):
        self.client = client
        self.live_entries = live_entries
        self.name = name
        self.location = location
        self._changes = client.eras.changes
        self._lease = None
        self._is_deregistered = False

    async def run(self):
        """Keep the entry registered until `deregister` is called."""
        outage = logs.OutageLogger(
            _log, 'Renewing the lease failed: {}.', 'The lease is renewed.'
        )
        while not self._is_deregistered:
            try:
                await self._renew_or_register()
                outage.end()
                self._changes = await self.client.eras.sleep(
                    self._changes, RENEW_PERIOD_S
                )
            except _store.LeaseNotFoundError:
                self._lease = None
            except errors.StoreError as exc:
                outage.begin(exc)
                await asyncio.sleep(RETRY_PAUSE_S)

    async def _renew_or_register(self):
        # A delayed write whose answer was lost can bind the key to an older
        # lease. The key is deleted with that lease, and the live entries show
        # that it is missing.
        if self._lease is not None and self.live_entries.has(self.name):
            await self.client.renew_lease(self._lease)
            return
        lease = await self.client.grant_lease(LEASE_TTL_S)
        key = _documents.ENTRY_PREFIX + self.name
        value = b'{}'
        if self.location is not None:
            value = _documents.dump_location(self.location)
        await self.client.write(key, value, lease)
        self._lease = lease
        _log.info('Registered as entry {}.', self.name, lease=lease.id)

    async def deregister(self):
        """Revoke the lease, so that other entries stop counting this one."""
        self._is_deregistered = True
        if self._lease is None:
            return
        try:
            await self.client.revoke_lease(self._lease)
        except errors.StoreError as exc:
            _log.warning('The lease was not revoked and will expire: {}.', exc)
