"""A sidecar's view of the store, with few calls."""

import asyncio
import math

from catkinshunt import errors
from catkinshunt import feed
from catkinshunt import logs
from catkinshunt.platform import _apply
from catkinshunt.platform import _documents
from catkinshunt import spread

#: Seconds that a watch for new versions waits. A sidecar needs no proof that
#: what it knows is the newest, so it waits long; all share the store's rate.
WATCH_TIMEOUT_S = 10.0
#: Pause after a call that failed, in seconds.
RETRY_PAUSE_S = 0.4
#: Seconds for which the list of members is used again.
MEMBERS_MAX_AGE_S = 1.5
#: Seconds for which the address of the origin is used again.
ORIGIN_MAX_AGE_S = 10.0
#: Seconds before a version is due from which on no request begins on the one
#: before: the time from a place to the first token, behind others.
EXPIRY_MARGIN_S = 0.6

_log = logs.get_logger('store')


class StoreView(spread.BaseClusterView):
    """Follows the named versions, and lists members when asked.

    Args:
        cfg: `InstanceSettings` of the sidecar.
        client: `StoreClient`.
        catalog: `catalog.Catalog` that is filled.
        wall: gives seconds on a clock that counts a suspend too.
        due_s: seconds after which a named version is needed.
    """

    def __init__(self, cfg, client, catalog, boottime, due_s):
        self.cfg = cfg
        self.client = client
        self.catalog = catalog
        self.boottime = boottime
        self.due_s = due_s
        self.regions = cfg.regions
        self._revision = None
        self._origin = None
        self._origin_read_at = -math.inf
        self._origin_outage = logs.Outage(
            _log,
            'Goes on with the origin known before: {}.',
            'The origin is looked up again.',
        )
        self._members_read_at = None
        self._list_outage = logs.Outage(
            _log,
            'Goes on with the members known before: {}.',
            'The members are listed again.',
        )

    async def run(self):
        """Follow the store until cancelled."""
        outage = logs.Outage(
            _log, 'The store is lost: {}.', 'The store is back.'
        )
        while True:
            try:
                await self._follow()
                outage.end()
            except feed.HistoryGoneError:
                self._revision = None
            except errors.StoreError as exc:
                outage.begin(exc)
                await asyncio.sleep(RETRY_PAUSE_S)

    async def _follow(self):
        first = self._revision is None
        if first:
            page = await self.client.read_prefix(_documents.VERSION_PREFIX)
        else:
            page = await self.client.watch(
                _documents.VERSION_PREFIX, self._revision, WATCH_TIMEOUT_S
            )
        for item in page.items:
            since = self.boottime() - (self.due_s if first else 0)
            _apply.apply_version(item, self.catalog, since, found=first)
        self._revision = page.revision

    def now(self):
        """See `spread.BaseClusterView.now`."""
        return self.boottime()

    async def origin(self):
        """Return the `catalog.Origin` in force, or None.

        Looked up when it is asked for, so by few members, and again now and
        then, since it may move.
        """
        now = self.boottime()
        if (
            self._origin is None
            or now - self._origin_read_at > ORIGIN_MAX_AGE_S
        ):
            await self._refresh_origin(now)
        return self._origin

    async def _refresh_origin(self, now):
        try:
            found = (
                await self._read_published_origin()
                or await self._read_configured_origin()
            )
        except errors.StoreError as exc:
            if self._origin is None:
                raise
            self._origin_outage.begin(exc)
            return
        self._origin_outage.end()
        self._origin = found
        self._origin_read_at = now

    async def _read_published_origin(self):
        """Return the origin that entries show by a key of its own."""
        page = await self.client.read_prefix(_documents.ORIGIN_KEY)
        for item in page.items:
            try:
                return _documents.parse_published_origin(item.value)
            except _documents.InvalidDocumentError as exc:
                _log.warning('Left aside {}: {}.', item.key, exc)
        return None

    async def _read_configured_origin(self):
        """Return the origin that the configuration names.

        A large one takes over two seconds where 15 processes read it over
        one link, so it is read only where no entry has shown the origin yet.
        """
        page = await self.client.read_prefix(_documents.CONFIGURATION_KEY)
        for item in page.items:
            if item.key == _documents.CONFIGURATION_KEY:
                _apply.apply_configuration(item, self.catalog)
        declaration = self.catalog.declaration
        return declaration.origin if declaration else None

    async def origin_connections(self):
        """See `spread.BaseClusterView.origin_connections`.

        Read from the key of the origin only: a large configuration that all
        members read at once would fill the links between regions.
        """
        if self._origin is None:
            try:
                self._origin = await self._read_published_origin()
            except errors.StoreError as exc:
                _log.warning('The connections of the origin: {}.', exc)
        return self._origin.max_connections if self._origin else None

    def origin_copy_s(self, size):
        """See `spread.BaseClusterView.origin_copy_s`."""
        # An origin that is not known yet is taken to be as fast as this link.
        known = self.cfg if self._origin is None else self._origin
        mbps = known.link_mbps
        return size / (mbps * spread.BYTES_PER_MBIT)

    def note_version(self, model, version):
        """See `spread.BaseClusterView.note_version`."""
        self.catalog.add_named_version(model, version, self.boottime())

    async def target_version(self, report):
        """See `spread.BaseClusterView.target_version`."""
        for model in self.catalog.named_models():
            named = self.catalog.newest_version(model)
            due_at = named.learned_at + self.due_s
            return spread.TargetVersion(model, named.version, due_at)
        # Before the store has told what is named, what others are listed with
        # may be a version that is no longer wanted. After a loss of power all
        # members fetched that one first, and the named one two seconds later.
        if report.versions or self._revision is None:
            return None
        return await self._newest_served_version()

    async def _newest_served_version(self):
        """Return the newest version that others serve, or None.

        Where the operator has named none, an added engine gets what the
        engines that were there from the begin hold.
        """
        served = [
            (version, model)
            for member in await self.members()
            for model, version in member.versions.items()
        ]
        if not served:
            return None
        version, model = max(served)
        return spread.TargetVersion(model, version, self.boottime())

    async def wait_for_version(self):
        """See `spread.BaseClusterView.wait_for_version`."""
        await self.catalog.wait_for_change()

    def superseded_at(self, model, version):
        """See `spread.BaseClusterView.superseded_at`."""
        newer = self.catalog.next_version(model, version)
        return (
            self.boottime() if newer is None else newer.learned_at + self.due_s
        )

    def expires_at(self, model, version):
        """See `spread.BaseClusterView.expires_at`."""
        newer = self.catalog.next_version(model, version)
        # How long ago a version was named that stood in the store at the
        # start is not known; others may still use the one before.
        if newer is None or newer.found:
            return math.inf
        return newer.learned_at + self.due_s - EXPIRY_MARGIN_S

    async def members(self):
        """See `spread.BaseClusterView.members`."""
        now = self.boottime()
        if (
            self._members_read_at is None
            or now - self._members_read_at > MEMBERS_MAX_AGE_S
        ):
            await self._refresh_members(now)
        listed = [
            upstream
            for upstream in self.catalog.members(self.cfg.service)
            if not upstream.leaving
        ]
        listed.sort(key=lambda upstream: upstream.started_at_ms)
        return [
            spread.Member(u.address[0], u.data_centre, u.versions or {})
            for u in listed
        ]

    async def _refresh_members(self, now):
        """Read the members; keep those known before while the store is away.

        A version that is named shortly before an outage of the store could
        otherwise not be fetched until its end, while all who have it live.
        """
        try:
            page = await self.client.read_prefix(_documents.UPSTREAM_PREFIX)
        except errors.StoreError as exc:
            if self._members_read_at is None:
                raise
            self._list_outage.begin(exc)
            return
        self._list_outage.end()
        self.catalog.replace_upstreams(
            _apply.parse_valid_upstreams(page.items), now
        )
        self._members_read_at = now
