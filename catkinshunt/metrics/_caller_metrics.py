"""Budget of the callers of a process, with its metrics."""

from catkinshunt import callers

BYTES_PER_MB = 1_000_000


def make_caller_budget(cfg, registry, clock):
    """Return the `callers.CallerBudget` of a process.

    Args:
        cfg: settings with ``memory_mb`` and ``max_fds``.
        registry: `Registry` of the process.
        clock: function that returns seconds on the monotonic clock.
    """
    refusals = registry.counter(
        'callers_refused_total',
        'Requests and connections for which there was no room.',
        ('reason',),
    )
    budget = callers.make_caller_budget(
        cfg.memory_mb * BYTES_PER_MB,
        cfg.max_fds,
        callers.RefusalLog(refusals, clock).record,
    )
    for name, documentation, read in (
        (
            'caller_memory_bytes',
            'Memory that callers take.',
            lambda: budget.used_bytes,
        ),
        (
            'caller_memory_limit_bytes',
            'Memory that callers may take.',
            lambda: budget.memory_bytes,
        ),
        (
            'caller_connections',
            'Open connections of callers.',
            lambda: budget.open_connections,
        ),
        (
            'caller_connections_limit',
            'Connections that callers may open.',
            lambda: budget.connections,
        ),
    ):
        registry.gauge(name, documentation, read)
    return budget
