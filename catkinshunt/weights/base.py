"""Abstract classes of weight distribution."""

import abc

from catkinshunt import base

#: Stands for the origin (or the weight store before it) as a source.
ORIGIN = 'origin'


class BaseStrategy(base.ParamsMixin, abc.ABC):
    """Decides which chunk an instance pulls next, and from whom.

    The same object serves the transport and the benchmarks; it sees only a
    `TransferView` and the present time.
    """

    #: Copies of the model that one instance sends at most, or None.
    budget_copies = None
    #: Uploads that one instance carries at a time.
    max_uploads = 4

    @abc.abstractmethod
    def neighbours(self, view, now):
        """Return the names of the peers whose holdings matter to `view`."""

    @abc.abstractmethod
    def choose(self, view, now):
        """Return the next `Pull`, or None if there is none at `now`."""
