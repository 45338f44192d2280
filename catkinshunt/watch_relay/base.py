"""Interface of the sources of key-value items and their changes."""

import abc

import attrs


@attrs.frozen
class Item:
    """A key of the key-value service with its value, or its deletion.

    Attributes:
        key: name of the key.
        value: value in bytes; None if the key was deleted.
        revision: revision of its latest change.
    """

    key: str
    value: bytes | None
    revision: int


@attrs.frozen
class Page:
    """Items read at one revision of the service.

    Attributes:
        items: the `Item` objects.
        revision: revision of the service at which they were read.
        has_more: whether further items follow on another page; set only by
            the client of the service, not on relayed pages.
        confirmed_at: latest time at which the page was known to be up to
            date, in seconds on the boot-time clock of this process; None if
            the source does not determine it.
        seen_ago_s: seconds since the first process that relays the oldest
            item received it. After all items are read again, an upper bound:
            the seconds since the previous confirmation.
    """

    items: tuple
    revision: int
    has_more: bool = False
    confirmed_at: float | None = None
    seen_ago_s: float = 0.0


class BaseWatchSource(abc.ABC):
    """Source of the key-value service's items and their changes.

    Calls raise `errors.StoreError` if they fail, and `HistoryGoneError` if the
    requested changes are no longer available.
    """

    @abc.abstractmethod
    async def read_prefix(self, prefix):
        """Return all items under `prefix` as one `Page`."""

    @abc.abstractmethod
    async def watch(self, prefix, after, wait_s):
        """Return the changes under `prefix` after a revision as a `Page`.

        Args:
            prefix: prefix of the keys.
            after: revision; only later changes are returned.
            wait_s: maximum time in seconds to wait for a change. The page is
                empty if there is none.
        """
