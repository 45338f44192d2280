"""A sidecar's view of the store, with few calls."""

import asyncio

from catkinshunt import errors
from catkinshunt import logs
from catkinshunt.platform import _documents
from catkinshunt.platform import _store
from catkinshunt import spread

#: Seconds that a watch for new versions waits. A sidecar needs no proof that
#: what it knows is the newest, so it waits long; each watch is a priced call.
WATCH_S = 10.0
#: Keys that the operator writes.
OPERATOR_PREFIX = 'op/'
#: Pause after a call that failed, in seconds.
PAUSE_S = 0.4
#: Seconds for which the list of members is used again.
MEMBERS_S = 1.5
#: Share of the origin's connections that is used. After a loss of power the
#: origin still counts the connections of before, and a third is for members
#: that turn to it after others failed. With a half in use and kept open, 45
#: members were reset for 15 s after a loss of power, and nobody was served.
ORIGIN_SHARE = 0.33
BITS_PER_BYTE = 8
BITS_PER_MBIT = 1e6
#: Version that engines are at where the operator has named none.
FIRST_VERSION = 1

_log = logs.get_logger('store')


class StoreOutlook(spread.BaseOutlook):
    """Follows the named versions, and lists members when asked.

    Args:
        cfg: `NodeSettings` of the sidecar.
        client: `StoreClient`.
        catalog: `catalog.Catalog` that is filled.
        wall: gives seconds on a clock that counts a suspend too.
        due_s: seconds after which a named version is needed.
    """

    def __init__(self, cfg, client, catalog, wall, due_s):
        self.cfg = cfg
        self.client = client
        self.catalog = catalog
        self.wall = wall
        self.due_s = due_s
        self.regions = cfg.regions
        self._revision = None
        self._listed_at = None

    async def run(self):
        """Follow the store until cancelled."""
        lost = False
        while True:
            try:
                await self._follow()
                lost = False
            except _store.HistoryGoneError:
                self._revision = None
            except errors.StoreError as exc:
                if not lost:
                    _log.warning('The store is lost: {}.', exc)
                lost = True
                await asyncio.sleep(PAUSE_S)

    async def _follow(self):
        if self._revision is None:
            page = await self.client.read_prefix(OPERATOR_PREFIX)
        else:
            page = await self.client.watch(
                self._prefix(), self._revision, WATCH_S
            )
        first = self._revision is None
        for item in page.items:
            self._apply(item, self.wall() - (self.due_s if first else 0))
        self._revision = page.revision

    def _prefix(self):
        """Return what is watched: versions, once the services are known.

        One of 1,480 routes takes over two seconds on a shared link; several
        would fill the narrow link of the instance, and none of them is used.
        """
        if self.catalog.declaration is None:
            return OPERATOR_PREFIX
        return _documents.VERSION_PREFIX

    def _apply(self, item, since):
        if item.value is None:
            return
        try:
            if item.key == _documents.CONFIGURATION_KEY:
                self.catalog.declare(_documents.read_declaration(item.value))
            elif item.key.startswith(_documents.VERSION_PREFIX):
                model, version = _documents.read_version(item.value)
                self.catalog.name_version(model, version, since)
        except _documents.UnreadableError as exc:
            _log.error('Left aside {}: {}.', item.key, exc)

    def now(self):
        """See `spread.BaseOutlook.now`."""
        return self.wall()

    def profile(self):
        """See `spread.BaseOutlook.profile`."""
        declaration = self.catalog.declaration
        if declaration is None:
            return None
        service = declaration.services.get(self.cfg.service)
        return service.engine if service else None

    def origin(self):
        """Return the `catalog.Origin` in force, or None."""
        declaration = self.catalog.declaration
        return declaration.origin if declaration else None

    def most_owners(self):
        """See `spread.BaseOutlook.most_owners`."""
        origin = self.origin()
        if origin is None:
            return 1
        return max(1, int(origin.max_connections * ORIGIN_SHARE))

    def origin_copy_s(self):
        """See `spread.BaseOutlook.origin_copy_s`."""
        origin, profile = self.origin(), self.profile()
        if origin is None or profile is None:
            return 0.0
        size = profile.chunks * profile.chunk_bytes
        return size * BITS_PER_BYTE / (origin.link_mbps * BITS_PER_MBIT)

    def hear_of(self, model, version):
        """See `spread.BaseOutlook.hear_of`."""
        profile = self.profile()
        if profile is not None and model in profile.models:
            self.catalog.name_version(model, version, self.wall())

    async def wanted(self, report):
        """See `spread.BaseOutlook.wanted`."""
        profile = self.profile()
        if profile is None or not profile.models or not profile.chunks:
            return None
        model = profile.models[0]
        named = self.catalog.newest_version(model)
        if named is not None:
            due_at = named.since + self.due_s
            return spread.Wanted(model, named.version, due_at)
        if report.versions.get(model):
            return None
        return spread.Wanted(model, FIRST_VERSION, self.wall())

    async def wait_for_version(self):
        """See `spread.BaseOutlook.wait_for_version`."""
        await self.catalog.wait_for_change()

    def due_after(self, model, version):
        """See `spread.BaseOutlook.due_after`."""
        since = self.catalog.named_after(model, version)
        return self.wall() if since is None else since + self.due_s

    async def members(self):
        """See `spread.BaseOutlook.members`."""
        now = self.wall()
        if self._listed_at is None or now - self._listed_at > MEMBERS_S:
            page = await self.client.read_prefix(_documents.UPSTREAM_PREFIX)
            self.catalog.replace_upstreams(list(_read_all(page.items)), now)
            self._listed_at = now
        listed = [
            upstream
            for upstream in self.catalog.members(self.cfg.service)
            if not upstream.leaving
        ]
        listed.sort(key=lambda upstream: upstream.born)
        return [
            spread.Member(u.address[0], u.data_centre, u.versions or {})
            for u in listed
        ]


def _read_all(items):
    for item in items:
        name = item.key.removeprefix(_documents.UPSTREAM_PREFIX)
        try:
            yield _documents.read_upstream(name, item.value)
        except _documents.UnreadableError as exc:
            _log.warning('Left aside the entry {}: {}.', item.key, exc)
