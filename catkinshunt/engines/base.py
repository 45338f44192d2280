"""Base class of clients for model engines."""

import abc

import attrs

from catkinshunt import base


@attrs.frozen
class LoadOrder:
    """An order to load one version of a model.

    Args:
        model: name of the model.
        version: version of its weights.
        digest: SHA-256 of the weights, verified by the engine.
        weights_url: URL from which the engine pulls the weights.
        fencing_number: revision of the configuration that requires it.
    """

    model = attrs.field()
    version = attrs.field()
    digest = attrs.field()
    weights_url = attrs.field()
    fencing_number = attrs.field()


class BaseEngine(base.ParamsMixin, abc.ABC):
    """Client of a model engine."""

    @abc.abstractmethod
    def load(self, order):
        """Execute a `LoadOrder`; returns when the engine serves the version.

        Raises:
            StaleFencingError: the engine has received a newer number.
            OrderError: the engine rejected the order, failed or did not
                reply.
        """

    @abc.abstractmethod
    def report(self):
        """Return the loaded versions, by model.

        Raises:
            OrderError: the engine did not reply.
        """
