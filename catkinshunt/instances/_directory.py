"""The process's copy of the platform's list of instances."""

import threading

from catkinshunt.dissemination import base
from catkinshunt.instances import _instance
from catkinshunt.instances import _listing
from catkinshunt import logs

_log = logs.get_logger('instances')


class Directory(base.BaseReplica):
    """Keeps the newest list learnt from the platform or from a peer.

    Examples:
        >>> directory = Directory()
        >>> directory.revision, directory.upstreams('order-desk')
        (0, [])
    """

    topic = _listing.TOPIC

    def __init__(self):
        self._listing = _listing.Listing()
        self._members = ()
        self._by_service = {}
        self._lock = threading.Lock()

    @property
    def revision(self):
        """Revision of the list; 0 before the first."""
        return self._listing.revision

    @property
    def members(self):
        """Instances that our own processes reach, as a tuple.

        It is the same object until the list changes.
        """
        return self._members

    @property
    def instances(self):
        """All listed instances."""
        return tuple(self._listing.by_name.values())

    def find(self, name):
        """Return the listed `Instance` of that name, or None."""
        return self._listing.by_name.get(name)

    def upstreams(self, service):
        """Return the upstream instances listed for `service`."""
        return list(self._by_service.get(service, ()))

    def make_update(self, after_revision):
        """See `base.BaseReplica.make_update`."""
        return self._listing.make_update(after_revision)

    def apply_update(self, update, now):
        """See `base.BaseReplica.apply_update`."""
        with self._lock:
            if update.revision <= self._listing.revision:
                return False
            self._set_listing(self._listing.apply_update(update))
        return True

    def offer(self, listing, now):
        """Take a `Listing` read from the platform if it is newer.

        Returns:
            Whether it was taken.
        """
        with self._lock:
            before = self._listing
            if listing.revision <= before.revision:
                return False
            change = before.find_change(
                listing.revision, tuple(listing.by_name.values())
            )
            # Made from the one before, so that it keeps the changes which
            # others need.
            self._set_listing(before.apply(change))
        return True

    def _set_listing(self, listing):
        by_service = {}
        for instance in listing.by_name.values():
            if instance.role == _instance.UPSTREAM:
                by_service.setdefault(instance.service, []).append(instance)
        self._listing = listing
        self._by_service = by_service
        self._members = tuple(
            instance
            for instance in listing.by_name.values()
            if instance.control_address is not None
        )
        _log.info(
            'List {} shows {} instances.',
            listing.revision,
            len(listing.by_name),
        )
