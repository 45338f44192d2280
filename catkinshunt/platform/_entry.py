"""Runs an entry as a process of the platform."""

import asyncio
import contextlib
import random
import time

from catkinshunt import availability
from catkinshunt import catalog as catalogs
from catkinshunt import dispatch
from catkinshunt import gateway
from catkinshunt import http1
from catkinshunt import logs
from catkinshunt import metrics
from catkinshunt import permits
from catkinshunt.platform import _background
from catkinshunt.platform import _cache_updater
from catkinshunt.platform import _clocks
from catkinshunt.platform import _dialect
from catkinshunt.platform import _documents
from catkinshunt.platform import _origin_publisher
from catkinshunt.platform import _pending_publisher
from catkinshunt.platform import _process
from catkinshunt.platform import _quarantine_publisher
from catkinshunt.platform import _registration
from catkinshunt.platform import _signals
from catkinshunt.platform import _suspect_publisher
from catkinshunt import quarantine
from catkinshunt import rate_limits
from catkinshunt import retries
from catkinshunt import wake_log
from catkinshunt import watch_relay

#: Share of `Bounds.revoke_s` for which API keys are trusted after the cached
#: state was last confirmed. The rest covers the transit of a request and the
#: time between two watches.
KEY_TRUST_SHARE = 0.7
#: Share of `Bounds.retry_ratio` that entries use. The ratio is measured over
#: windows of time; the rest covers windows that fall between two bursts.
RETRY_RATIO_SHARE = 0.7
#: Share of `Bounds.retry_slack` that entries use. The rest covers an entry
#: that restarts, since its retry budget is full again.
RETRY_SLACK_SHARE = 0.8
#: Longest time between two updates of the retry burst, the largest number of
#: retries that this entry may send at once. `retries.RetryBurstShare` keeps a
#: larger count of entries for some time, so the burst grows some time after
#: the number of entries has fallen, without a change of the live entries.
RETRY_BURST_PERIOD_S = 10.0
#: Part of the time between SIGTERM and SIGKILL that is kept for cancelling the
#: remaining requests and writing the last log lines.
STOP_MARGIN_S = 1.0
#: Entries treat a version as due this long before `Bounds.version_s` is over.
#: The margin covers the transit of a request over a busy link and its time in
#: a queue. A request that has not begun by then is cancelled, but the
#: cancellation needs time in transit too.
VERSION_MARGIN_S = 0.75
#: Seconds between two evictions of the state of upstreams that are gone.
EVICTION_PERIOD_S = 10.0

_log = logs.get_logger('entry')


async def run(cfg):
    """Serve as an entry until SIGTERM has been handled.

    Args:
        cfg: `InstanceSettings`.
    """
    stop = _signals.install_signal_handlers()
    registry = metrics.Registry()
    live_entries = catalogs.LiveEntries()
    context = make_context(cfg, registry, live_entries)
    await context.permit_client.start(cfg.ip)
    wakes = wake_log.WakeLog(_clocks.boottime)
    gossip = make_gossip(cfg, live_entries, context.random, wakes)
    await gossip.start(cfg.ip)
    context.guard = quarantine.Guard(
        gossip, lambda service: len(context.catalog.members(service))
    )
    limit_gossip = make_rate_limit_gossip(cfg, live_entries, context)
    context.rate_limit_gossip = await limit_gossip.start(cfg.ip)
    leave_gossip = make_leave_gossip(cfg, live_entries, context, wakes)
    context.leave_gossip = await leave_gossip.start(cfg.ip)
    budget = _process.make_caller_budget(cfg, registry)
    server = gateway.Gateway(context, budget)
    await server.start(*cfg.frontend_address)
    register_gauges(registry, server, context)
    readiness = http1.Listener(
        http1.make_session(_readiness_handler(server)),
        _clocks.monotonic,
        budget=budget,
    )
    await readiness.start(*cfg.ready_address)
    await _process.serve_metrics(cfg, registry, budget)
    client = _process.make_store_client(cfg, registry)
    source = make_watch_source(cfg, client, live_entries)
    await watch_relay.WatchRelayServer(
        source, _clocks.boottime, _clocks.monotonic, budget
    ).start(cfg.ip, _process.watch_relay_port(cfg))
    updater = make_cache_updater(
        cfg, source, context, live_entries, client.eras
    )
    location = catalogs.EntryLocation(cfg.ip, _region_of(cfg))
    registration = _registration.Registration(
        client, live_entries, cfg.name, location
    )
    pending = _pending_publisher.PendingPublisher(
        client,
        context.catalog,
        live_entries,
        cfg.name,
        context.version_grace_s,
        _clocks.boottime,
    )
    origin = _origin_publisher.OriginPublisher(
        client, context.catalog, live_entries, cfg.name
    )
    quarantined = _quarantine_publisher.QuarantinePublisher(
        client, gossip.quarantine, live_entries, cfg.name, _clocks.boottime
    )
    suspects = _suspect_publisher.SuspectPublisher(
        client,
        gossip.quarantine,
        live_entries,
        cfg.name,
        _clocks.boottime,
        time.time,
    )
    loops = _background.make_background_loops(registry)
    for name, loop in (
        ('updater', updater.run),
        ('registration', registration.run),
        ('pending', pending.run),
        ('origin', origin.run),
        ('gossip', gossip.run),
        ('gossip_state', gossip.request_state),
        ('limit_gossip', limit_gossip.run),
        ('leave_gossip', leave_gossip.run),
        ('wakes', wakes.run),
        ('quarantined', quarantined.run),
        ('suspects', suspects.run),
        (
            'retry_burst',
            lambda: _update_retry_burst(cfg, context, live_entries),
        ),
        ('eviction', lambda: _evict_gone_upstreams(context)),
    ):
        loops.start(name, loop)
    _log.info('Started entry {}.', cfg.name, data_centre=cfg.data_centre)
    await stop.wait()
    await stop_serving(
        server, registration, cfg.bounds.grace_s - STOP_MARGIN_S
    )
    loops.cancel()
    _log.info('Ended entry {}.', cfg.name)


async def stop_serving(server, registration, grace_s):
    """Drain the server, and deregister the entry at the same time.

    Deregistering afterwards could take two seconds while the store is
    unreachable. That is more than `STOP_MARGIN_S`, so the process would be
    killed before its last log lines are written.
    """
    deregistration = asyncio.ensure_future(registration.deregister())
    try:
        await server.stop(grace_s)
    finally:
        deregistration.cancel()


def make_context(cfg, registry, live_entries):
    """Return the `gateway.Context` of an entry."""
    bounds = cfg.bounds
    rng = random.Random()
    catalog = catalogs.Catalog(
        key_trust_s=bounds.revoke_s * KEY_TRUST_SHARE,
        # A cached configuration older than this may lack a rule in force.
        absence_trust_s=bounds.config_s,
    )
    return gateway.Context(
        catalog=catalog,
        dialect=_dialect.PlatformDialect(),
        chooser=dispatch.Chooser(cfg.data_centre, cfg.regions, cfg.name),
        clock=_clocks.monotonic,
        boot_clock=_clocks.boottime,
        retry_ratio=bounds.retry_ratio * RETRY_RATIO_SHARE,
        # The initial value; `_update_retry_burst` adjusts it.
        retry_burst=make_burst_share(cfg).burst_at(_clocks.monotonic()),
        random=rng,
        metrics=gateway.GatewayMetrics(registry),
        permit_client=permits.PermitClient(
            _process.permit_port(cfg), _clocks.monotonic, rng
        ),
        rate_limiter=rate_limits.RateLimiter(
            cfg.name, live_entries, catalog, rng
        ),
        availability=availability.AvailabilityTable(
            cfg.name, _clocks.unix_offset()
        ),
        version_grace_s=bounds.version_s - VERSION_MARGIN_S,
    )


def make_burst_share(cfg):
    """Return the `retries.RetryBurstShare` of an entry."""
    return retries.RetryBurstShare(cfg.bounds.retry_slack * RETRY_SLACK_SHARE)


async def _update_retry_burst(cfg, context, live_entries):
    """Keep the retry burst at this entry's share among the live entries."""
    share = make_burst_share(cfg)
    while True:
        now = _clocks.monotonic()
        share.observe(len(live_entries.names()), now)
        context.set_retry_burst(share.burst_at(now))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RETRY_BURST_PERIOD_S):
                await live_entries.wait_for_change()


async def _evict_gone_upstreams(context):
    """Evict the state of upstreams that are gone, periodically."""
    while True:
        await asyncio.sleep(EVICTION_PERIOD_S)
        context.forget(context.catalog.all_upstreams())


def register_gauges(registry, server, context):
    """Register the gauges of an entry; they are read at each scrape."""
    catalog = context.catalog

    def revision():
        return catalog.declaration.revision if catalog.declaration else 0

    registry.gauge(
        'requests_in_progress',
        'Requests that are being answered.',
        lambda: server.in_progress,
    )
    # 1 if the readiness check answers 200.
    registry.gauge(
        'ready', 'Whether the balancer is told so.', server.is_ready
    )
    registry.gauge(
        'configuration_revision', 'Revision in force; 0 for none.', revision
    )
    registry.gauge(
        'catalog_age_seconds',
        'Time since the state was known to be the newest; -1 for never.',
        lambda: _age_or_minus_one(catalog.age_s(_clocks.boottime())),
    )
    registry.gauge(
        'upstreams',
        'Upstreams by service and state.',
        catalog.count_upstreams,
        ('service', 'state'),
    )
    registry.gauge(
        'quarantined_requests',
        'Requests that are not run, since upstreams crashed under them.',
        lambda: context.guard.count_quarantined() if context.guard else 0,
    )
    registry.gauge(
        'upstream_rate_limit',
        'Requests per second that an upstream accepts from all entries.',
        context.rate_limiter.table.values_by_id,
        ('upstream',),
    )
    registry.gauge(
        'upstream_leaving',
        'Upstreams that have stated that they leave.',
        context.availability.leaving_by_id,
        ('upstream',),
    )
    registry.gauge(
        'upstream_back_off_seconds',
        'Time for which an upstream wants no more requests of this entry.',
        lambda: context.availability.back_offs_by_id(_clocks.boottime()),
        ('upstream',),
    )
    registry.gauge(
        'retry_budget_tokens',
        'Further tries that are allowed now.',
        context.retry_budget_tokens,
        ('service',),
    )


def _age_or_minus_one(age_s):
    return -1.0 if age_s is None else age_s


def _region_of(cfg):
    return cfg.regions.get(cfg.data_centre, cfg.data_centre)


def make_watch_source(cfg, client, live_entries):
    """Return the `watch_relay.RegionalWatchSource` of an entry."""

    def make_peer(host, must_be_direct):
        return watch_relay.PeerWatchSource(
            host,
            _process.watch_relay_port(cfg),
            _clocks.monotonic,
            _clocks.boottime,
            must_be_direct,
        )

    return watch_relay.RegionalWatchSource(
        client,
        live_entries,
        cfg.name,
        _region_of(cfg),
        make_peer,
        _clocks.boottime,
        _documents.WATCHED_PREFIXES,
    )


def make_gossip(cfg, live_entries, random, wakes):
    """Return the `quarantine.Gossip` of an entry."""
    return quarantine.Gossip(
        _suspect_publisher.ObservedQuarantine(),
        live_entries,
        cfg.name,
        _process.gossip_port(cfg),
        _clocks.boottime,
        random,
        wakes,
    )


def make_rate_limit_gossip(cfg, live_entries, context):
    """Return the `rate_limits.RateLimitGossip` of an entry."""
    return rate_limits.RateLimitGossip(
        context.rate_limiter,
        live_entries,
        cfg.name,
        _process.rate_limit_port(cfg),
        _clocks.boottime,
        context.random,
    )


def make_leave_gossip(cfg, live_entries, context, wakes):
    """Return the `availability.LeaveGossip` of an entry."""
    return availability.LeaveGossip(
        context.availability,
        live_entries,
        cfg.name,
        _process.availability_port(cfg),
        _clocks.boottime,
        context.random,
        wakes,
    )


def make_cache_updater(cfg, source, context, live_entries, eras):
    """Return the `CacheUpdater` that updates the catalog of `context`."""
    return _cache_updater.CacheUpdater(
        source,
        context.catalog,
        live_entries,
        _clocks.boottime,
        context.random,
        context.guard.gossip.quarantine,
        eras,
        context.record_leave,
        cfg.heartbeat_s,
    )


def _readiness_handler(server):
    async def handle(req):
        return http1.Reply(200 if server.is_ready() else 503)

    return handle
