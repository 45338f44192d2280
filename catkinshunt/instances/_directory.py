"""Replica of the instance list of the platform."""

import threading

from catkinshunt.dissemination import base
from catkinshunt.instances import _instance
from catkinshunt.instances import _listing
from catkinshunt import logs

_log = logs.get_logger('instances')


class Directory(base.BaseReplica):
    """Holds the newest list received from the platform or a peer.

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
        """Instances with a control address, as a tuple.

        The same object is returned until the list changes.
        """
        return self._members

    @property
    def instances(self):
        """All listed instances."""
        return tuple(self._listing.by_name.values())

    def find(self, name):
        """Return the listed `Instance` with this name, or None."""
        return self._listing.by_name.get(name)

    def upstreams(self, service):
        """Return the listed upstream instances of `service`."""
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
        """Accept a `Listing` fetched from the platform if it is newer.

        Returns:
            Whether it was accepted.
        """
        with self._lock:
            before = self._listing
            if listing.revision <= before.revision:
                return False
            change = before.find_change(
                listing.revision, tuple(listing.by_name.values())
            )
            # Derived from the previous listing to retain its changes, from
            # which updates for peers are made.
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
            'Instance list at revision {} has {} instances.',
            listing.revision,
            len(listing.by_name),
        )
