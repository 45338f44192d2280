"""Keeps requests that must not be run in the store."""

import asyncio

from catkinshunt import errors
from catkinshunt import logs
from catkinshunt.platform import _documents
from catkinshunt import quarantine
from catkinshunt import rendezvous

#: Entries that write the key of a request; one of them may die meanwhile.
WRITER_COUNT = 2
#: Seconds between two looks at what is barred.
CHECK_PERIOD_S = 0.5

_log = logs.get_logger('quarantine')


class QuarantinePublisher:
    """Writes a key for each request that is barred.

    Entries tell each other what they know; were all of them to start again,
    the request would have to crash as many upstreams once more. The key is
    bound to a lease for as long as the request is barred.

    Args:
        client: `StoreClient`.
        barred: `quarantine.Quarantine` of this entry.
        roster: `catalog.LiveEntries` of the entries.
        name: name of this entry.
        wall: gives seconds on the clock of the quarantine.
    """

    def __init__(self, client, barred, live_entries, name, boottime):
        self.client = client
        self.barred = barred
        self.live_entries = live_entries
        self.name = name
        self.boottime = boottime
        self._published_until = {}

    async def run(self):
        """Write keys until cancelled."""
        outage = logs.Outage(
            _log,
            'Barred requests are not in the store: {}.',
            'Barred requests are in the store.',
        )
        while True:
            try:
                await self._publish_new()
                outage.end()
            except errors.StoreError as exc:
                outage.begin(exc)
            await asyncio.sleep(CHECK_PERIOD_S)

    async def _publish_new(self):
        now = self.boottime()
        for request, left_s in self.barred.all_quarantined(now):
            until = now + left_s
            if self._is_published(request, until, now):
                continue
            if not self._is_writer(request):
                continue
            lease = await self.client.grant_lease(left_s)
            key = _documents.quarantine_key(request)
            value = _documents.dump_quarantine(left_s)
            await self.client.write(key, value, lease)
            self._published_until[request] = until
        self._evict_expired(now)

    def _is_published(self, request, until, now):
        """Return whether its key stays for nearly as long as it is barred."""
        most_s = quarantine.QUARANTINE_S * quarantine.RENEW_SHARE
        return until - self._published_until.get(request, now) < most_s

    def _is_writer(self, request):
        names = sorted({*self.live_entries.names(), self.name})
        return self.name in rendezvous.rank(request, names)[:WRITER_COUNT]

    def _evict_expired(self, now):
        self._published_until = {
            request: until
            for request, until in self._published_until.items()
            if until > now
        }
