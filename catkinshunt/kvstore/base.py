"""What the system asks of the platform's key-value service."""

import abc

import attrs

#: `expected_revision` of a key that must not exist yet.
ABSENT = 0


@attrs.frozen
class Entry:
    """A value with the service's revision of it.

    Attributes:
        value: the stored bytes, at most a megabyte.
        revision: grows with each write to the key.
    """

    value: bytes
    revision: int


class BaseKeyValueStore(abc.ABC):
    """Compare-and-swap, leases and watches.

    All calls raise `errors.StoreUnavailableError` where the service was not
    reached, and writes raise `errors.StoreUnknownError` where the answer was
    lost, since the write may have taken effect.
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
            expected_revision: revision last read; `ABSENT` to create.
            lease: id of a lease; the key goes when the lease lapses.

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
        """Extend `lease` by its whole time.

        Raises:
            errors.ConflictError: the lease has lapsed.
        """
