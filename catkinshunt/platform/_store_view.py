"""A sidecar's view of the store, read with few calls."""

import asyncio
import math

from catkinshunt import errors
from catkinshunt import logs
from catkinshunt.platform import _apply
from catkinshunt.platform import _documents
from catkinshunt import spread
from catkinshunt import watch_relay

#: Wait of a watch for new versions. It is long because a sidecar needs no
#: confirmation that its state is current, and all processes share the store's
#: rate limit.
WATCH_TIMEOUT_S = 10.0
#: Pause after a failed call.
RETRY_PAUSE_S = 0.4
#: Time for which the list of members is cached.
MEMBERS_MAX_AGE_S = 1.5
#: Time for which the origin is cached.
ORIGIN_MAX_AGE_S = 10.0
#: No request begins on the previous version this long before a version is due.
#: The margin covers the time from the grant of a permit (see `permits`) to the
#: first token, behind other requests.
EXPIRY_MARGIN_S = 0.6

_log = logs.get_logger('store')


class StoreView(spread.BaseClusterView):
    """Watches announced versions; reads members and the origin on demand.

    The members are the upstreams of the sidecar's own service that are not
    leaving; they transfer chunks to each other.

    Args:
        cfg: `InstanceSettings` of the sidecar.
        client: `StoreClient`.
        catalog: `catalog.Catalog` to update.
        boottime: returns seconds on a clock that includes suspends.
        version_grace_s: seconds from the announcement of a version until it
            is due.
        wake_log: `wake_log.WakeLog` on the same clock.
    """

    def __init__(
        self, cfg, client, catalog, boottime, version_grace_s, wake_log
    ):
        self.cfg = cfg
        self.client = client
        self.catalog = catalog
        self.boottime = boottime
        self.version_grace_s = version_grace_s
        self.wake_log = wake_log
        self.regions = cfg.regions
        self._revision = None
        self._has_read = False
        self._origin = None
        self._origin_read_at = -math.inf
        self._origin_outage = logs.OutageLogger(
            _log,
            'Reading the origin failed, using the cached one: {}.',
            'The origin can be read again.',
        )
        self._members_read_at = None
        self._members_outage = logs.OutageLogger(
            _log,
            'Reading the members failed, using the cached ones: {}.',
            'The members can be read again.',
        )

    async def run(self):
        """Watch the announced versions until cancelled."""
        outage = logs.OutageLogger(
            _log,
            'The store is unreachable: {}.',
            'The store is reachable again.',
        )
        while True:
            try:
                await self._read_or_watch()
                outage.end()
            except watch_relay.EraChangedError as exc:
                _log.warning(
                    'The store has come back in era {} and may have lost its '
                    'latest changes; reading the versions again.',
                    exc.era,
                    era_before=self._revision.era,
                    revision_before=self._revision.number,
                )
                self._revision = None
            except watch_relay.HistoryGoneError:
                self._revision = None
            except errors.StoreError as exc:
                outage.begin(exc)
                await asyncio.sleep(RETRY_PAUSE_S)
            except Exception:
                # A watch from the same revision could fail again and again.
                self._revision = None
                raise

    async def _read_or_watch(self):
        first = not self._has_read
        if self._revision is None:
            page = await self.client.read_prefix(_documents.VERSION_PREFIX)
        else:
            page = await self.client.watch(
                _documents.VERSION_PREFIX, self._revision, WATCH_TIMEOUT_S
            )
        for item in page.items:
            # When a version that the first read finds was announced is not
            # known; it counts as due at once.
            announced_after = self._arrived_after() - (
                self.version_grace_s if first else 0
            )
            _apply.apply_version(
                item,
                self.catalog,
                announced_after,
                self.boottime(),
                found=first,
            )
        self._revision = page.revision
        self._has_read = True

    def _arrived_after(self):
        return self.wake_log.arrived_after(self.boottime())

    def now(self):
        """See `spread.BaseClusterView.now`."""
        return self.boottime()

    async def origin(self):
        """Return the `catalog.Origin` in force, or None.

        It is read on demand, since few members need it, and read again after
        `ORIGIN_MAX_AGE_S`, since its address may change.
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
            origin = (
                await self._read_published_origin()
                or await self._read_configured_origin()
            )
        except errors.StoreError as exc:
            if self._origin is None:
                raise
            self._origin_outage.begin(exc)
            return
        self._origin_outage.end()
        self._origin = origin
        self._origin_read_at = now

    async def _read_published_origin(self):
        """Return the origin in the key that entries write, or None."""
        page = await self.client.read_prefix(_documents.ORIGIN_KEY)
        for item in page.items:
            try:
                return _documents.parse_published_origin(item.value)
            except _documents.InvalidDocumentError as exc:
                _log.warning('Ignored the invalid item {}: {}.', item.key, exc)
        return None

    async def _read_configured_origin(self):
        """Return the origin in the configuration, or None.

        Only used while no entry has published the origin: a large
        configuration takes over two seconds when 15 processes read it over
        one link.
        """
        page = await self.client.read_prefix(_documents.CONFIGURATION_KEY)
        for item in page.items:
            if item.key == _documents.CONFIGURATION_KEY:
                _apply.apply_configuration(item, self.catalog)
        declaration = self.catalog.declaration
        return declaration.origin if declaration else None

    async def origin_connections(self):
        """See `spread.BaseClusterView.origin_connections`.

        Read from the origin's key only: a large configuration that all
        members read at once would saturate the links between regions.
        """
        if self._origin is None:
            try:
                self._origin = await self._read_published_origin()
            except errors.StoreError as exc:
                _log.warning(
                    'Reading the connections of the origin failed: {}.', exc
                )
        return self._origin.max_connections if self._origin else None

    def origin_copy_s(self, size):
        """See `spread.BaseClusterView.origin_copy_s`."""
        # Until the origin is read, assume the bandwidth of this instance.
        link = self.cfg if self._origin is None else self._origin
        mbps = link.link_mbps
        return size / (mbps * spread.BYTES_PER_MBIT)

    def note_version(self, model, version):
        """See `spread.BaseClusterView.note_version`."""
        self.catalog.add_announced_version(
            model, version, self._arrived_after()
        )

    async def target_version(self, report):
        """See `spread.BaseClusterView.target_version`."""
        targets = [
            self._announced_target(model)
            for model in await self._announced_models(report)
        ]
        if targets:
            # With several models, one version is fetched after the other.
            return min(
                targets,
                key=lambda target: (
                    report.versions.get(target.model) == target.version,
                    target.due_at,
                ),
            )
        # Until the announced versions are read, the version of other members
        # may be outdated. After a power loss all members would fetch that one
        # first, and the announced one two seconds later.
        if report.versions or self._revision is None:
            return None
        return await self._newest_served_version()

    def _announced_target(self, model):
        announced = self.catalog.newest_version(model)
        due_at = announced.announced_after + self.version_grace_s
        return spread.TargetVersion(model, announced.version, due_at)

    async def _announced_models(self, report):
        """Return the models with an announced version that the engine serves.

        Engines of other services serve other models.
        """
        announced = self.catalog.announced_models()
        if len(announced) < 2:
            return announced
        try:
            known = await self._service_models()
        except errors.StoreError as exc:
            self._origin_outage.begin(exc)
            known = ()
        known = known or report.versions
        return [model for model in announced if model in known] or announced

    async def _service_models(self):
        origin = await self.origin()
        return origin.models.get(self.cfg.service, ()) if origin else ()

    async def _newest_served_version(self):
        """Return the newest version that other members serve, or None.

        If the operator has announced no version, an added engine loads the one
        that the existing engines serve.
        """
        served = [
            (version, model)
            for member in await self.members()
            for model, version in member.versions.items()
        ]
        if not served:
            return None
        # The highest version number, whichever the model.
        version, model = max(served)
        return spread.TargetVersion(model, version, self.boottime())

    async def unannounced_models(self):
        """See `spread.BaseClusterView.unannounced_models`."""
        if self._revision is None or self.catalog.announced_models():
            return ()
        return await self._service_models()

    async def wait_for_version(self):
        """See `spread.BaseClusterView.wait_for_version`."""
        await self.catalog.wait_for_change()

    def superseded_at(self, model, version):
        """See `spread.BaseClusterView.superseded_at`.

        Returns the current time if no newer version is announced.
        """
        newer = self.catalog.next_version(model, version)
        return (
            self.boottime()
            if newer is None
            else newer.announced_after + self.version_grace_s
        )

    def expires_at(self, model, version):
        """See `spread.BaseClusterView.expires_at`."""
        newer = self.catalog.next_version(model, version)
        if newer is None:
            return math.inf
        due_at = newer.announced_after + self.version_grace_s
        if newer.found:
            # It may have been announced just before the first read, and counts
            # from earlier only so that it is loaded at once. Other sidecars
            # may still use the previous one.
            due_at += self.version_grace_s
        return due_at - EXPIRY_MARGIN_S

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
        """Read the members; keep the cached ones if the store is unreachable.

        Otherwise a version that is announced shortly before an outage of the
        store could not be fetched until the outage ends, although all members
        that have it are alive.
        """
        try:
            page = await self.client.read_prefix(_documents.UPSTREAM_PREFIX)
        except errors.StoreError as exc:
            if self._members_read_at is None:
                raise
            self._members_outage.begin(exc)
            return
        self._members_outage.end()
        self.catalog.replace_upstreams(
            _apply.parse_valid_upstreams(page.items), now
        )
        self._members_read_at = now
