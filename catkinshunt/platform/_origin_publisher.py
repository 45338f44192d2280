"""Publishes the origin of weights in the store, for sidecars."""

from catkinshunt import errors
from catkinshunt import logs
from catkinshunt.platform import _documents
from catkinshunt import rendezvous

#: Entries that write the key, so that one of them may fail.
WRITER_COUNT = 2
#: Seconds between two checks whether the origin or the writers have changed.
CHECK_PERIOD_S = 2.0

_log = logs.get_logger('origin')


class OriginPublisher:
    """Keeps the origin's key equal to the origin in the configuration.

    Sidecars need only this part of the configuration. If all of them read a
    large one (1,700 rules) after a power loss, the links between regions are
    saturated for nine seconds. Entries get no configuration meanwhile and
    reject all requests.

    Args:
        client: `StoreClient`.
        catalog: `catalog.Catalog` with the declaration in force.
        live_entries: `catalog.LiveEntries`.
        name: name of this entry.
    """

    def __init__(self, client, catalog, live_entries, name):
        self.client = client
        self.catalog = catalog
        self.live_entries = live_entries
        self.name = name
        self._published = None
        self._changes = client.eras.changes

    async def run(self):
        """Keep the key up to date until cancelled."""
        outage = logs.OutageLogger(
            _log,
            'Publishing the origin failed: {}.',
            'The origin is published.',
        )
        while True:
            try:
                await self._publish_if_changed()
                outage.end()
            except errors.StoreError as exc:
                outage.begin(exc)
            changes = await self.client.eras.sleep(
                self._changes, CHECK_PERIOD_S
            )
            if changes != self._changes:
                self._changes = changes
                self._published = None

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
            _log.info('Published the origin {}.', origin.address)
        self._published = origin

    def _is_writer(self):
        names = sorted({*self.live_entries.names(), self.name})
        ranked = rendezvous.rank(_documents.ORIGIN_KEY, names)
        return self.name in ranked[:WRITER_COUNT]
