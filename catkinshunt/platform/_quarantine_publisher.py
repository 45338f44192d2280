"""Publishes quarantined requests in the store."""

from catkinshunt import errors
from catkinshunt import logs
from catkinshunt.platform import _documents
from catkinshunt import quarantine
from catkinshunt import rendezvous

#: Entries that write the key of a fingerprint, so that one of them may fail.
WRITER_COUNT = 2
#: Seconds between two checks for quarantined requests.
CHECK_PERIOD_S = 0.5

_log = logs.get_logger('quarantine')


class QuarantinePublisher:
    """Writes a key for each quarantined request.

    Entries exchange the quarantined requests by gossip. If all of them
    restarted, the request would have to crash the same number of upstreams
    again before it is quarantined. The key is bound to a lease that lasts as
    long as the quarantine.

    Args:
        client: `StoreClient`.
        quarantined: `quarantine.Quarantine` of this entry.
        live_entries: `catalog.LiveEntries`.
        name: name of this entry.
        boottime: returns seconds on the clock of the quarantine.
    """

    def __init__(self, client, quarantined, live_entries, name, boottime):
        self.client = client
        self.quarantined = quarantined
        self.live_entries = live_entries
        self.name = name
        self.boottime = boottime
        self._published_until = {}
        self._changes = client.eras.changes

    async def run(self):
        """Write keys until cancelled."""
        outage = logs.OutageLogger(
            _log,
            'Publishing the quarantined requests failed: {}.',
            'The quarantined requests are published.',
        )
        while True:
            try:
                await self._publish_new()
                outage.end()
            except errors.StoreError as exc:
                outage.begin(exc)
            changes = await self.client.eras.sleep(
                self._changes, CHECK_PERIOD_S
            )
            if changes != self._changes:
                self._changes = changes
                self._published_until.clear()

    async def _publish_new(self):
        now = self.boottime()
        for fingerprint, left_s in self.quarantined.all_quarantined(now):
            until = now + left_s
            if self._is_published(fingerprint, until, now):
                continue
            if not self._is_writer(fingerprint):
                continue
            lease = await self.client.grant_lease(left_s)
            key = _documents.quarantine_key(fingerprint)
            value = _documents.dump_quarantine(left_s)
            await self.client.write(key, value, lease)
            self._published_until[fingerprint] = until
        self._evict_expired(now)

    def _is_published(self, fingerprint, until, now):
        """Return whether its key lasts nearly as long as its quarantine.

        It may end earlier by less than `RENEW_SHARE` of the full quarantine.
        """
        max_gap_s = quarantine.QUARANTINE_S * quarantine.RENEW_SHARE
        return until - self._published_until.get(fingerprint, now) < max_gap_s

    def _is_writer(self, fingerprint):
        names = sorted({*self.live_entries.names(), self.name})
        return self.name in rendezvous.rank(fingerprint, names)[:WRITER_COUNT]

    def _evict_expired(self, now):
        self._published_until = {
            fingerprint: until
            for fingerprint, until in self._published_until.items()
            if until > now
        }
