"""Lists an entry in the store for as long as it lives."""

import asyncio

from catkinshunt import errors
from catkinshunt import logs
from catkinshunt.platform import _documents
from catkinshunt.platform import _store

#: Seconds after which an entry that no longer renews its lease is no longer
#: listed. It is longer than a usual outage of the store, after which all
#: entries would have to be listed again at once.
LEASE_TTL_S = 15.0
#: Seconds between two renewals; two may be lost.
RENEW_PERIOD_S = 5.0
#: Pause after a call that failed, in seconds.
RETRY_PAUSE_S = 1.0

_log = logs.get_logger('membership')


class Registration:
    """Keeps the key of one entry, bound to a lease.

    Args:
        client: `StoreClient`.
        roster: `catalog.LiveEntries` that shows whether the key is there.
        name: name of the instance.
        home: its `catalog.EntryLocation`, for others of its region; None for none.
    """

    def __init__(self, client, live_entries, name, home=None):
        self.client = client
        self.live_entries = live_entries
        self.name = name
        self.home = home
        self._lease = None
        self._is_deregistered = False

    async def run(self):
        """Keep the entry listed until it leaves."""
        outage = logs.Outage(
            _log, 'The lease was not renewed: {}.', 'The lease is renewed.'
        )
        while not self._is_deregistered:
            try:
                await self._renew_or_register()
                outage.end()
                await asyncio.sleep(RENEW_PERIOD_S)
            except _store.LeaseNotFoundError:
                self._lease = None
            except errors.StoreError as exc:
                outage.begin(exc)
                await asyncio.sleep(RETRY_PAUSE_S)

    async def _renew_or_register(self):
        # A write whose answer was lost may arrive late and bind the key to
        # an older lease. It vanishes with that one; the roster shows it.
        if self._lease is not None and self.live_entries.has(self.name):
            await self.client.renew_lease(self._lease)
            return
        lease = await self.client.grant_lease(LEASE_TTL_S)
        key = _documents.ENTRY_PREFIX + self.name
        value = b'{}'
        if self.home is not None:
            value = _documents.dump_home(self.home)
        await self.client.write(key, value, lease)
        self._lease = lease
        _log.info('Listed as entry {}.', self.name, lease=lease)

    async def deregister(self):
        """End the lease, so that others no longer count this entry."""
        self._is_deregistered = True
        if self._lease is None:
            return
        try:
            await self.client.revoke_lease(self._lease)
        except errors.StoreError as exc:
            _log.warning('The lease ends by itself: {}.', exc)
