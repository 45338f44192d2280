"""The text format for scrapers."""

from catkinshunt.metrics import _client
from catkinshunt.metrics import _recorders

PREFIX = 'catkinshunt_'


def expose(registry, now):
    """Return content type and text of all metrics.

    The library is imported at the first scrape, so that a process without
    scrapes saves its memory. Its process and platform collectors are not
    registered, since node exporters already read the same files.

    Args:
        registry: the `Registry` to expose.
        now: seconds on the monotonic clock.
    """
    prometheus_client = _client.load()
    library_registry = prometheus_client.CollectorRegistry(auto_describe=False)
    library_registry.register(_Collector(registry, now))
    text = prometheus_client.generate_latest(library_registry)
    return prometheus_client.CONTENT_TYPE_LATEST, text


class _Collector:
    """Converts the families of a `Registry` for the library."""

    def __init__(self, registry, now):
        self.registry = registry
        self.now = now

    def collect(self):
        """Yield metric families of the library."""
        for family in self.registry.report():
            source = family.source
            if isinstance(source, _recorders.Recorder):
                yield _summary(family, source.report(self.now))
            elif isinstance(source, _recorders.Counter):
                yield _counter(family, source.report())
            else:
                yield _gauge(family, source())


def _summary(family, summary):
    from prometheus_client import metrics_core

    name = PREFIX + family.name
    metric = metrics_core.Metric(name, family.documentation, 'summary')
    for quantile, value in summary.quantiles:
        metric.add_sample(name, {'quantile': str(quantile)}, value)
    metric.add_sample(f'{name}_count', {}, summary.count)
    metric.add_sample(f'{name}_sum', {}, summary.sum_s)
    return metric


def _counter(family, counts):
    from prometheus_client import metrics_core

    metric = metrics_core.CounterMetricFamily(
        PREFIX + family.name, family.documentation, labels=family.labels
    )
    for values, count in counts.items():
        metric.add_metric([str(value) for value in values], count)
    return metric


def _gauge(family, values):
    from prometheus_client import metrics_core

    metric = metrics_core.GaugeMetricFamily(
        PREFIX + family.name, family.documentation, labels=family.labels
    )
    if not isinstance(values, dict):
        values = {(): values}
    for labels, value in values.items():
        metric.add_metric([str(label) for label in labels], value)
    return metric
