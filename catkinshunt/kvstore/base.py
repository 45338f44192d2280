"""Interface of the platform's key-value service."""

import abc

import attrs

#: `expected_revision` for a key that must not exist yet.
ABSENT = 0


@attrs.frozen
class Entry:
    """A value and its revision.

    Attributes:
        value: the stored bytes, at most one megabyte.
        revision: increases with each write to the key.
    """

    value: bytes
    revision: int


class BaseKeyValueStore(abc.ABC):
    """Compare-and-swap, leases and watches.

    All calls raise `errors.StoreUnavailableError` if the service cannot be
    reached. Writes raise `errors.StoreUnknownError` if the reply was lost,
    since the write may have taken effect.
    """

    @abc.abstractmethod
    def get(self, key):
        """Return the `Entry` at `key`, or None."""

    @abc.abstractmethod
    def put(self, key, value, expected_revision, lease=None):
        """Write `value` if the key is still at `expected_revision`.

        Args:
            key: the key.
            value: bytes to store.
            expected_revision: revision last read; `ABSENT` to create the
                key.
            lease: id of a lease; the key is deleted when it expires.

        Returns:
            The new revision.

        Raises:
            errors.ConflictError: the key is at another revision.
        """

    @abc.abstractmethod
    def delete(self, key, expected_revision):
        """Delete `key` if it is still at `expected_revision`.

        Raises:
            errors.ConflictError: the key is at another revision.
        """

    @abc.abstractmethod
    def watch(self, key, after_revision, timeout_s):
        """Wait for a revision of `key` above `after_revision`.

        Returns:
            The newer `Entry`, or None after `timeout_s` seconds.
        """

    @abc.abstractmethod
    def grant_lease(self, ttl_s):
        """Return the id of a new lease of `ttl_s` seconds."""

    @abc.abstractmethod
    def renew_lease(self, lease):
        """Extend `lease` by its full duration.

        Raises:
            errors.ConflictError: the lease has expired.
        """
