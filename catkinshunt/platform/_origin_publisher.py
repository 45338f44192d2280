"""Shows in the store where the origin of weights is, for sidecars."""

import asyncio

from catkinshunt import errors
from catkinshunt import logs
from catkinshunt.platform import _documents
from catkinshunt import rendezvous

#: Entries that see to the key; one of them may die meanwhile.
WRITER_COUNT = 2
#: Seconds between two looks whether the origin or the writers have changed.
CHECK_PERIOD_S = 2.0

_log = logs.get_logger('origin')


class OriginPublisher:
    """Keeps the key that shows the origin as the configuration names it.

    A sidecar needs no more of the configuration than this. A large one
    (1,700 rules) read by all of them after a loss of power filled the links
    between regions for nine seconds, in which entries had no configuration
    either and refused everything.

    Args:
        client: `StoreClient`.
        catalog: `catalog.Catalog` with the declaration in force.
        roster: `catalog.LiveEntries` of the entries.
        name: name of this entry.
    """

    def __init__(self, client, catalog, live_entries, name):
        self.client = client
        self.catalog = catalog
        self.live_entries = live_entries
        self.name = name
        self._published = None

    async def run(self):
        """Keep the key right until cancelled."""
        outage = logs.Outage(
            _log, 'The origin is not shown: {}.', 'The origin is shown.'
        )
        while True:
            try:
                await self._publish_if_changed()
                outage.end()
            except errors.StoreError as exc:
                outage.begin(exc)
            await asyncio.sleep(CHECK_PERIOD_S)

    async def _publish_if_changed(self):
        declaration = self.catalog.declaration
        origin = declaration.origin if declaration else None
        if (
            origin is None
            or origin == self._published
            or not self._is_writer()
        ):
            return
        value = _documents.dump_origin(origin)
        page = await self.client.read_prefix(_documents.ORIGIN_KEY)
        if all(item.value != value for item in page.items):
            await self.client.write(_documents.ORIGIN_KEY, value)
            _log.info('Shows the origin {}.', origin.address)
        self._published = origin

    def _is_writer(self):
        names = sorted({*self.live_entries.names(), self.name})
        ranked = rendezvous.rank(_documents.ORIGIN_KEY, names)
        return self.name in ranked[:WRITER_COUNT]
