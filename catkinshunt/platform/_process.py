"""Ports, metrics and the store client of any process of the platform."""

from catkinshunt import http1
from catkinshunt import metrics
from catkinshunt.platform import _clocks
from catkinshunt.platform import _era
from catkinshunt.platform import _store

READY_PATH = '/readyz'
METRICS_PATH = '/metrics'


def chunk_port(cfg):
    """Return the port on which sidecars serve chunks."""
    return cfg.port_range[0] + 1


def permit_port(cfg):
    """Return the port on which sidecars grant permits."""
    return cfg.port_range[0] + 2


def watch_relay_port(cfg):
    """Return the port on which entries relay their watch of the store."""
    return cfg.port_range[0] + 3


def gossip_port(cfg):
    """Return the port on which entries gossip about crashes."""
    return cfg.port_range[0] + 4


def rate_limit_port(cfg):
    """Return the port on which entries gossip about limits of upstreams."""
    return cfg.port_range[0] + 5


def availability_port(cfg):
    """Return the port on which entries gossip about leaving upstreams."""
    return cfg.port_range[0] + 6


def make_caller_budget(cfg, registry):
    """Return the `callers.CallerBudget` that all listeners share.

    Args:
        cfg: `InstanceSettings`.
        registry: `metrics.Registry`.
    """
    return metrics.make_caller_budget(cfg, registry, _clocks.monotonic)


async def serve_metrics(cfg, registry, budget, is_ready=None):
    """Serve the metrics of `registry` on the first port of the range.

    Args:
        cfg: `InstanceSettings`.
        registry: `metrics.Registry`.
        budget: `callers.CallerBudget` of the process.
        is_ready: function that returns whether the process works, which
            operators ask for at `READY_PATH`; None if they ask elsewhere.
    """
    listener = http1.Listener(
        http1.make_session(metrics_handler(registry, is_ready)),
        _clocks.monotonic,
        budget=budget,
    )
    await listener.start(cfg.ip, cfg.port_range[0])


def metrics_handler(registry, is_ready=None):
    """Return an HTTP handler of metrics and readiness, see `serve_metrics`."""

    async def handle(req):
        if req.path == READY_PATH and is_ready is not None:
            return http1.Reply(200 if is_ready() else 503)
        if req.path != METRICS_PATH:
            return http1.Reply(404)
        content_type, text = metrics.expose(registry, _clocks.monotonic())
        return http1.Reply(200, text, (('Content-Type', content_type),))

    return handle


def make_store_client(cfg, registry):
    """Return a `StoreClient` whose calls are counted in `registry`."""
    # The result is the HTTP status, or 'lost' if no answer arrived.
    calls = registry.counter(
        'store_calls_total', 'Calls to the store.', ('kind', 'result')
    )
    eras = _era.EraMonitor(
        registry.counter(
            'store_era_changes_total',
            'Times that the store has come back from an older copy.',
        )
    )
    registry.gauge(
        'store_era',
        'Era of the store; -1 before any answer.',
        lambda: -1 if eras.era is None else eras.era,
    )
    return _store.StoreClient(
        cfg.store_address,
        _clocks.monotonic,
        calls,
        eras,
        _clocks.boottime,
    )
