"""Where changes of the key-value service come from."""

import abc

import attrs


@attrs.frozen
class Item:
    """A key of the service, or its deletion.

    Attributes:
        value: its bytes; None where the key was deleted.
        revision: of its last change.
    """

    key: str
    value: bytes | None
    revision: int


@attrs.frozen
class Page:
    """Items with the service's revision at which they were read.

    Attributes:
        has_more: further items follow on another page.
        confirmed_at: when nothing newer was there for certain, in seconds on
            the clock of who reads it; None where only the reader can tell.
        seen_ago_s: seconds before it was read in which the oldest of the
            items was learnt elsewhere.
    """

    items: tuple
    revision: int
    has_more: bool = False
    confirmed_at: float | None = None
    seen_ago_s: float = 0.0


class BaseWatchSource(abc.ABC):
    """Items of the service, and their changes.

    Calls raise an `errors.StoreError` where they give no answer, and
    `HistoryGoneError` where the changes asked for are no longer known.
    """

    @abc.abstractmethod
    async def read_prefix(self, prefix):
        """Return all items below `prefix` as one `Page`."""

    @abc.abstractmethod
    async def watch(self, prefix, after, wait_s):
        """Return the changes below `prefix` after a revision as a `Page`.

        Waits for at most `wait_s` seconds; the page is empty where nothing
        changed.
        """
