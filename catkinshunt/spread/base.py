"""What a sidecar needs from its engine and from the origin of weights."""

import abc

import attrs

from catkinshunt import errors

#: Bytes a second that a link of 1 Mbit/s carries.
BYTES_PER_MBIT = 1e6 / 8


@attrs.frozen
class EngineReport:
    """What an engine says of itself.

    Attributes:
        versions: version by model that it serves with all layers.
        busy: an order is in progress.
        present: requests that it has, running and waiting.
    """

    versions: dict
    is_loading: bool = False
    request_count: int = 0


class LoadOutcomeUnknownError(errors.OrderError):
    """The answer to an order was lost; it may have been taken."""


class BaseEngine(abc.ABC):
    """The engine on the sidecar's own instance.

    All calls raise an `errors.CatkinshuntError` where it gives no answer.
    """

    @abc.abstractmethod
    async def report(self):
        """Return the `EngineReport` of this moment."""

    @abc.abstractmethod
    async def put_chunk(self, model, index, data):
        """Stage one chunk beside the engine."""

    @abc.abstractmethod
    async def get_chunk(self, model, index):
        """Return a staged chunk, or None."""

    @abc.abstractmethod
    async def list_staged(self, model):
        """Return the indices of all staged chunks."""

    @abc.abstractmethod
    async def load(self, model, version):
        """Order the engine to serve what is staged as `version`.

        Requests in progress are finished first. The same order may be given
        again.

        Raises:
            LoadOutcomeUnknownError: no answer came; the order may have been taken.
            errors.OrderError: the engine refuses.
        """


class BaseOrigin(abc.ABC):
    """Where the weights of new versions come from."""

    @abc.abstractmethod
    async def manifest(self, model, version):
        """Return the `weights.Manifest` of a version."""

    @abc.abstractmethod
    async def chunk(self, model, version, index):
        """Return the bytes of a chunk, unchecked."""

    @abc.abstractmethod
    def release(self):
        """Give up what is kept for further calls; more may come later."""


class BaseClusterView(abc.ABC):
    """What a sidecar knows of the operator's wishes and of its peers.

    Attributes:
        regions: region by data centre.
    """

    regions: dict

    @abc.abstractmethod
    def now(self):
        """Return seconds on the clock in which versions are due."""

    @abc.abstractmethod
    async def target_version(self, report):
        """Return the `TargetVersion` version of the engine, or None."""

    @abc.abstractmethod
    async def wait_for_version(self):
        """Return once a version that was not known has been named."""

    @abc.abstractmethod
    def superseded_at(self, model, version):
        """Return when engines at `version` get no more requests.

        That is when the first version after it is due; later ones do not
        put it off.
        """

    @abc.abstractmethod
    def expires_at(self, model, version):
        """Return when requests may no longer begin on `version`.

        Infinite where that is not known, such as after a restart.
        """

    @abc.abstractmethod
    async def members(self):
        """Return the `Member` objects of the service as of now."""

    @abc.abstractmethod
    async def origin_connections(self):
        """Return how many connections the origin accepts, None if unknown.

        Members that know different numbers choose different sources.
        """

    @abc.abstractmethod
    def origin_copy_s(self, size):
        """Return the seconds in which the origin can give `size` bytes."""

    @abc.abstractmethod
    def note_version(self, model, version):
        """Note that a peer asks for this version."""
