"""What every kind of model engine takes."""

import abc

import attrs

from catkinshunt import base


@attrs.frozen
class LoadOrder:
    """Load one version of a model.

    Args:
        model: name of the model.
        version: version of its weights.
        digest: SHA-256 of the whole, which the engine checks.
        weights_url: where the engine pulls the weights from.
        fencing_number: revision of the configuration that wants it.
    """

    model = attrs.field()
    version = attrs.field()
    digest = attrs.field()
    weights_url = attrs.field()
    fencing_number = attrs.field()


class BaseEngine(base.ParamsMixin, abc.ABC):
    """A model engine that takes orders."""

    @abc.abstractmethod
    def load(self, order):
        """Carry out a `LoadOrder`; returns when the engine serves it.

        Raises:
            StaleFencingError: the engine has seen a newer number.
            OrderError: the engine refused, failed or gave no answer.
        """

    @abc.abstractmethod
    def report(self):
        """Return the versions that the engine holds, by model.

        Raises:
            OrderError: the engine gave no answer.
        """
