"""Runs a sidecar as a process of the platform."""

from catkinshunt import catalog as catalogs
from catkinshunt import logs
from catkinshunt import metrics
from catkinshunt import permits
from catkinshunt.platform import _background
from catkinshunt.platform import _clocks
from catkinshunt.platform import _engine
from catkinshunt.platform import _process
from catkinshunt.platform import _signals
from catkinshunt.platform import _store_view
from catkinshunt import spread
from catkinshunt import wake_log

_log = logs.get_logger('sidecar')


async def run(cfg):
    """Serve as the sidecar of one engine until SIGTERM.

    Args:
        cfg: `InstanceSettings`.
    """
    stop = _signals.install_signal_handlers()
    registry = metrics.Registry()
    loops = _background.make_background_loops(registry)
    budget = _process.make_caller_budget(cfg, registry)
    is_ready = await _start_services(cfg, registry, loops, budget)
    await _process.serve_metrics(cfg, registry, budget, is_ready)
    _log.info('Started sidecar {}.', cfg.name, engine=cfg.engine_address)
    await stop.wait()
    loops.cancel()
    _log.info('Ended sidecar {}.', cfg.name)


def make_permit_server():
    """Return the `permits.PermitServer` of a sidecar."""
    # On this clock, the version of the engine also expires during a suspend.
    return permits.PermitServer(permits.PermitAllocator(), _clocks.boottime)


async def _start_services(cfg, registry, loops, budget):
    """Start the services for the engine, if any.

    Returns:
        A function that returns whether they work.
    """
    if cfg.engine_address is None:
        return lambda: True
    version_store = spread.VersionStore()
    byte_counter = register_metrics(registry, version_store)
    wakes = wake_log.WakeLog(_clocks.boottime)
    view = _store_view.StoreView(
        cfg,
        _process.make_store_client(cfg, registry),
        catalogs.Catalog(),
        _clocks.boottime,
        cfg.bounds.version_s,
        wakes,
    )
    permit_server = make_permit_server()
    await permit_server.start(cfg.ip, _process.permit_port(cfg))
    chunk_port = _process.chunk_port(cfg)
    agent = spread.Agent(
        spread.Member(cfg.ip, cfg.data_centre),
        view,
        _engine.PlatformEngine(
            cfg.engine_address, _clocks.monotonic, _clocks.boottime
        ),
        _engine.PlatformOrigin(
            view.origin, _clocks.monotonic, _clocks.boottime
        ),
        spread.PeerClient(chunk_port, _clocks.monotonic, name=cfg.ip),
        version_store,
        _clocks.monotonic,
        cfg.link_mbps,
        byte_counter,
        permit_server,
    )
    register_agent_metrics(registry, agent)
    server = spread.ChunkServer(
        version_store,
        _clocks.monotonic,
        cfg.link_mbps,
        byte_counter,
        agent.on_chunk_request,
        budget,
    )
    await server.start(cfg.ip, chunk_port)
    loops.start('wakes', wakes.run)
    loops.start('versions', view.run)
    loops.start('agent', agent.run)
    return agent.is_ready


def register_metrics(registry, version_store):
    """Register the gauges of `version_store`; return the byte counter."""
    registry.gauge(
        'versions_whole',
        'Newest version that is here whole, by model.',
        version_store.newest_complete,
        ('model',),
    )
    registry.gauge(
        'chunks_missing',
        'Chunks that are missing, by model and version.',
        version_store.missing_counts,
        ('model', 'version'),
    )
    # The ways are 'given' (sent to a member), 'peer' (received from a member)
    # and 'origin' (received from the origin).
    return registry.counter(
        'chunk_bytes_total', 'Bytes of chunks by way.', ('way',)
    )


def register_agent_metrics(registry, agent):
    """Register the gauges of `agent`."""
    registry.gauge(
        'agent_failed_turns',
        'Turns of the agent in a row that ended in an unexpected error.',
        lambda: agent.failed_turns,
    )
    # 'reason' as of `spread.Reason`; no line while the engine serves.
    registry.gauge(
        'engine_not_serving',
        'Whether the engine serves no requests, by reason.',
        agent.serving_state.counts,
        ('reason',),
    )
    registry.gauge(
        'load_order_age_seconds',
        'Time from the comparison of the staged chunks until the engine was'
        ' known to have accepted the last load order, by model.',
        agent.load_order_ages,
        ('model',),
    )
    registry.gauge(
        'versions_damaged',
        'Version that the engine may have loaded with damaged chunks, by'
        ' model. No request starts on it.',
        agent.damaged_versions,
        ('model',),
    )
