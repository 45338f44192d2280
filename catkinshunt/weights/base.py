"""Base classes of weight distribution."""

import abc

from catkinshunt import base

#: Name of the origin, or of the weight store in front of it, as a source.
ORIGIN = 'origin'


class BaseStrategy(base.ParamsMixin, abc.ABC):
    """Chooses the next chunk that an instance pulls, and its source.

    Transfers and benchmarks use the same object; it depends only on a
    `TransferView` and the current time.
    """

    #: Maximum number of model copies that one instance sends, or None.
    budget_copies = None
    #: Maximum number of concurrent uploads of one instance.
    max_uploads = 4

    @abc.abstractmethod
    def neighbours(self, view, now):
        """Return the names of the peers to query for their bitmaps."""

    @abc.abstractmethod
    def choose(self, view, now):
        """Return the next `Pull`, or None if nothing can be pulled now."""
