"""Interface of the sources of key-value items and their changes."""

import abc

import attrs

from catkinshunt import errors


@attrs.frozen(order=True)
class Revision:
    """A revision of the service, ordered over all its eras.

    If the service comes back from an older copy, a new era begins: it loses
    its latest changes and gives their numbers out again.

    Attributes:
        era: number of the era.
        number: number of the change in this era.

    Examples:
        >>> Revision(era=2, number=3) > Revision(era=1, number=9)
        True
    """

    era: int = 0
    number: int = 0

    def __str__(self):
        return f'{self.number} of era {self.era}'


@attrs.frozen
class Item:
    """A key of the key-value service with its value, or its deletion.

    Attributes:
        key: name of the key.
        value: value in bytes; None if the key was deleted.
        revision: `Revision` of its latest change.
    """

    key: str
    value: bytes | None
    revision: Revision


@attrs.frozen
class Page:
    """Items read at one revision of the service.

    Attributes:
        items: the `Item` objects.
        revision: `Revision` of the service at which they were read.
        has_more: whether further items follow on another page; set only by
            the client of the service, not on relayed pages.
        confirmed_at: latest time at which the page was known to be up to
            date, in seconds on the boot-time clock of this process; None if
            the source does not determine it.
        changed_after: time after which all items have changed, in seconds on
            the same clock: the latest known confirmation of a state without
            these changes. None if the source does not determine it.
    """

    items: tuple
    revision: Revision
    has_more: bool = False
    confirmed_at: float | None = None
    changed_after: float | None = None


def latest(*times):
    """Return the latest of some times that are not None, or None."""
    return max((time for time in times if time is not None), default=None)


def check_changes(page, prefix, after):
    """Check that a page may be the answer to a watch.

    Args:
        page: the `Page`.
        prefix: prefix of the keys that are watched.
        after: the `Revision` after which changes were requested.

    Raises:
        errors.StoreUnavailableError: it is the answer to another call.
    """
    found = next(
        (
            f'{item.key} at revision {item.revision}'
            for item in page.items
            if item.revision <= after or not item.key.startswith(prefix)
        ),
        None,
    )
    if found is None and page.revision < after:
        found = f'revision {page.revision}'
    if found is not None:
        raise errors.StoreUnavailableError(
            f'{found} was returned as a change of {prefix!r} after {after}',
            step='watch',
        )


class BaseWatchSource(abc.ABC):
    """Source of the key-value service's items and their changes.

    Calls raise `errors.StoreError` if they fail, and `HistoryGoneError` if the
    requested changes are no longer available. After a change of the era this
    is an `EraChangedError`, also if the number of the revision exists again.
    """

    @abc.abstractmethod
    async def read_prefix(self, prefix):
        """Return all items under `prefix` as one `Page`."""

    @abc.abstractmethod
    async def watch(self, prefix, after, wait_s):
        """Return the changes under `prefix` after a revision as a `Page`.

        Args:
            prefix: prefix of the keys.
            after: `Revision`; only later changes are returned.
            wait_s: maximum time in seconds to wait for a change. The page is
                empty if there is none.
        """
