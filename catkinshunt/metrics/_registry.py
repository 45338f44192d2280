"""All metrics of one process by name."""

import attrs

from catkinshunt import base
from catkinshunt.metrics import _recorders


@attrs.frozen
class Family:
    """One metric as it is exposed to scrapers.

    Attributes:
        name: name with its unit, such as ``'request_duration_seconds'``.
        documentation: one sentence.
        source: a `Recorder`, a `Counter`, or for a gauge a function that
            returns a number, or numbers by label values.
        labels: names of the labels.
    """

    name: str
    documentation: str
    source: object
    labels: tuple = ()


class Registry(base.ParamsMixin):
    """Creates recorders and counters, and stores them by name.

    Examples:
        >>> registry = Registry()
        >>> registry.counter('requests', 'Requests.', ('outcome',)).add('ok')
        >>> [family.name for family in registry.report()]
        ['requests']
    """

    def __init__(self):
        self._families = {}

    def recorder(self, name, documentation):
        """Return the `Recorder` with this name; create it if missing."""
        return self._get(name, documentation, _recorders.Recorder())

    def counter(self, name, documentation, labels=()):
        """Return the `Counter` with this name; create it if missing."""
        counter = _recorders.Counter(labels)
        return self._get(name, documentation, counter, labels)

    def gauge(self, name, documentation, read, labels=()):
        """Add a gauge whose value the function `read` returns."""
        self._get(name, documentation, read, labels)

    def report(self):
        """Return the `Family` objects in order of creation."""
        return list(self._families.values())

    def _get(self, name, documentation, source, labels=()):
        family = Family(name, documentation, source, labels)
        return self._families.setdefault(name, family).source
