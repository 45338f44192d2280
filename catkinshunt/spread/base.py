"""Interfaces between a sidecar and its engine, the origin and the cluster."""

import abc

import attrs

from catkinshunt import errors

#: Bytes per second that a link of 1 Mbit/s carries.
BYTES_PER_MBIT = 1e6 / 8


@attrs.frozen
class EngineReport:
    """State that an engine reports.

    Attributes:
        versions: version by model, of the models that are loaded with all
            layers.
        is_loading: a load order is in progress.
        request_count: requests in the engine, running and waiting.
        is_leaving: it takes no new requests until it starts anew.
        started_at_ms: its start time in Unix milliseconds, 0 if unknown.
    """

    versions: dict
    is_loading: bool = False
    request_count: int = 0
    is_leaving: bool = False
    started_at_ms: int = 0


@attrs.frozen
class TargetVersion:
    """A version that the engine should serve.

    Attributes:
        due_at: due time, on the clock of the `BaseClusterView`. From then on,
            requests are sent only to engines at this version or a newer one.
    """

    model: str
    version: int
    due_at: float


class LoadOutcomeUnknownError(errors.OrderError):
    """No reply to a load order arrived; the engine may have accepted it."""


class BaseEngine(abc.ABC):
    """The engine on the sidecar's own instance.

    All methods raise an `errors.CatkinshuntError` if it does not answer.
    """

    @abc.abstractmethod
    async def report(self):
        """Return the current `EngineReport`."""

    @abc.abstractmethod
    async def put_chunk(self, model, index, data):
        """Write one chunk to the engine's staging area."""

    @abc.abstractmethod
    async def get_chunk(self, model, index):
        """Return a staged chunk, or None."""

    @abc.abstractmethod
    async def list_staged(self, model):
        """Return the indices of all staged chunks."""

    @abc.abstractmethod
    async def load(self, model, version):
        """Order the engine to load the staged chunks as `version`.

        The engine finishes requests in progress first. Orders are
        idempotent.

        Raises:
            LoadOutcomeUnknownError: no reply arrived; the engine may have
                accepted the order.
            errors.OrderError: the engine rejected the order.
        """


class BaseOrigin(abc.ABC):
    """The server from which new versions are fetched."""

    @abc.abstractmethod
    async def manifest(self, model, version):
        """Return the `weights.Manifest` of a version."""

    @abc.abstractmethod
    async def newest_version(self, model):
        """Return the number of the newest version."""

    @abc.abstractmethod
    async def chunk(self, model, version, index):
        """Return the bytes of a chunk, not verified."""

    @abc.abstractmethod
    def release(self):
        """Close idle connections; later calls open new ones."""


class BaseClusterView(abc.ABC):
    """Target versions and members as read by one sidecar.

    Their source is the store that all sidecars share, and for new versions
    also the requests of peers (`note_version`).

    All times are on the clock of `now`.

    Attributes:
        regions: region by data centre.
    """

    regions: dict

    @abc.abstractmethod
    def now(self):
        """Return seconds on the clock of due and expiry times.

        It may differ from the monotonic clock that measures durations.
        """

    @abc.abstractmethod
    async def target_version(self, report):
        """Return the `TargetVersion` of the engine, or None."""

    @abc.abstractmethod
    async def unannounced_models(self):
        """Return the models of the service if no version is announced.

        Empty until the announced versions have been read.
        """

    @abc.abstractmethod
    async def wait_for_version(self):
        """Return when a new version has been announced."""

    @abc.abstractmethod
    def superseded_at(self, model, version):
        """Return the due time of the version after `version`.

        From then on, engines at `version` receive no requests. Only the next
        version counts; later ones do not postpone the time. Not specified if
        there is no newer version.
        """

    @abc.abstractmethod
    def expires_at(self, model, version):
        """Return the time after which no request may start on `version`.

        Derived from the same due time as `superseded_at`, or the latest one
        that it can have, such as after a restart. Infinite if there is no
        newer version.
        """

    @abc.abstractmethod
    async def members(self):
        """Return the current `Member` objects of the service."""

    @abc.abstractmethod
    async def origin_connections(self):
        """Return the connection limit of the origin, None if unknown.

        Members with different limits choose different sources.
        """

    @abc.abstractmethod
    def origin_copy_s(self, size):
        """Return the seconds that the origin needs to send `size` bytes."""

    @abc.abstractmethod
    def note_version(self, model, version):
        """Record that a peer requested chunks of this version.

        It may become the target version.
        """
