"""The entry as a process of the platform."""

import asyncio
import contextlib
import random

from catkinshunt import catalog as catalogs
from catkinshunt import dispatch
from catkinshunt import feed
from catkinshunt import gateway
from catkinshunt import http1
from catkinshunt import logs
from catkinshunt import metrics
from catkinshunt import places
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
from catkinshunt import quarantine
from catkinshunt import retries

#: Share of the time in which a key that was taken away may still be served
#: for which word from the store counts as fresh. The rest covers the way of
#: a request and the time between two watches.
KEY_TRUST_SHARE = 0.7
#: Share of the allowed retries that entries use, for windows that fall
#: between two bursts.
RETRY_RATIO_SHARE = 0.7
#: Share of the retries beyond the ratio that entries use, for one that has
#: just started again with a full budget.
RETRY_SLACK_SHARE = 0.8
#: Seconds between two looks at the share of the retries, which grows when a
#: larger number of entries is long past.
RETRY_BURST_PERIOD_S = 10.0
#: Seconds kept back from the time between the signal to stop and the kill, for
#: ending what is left and the last log lines.
STOP_MARGIN_S = 1.0
#: Seconds before the bound at which a version is due. It covers the time
#: until its name is learnt, the way of a request over a busy link and its
#: time in a queue. One that has not begun by then is taken back, but that too
#: takes its time on the way.
VERSION_MARGIN_S = 0.75
#: Seconds between two removals of what upstreams that are gone left behind.
EVICTION_PERIOD_S = 10.0

_log = logs.get_logger('entry')


async def run(cfg):
    """Serve as an entry until the signal to stop has been obeyed.

    Args:
        cfg: `InstanceSettings`.
    """
    stop = _signals.install_signal_handlers()
    registry = metrics.Registry()
    context = make_context(cfg, registry)
    await context.permit_client.start(cfg.ip)
    live_entries = catalogs.LiveEntries()
    gossip = make_gossip(cfg, live_entries, context.random)
    await gossip.start(cfg.ip)
    context.guard = quarantine.Guard(gossip)
    server = await gateway.Gateway(context).start(*cfg.frontend_address)
    register_gauges(registry, server, context)
    ready = http1.Listener(
        http1.answer_with(_readiness_handler(server)), _clocks.monotonic
    )
    await ready.start(*cfg.ready_address)
    await _process.serve_metrics(cfg, registry)
    client = _process.make_store_client(cfg, registry)
    followed = make_feed(cfg, client, live_entries)
    await feed.WatchRelayServer(
        followed, _clocks.boottime, _clocks.monotonic
    ).start(cfg.ip, _process.feed_port(cfg))
    mirror = make_cache_updater(followed, context, live_entries)
    home = catalogs.EntryLocation(cfg.ip, _region_of(cfg))
    member = _registration.Registration(client, live_entries, cfg.name, home)
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
    barred = _quarantine_publisher.QuarantinePublisher(
        client, gossip.quarantine, live_entries, cfg.name, _clocks.boottime
    )
    tasks = [
        asyncio.ensure_future(work)
        for work in (
            mirror.run(),
            member.run(),
            pending.run(),
            origin.run(),
            gossip.run(),
            barred.run(),
            _update_retry_burst(cfg, context, live_entries),
            _evict_gone_upstreams(context),
        )
    ]
    _log.info('Started entry {}.', cfg.name, data_centre=cfg.data_centre)
    await stop.wait()
    await stop_serving(server, member, cfg.bounds.grace_s - STOP_MARGIN_S)
    for task in tasks:
        task.cancel()
    _log.info('Ended entry {}.', cfg.name)


async def stop_serving(server, member, grace_s):
    """Answer what is in progress, and end the lease meanwhile.

    Waited for at the end, a store out of reach would hold the process for
    two seconds more, beyond the one that is kept back, and it would be
    killed with its last log lines unwritten.
    """
    leaving = asyncio.ensure_future(member.deregister())
    try:
        await server.stop(grace_s)
    finally:
        leaving.cancel()


def make_context(cfg, registry):
    """Return the `gateway.Context` of an entry with these settings."""
    bounds = cfg.bounds
    rng = random.Random()
    return gateway.Context(
        catalog=catalogs.Catalog(
            key_trust_s=bounds.revoke_s * KEY_TRUST_SHARE,
            absence_trust_s=bounds.config_s,
        ),
        dialect=_dialect.PlatformDialect(),
        chooser=dispatch.Chooser(cfg.data_centre, cfg.regions, cfg.name),
        clock=_clocks.monotonic,
        wall=_clocks.boottime,
        retry_ratio=bounds.retry_ratio * RETRY_RATIO_SHARE,
        retry_burst=make_burst_share(cfg).choose(_clocks.monotonic()),
        random=rng,
        metrics=gateway.GatewayMetrics(registry),
        permit_client=places.PlaceClient(
            _process.permit_port(cfg), _clocks.monotonic, rng
        ),
        version_grace_s=bounds.version_s - VERSION_MARGIN_S,
    )


def make_burst_share(cfg):
    """Return the `retries.BurstShare` of an entry with these settings."""
    return retries.BurstShare(cfg.bounds.retry_slack * RETRY_SLACK_SHARE)


async def _update_retry_burst(cfg, context, live_entries):
    """Bound the retries to what is left for one of the entries alive."""
    share = make_burst_share(cfg)
    while True:
        now = _clocks.monotonic()
        share.see(len(live_entries.names()), now)
        context.set_retry_burst(share.choose(now))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RETRY_BURST_PERIOD_S):
                await live_entries.wait_for_change()


async def _evict_gone_upstreams(context):
    """Drop what is kept of upstreams that are gone, now and then."""
    while True:
        await asyncio.sleep(EVICTION_PERIOD_S)
        context.forget(context.catalog.all_upstreams())


def register_gauges(registry, server, context):
    """Show what the entry knows and holds at each scrape."""
    catalog = context.catalog

    def revision():
        return catalog.declaration.revision if catalog.declaration else 0

    registry.gauge(
        'requests_in_progress',
        'Requests that are being answered.',
        lambda: server.in_progress,
    )
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
        'retry_budget_tokens',
        'Further tries that are allowed now.',
        context.retry_budget_tokens,
        ('service',),
    )


def _age_or_minus_one(age_s):
    return -1.0 if age_s is None else age_s


def _region_of(cfg):
    return cfg.regions.get(cfg.data_centre, cfg.data_centre)


def make_feed(cfg, client, live_entries):
    """Return the `feed.RegionalWatchSource` of an entry with these settings."""

    def make_peer(host, must_be_direct):
        return feed.PeerWatchSource(
            host,
            _process.feed_port(cfg),
            _clocks.monotonic,
            _clocks.boottime,
            must_be_direct,
        )

    return feed.RegionalWatchSource(
        client,
        live_entries,
        cfg.name,
        _region_of(cfg),
        make_peer,
        _clocks.boottime,
        _documents.WATCHED_PREFIXES,
    )


def make_gossip(cfg, live_entries, random):
    """Return the `quarantine.Gossip` of an entry with these settings."""
    return quarantine.Gossip(
        quarantine.Quarantine(),
        live_entries,
        cfg.name,
        _process.gossip_port(cfg),
        _clocks.boottime,
        random,
    )


def make_cache_updater(client, context, live_entries):
    """Return the `CacheUpdater` that feeds the catalog of `context`."""
    return _cache_updater.CacheUpdater(
        client,
        context.catalog,
        live_entries,
        _clocks.boottime,
        context.random,
        context.guard.gossip.quarantine,
    )


def _readiness_handler(server):
    async def handle(req):
        return http1.Reply(200 if server.is_ready() else 503)

    return handle
