"""Replica of the configuration that is in force in a process."""

import threading

from catkinshunt.configuration import _configuration
from catkinshunt.configuration import _updates
from catkinshunt.dissemination import base
from catkinshunt import logs

#: Longer values of the revision header are ignored.
MAX_REVISION_DIGITS = 15
_log = logs.get_logger('configuration')


class ConfigurationReplica(base.BaseReplica):
    """Holds the newest configuration that the process has received.

    Whether by a watch, a push, a pull or a stale read: only a higher revision
    replaces the one in force, so the configuration never reverts.

    Examples:
        >>> replica = ConfigurationReplica()
        >>> first = _configuration.Configuration(revision=1)
        >>> replica.offer(first, now=0.0), replica.offer(first, now=1.0)
        (True, False)
        >>> replica.current
        Configuration(revision=1)
    """

    topic = _updates.TOPIC

    def __init__(self):
        self._current = _configuration.EMPTY
        self._since = None
        self._subscribers = []
        self._newer_callbacks = []
        self._changed = threading.Condition()
        self._notify_lock = threading.Lock()
        self._notified_revision = 0

    @property
    def current(self):
        """The `Configuration` in force."""
        return self._current

    @property
    def since(self):
        """Time at which it came into force, or None before the first."""
        return self._since

    @property
    def revision(self):
        """Revision in force; 0 before the first."""
        return self._current.revision

    def make_update(self, after_revision):
        """See `base.BaseReplica.make_update`."""
        return _updates.make_update(self._current, after_revision)

    def apply_update(self, update, now):
        """See `base.BaseReplica.apply_update`."""
        updated = _updates.apply_update(self._current, update)
        return self.offer(updated, now)

    def offer(self, configuration, now):
        """Replace the configuration in force if the revision is higher.

        Returns:
            Whether it was replaced.
        """
        with self._changed:
            if configuration.revision <= self._current.revision:
                return False
            self._current = configuration
            self._since = now
            self._changed.notify_all()
        _log.info('Revision {} is in force.', configuration.revision)
        self._notify_subscribers()
        return True

    def subscribe(self, callback):
        """Call ``callback(configuration)`` after each change.

        Calls are serialized, in ascending order of revision; intermediate
        revisions may be skipped.
        """
        with self._changed:
            self._subscribers.append(callback)

    def on_newer_revision(self, callback):
        """Call ``callback(revision, now)`` if a peer has a newer one."""
        with self._changed:
            self._newer_callbacks.append(callback)

    def observe_revision(self, text, now):
        """Process the revision in a message from another process.

        Args:
            text: value of the revision header; invalid values are ignored.
            now: monotonic time, seconds.
        """
        if not text or not text.isascii() or not text.isdigit():
            return
        if len(text) > MAX_REVISION_DIGITS or int(text) <= self.revision:
            return
        for callback in tuple(self._newer_callbacks):
            callback(int(text), now)

    def wait(self, after_revision, timeout_s):
        """Wait for a revision above `after_revision`; return the latest."""
        with self._changed:
            self._changed.wait_for(
                lambda: self._current.revision > after_revision, timeout_s
            )
            return self._current

    def _notify_subscribers(self):
        # Two threads may call `offer` at the same time. Without the lock a
        # callback could get the newer revision first and then act on the
        # older one.
        with self._notify_lock:
            with self._changed:
                current = self._current
                callbacks = tuple(self._subscribers)
            if current.revision <= self._notified_revision:
                return
            self._notified_revision = current.revision
            for callback in callbacks:
                callback(current)
