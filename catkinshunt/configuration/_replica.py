"""The one configuration in force in a process."""

import threading

from catkinshunt.configuration import _configuration
from catkinshunt.configuration import _updates
from catkinshunt.dissemination import base
from catkinshunt import logs

#: Longest revision that is believed.
MAX_DIGITS = 15
_log = logs.get_logger('configuration')


class ConfigurationReplica(base.BaseReplica):
    """Holds the newest configuration that the process has learnt of.

    However it is learnt - by a watch, a push, a pull, an old read - only a
    higher revision takes the place of the one in force, so it never reverts.

    Examples:
        >>> config_replica = ConfigurationReplica()
        >>> first = _configuration.Configuration(revision=1)
        >>> config_replica.offer(first, now=0.0), config_replica.offer(first, now=1.0)
        (True, False)
        >>> config_replica.current
        Configuration(revision=1)
    """

    topic = _updates.TOPIC

    def __init__(self):
        self._current = _configuration.EMPTY
        self._since = None
        self._callbacks = []
        self._listeners = []
        self._changed = threading.Condition()
        self._telling = threading.Lock()
        self._told = 0

    @property
    def current(self):
        """The `Configuration` in force."""
        return self._current

    @property
    def since(self):
        """Time since when it is in force, or None before the first."""
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
        found = _updates.apply_update(self._current, update)
        return self.offer(found, now)

    def offer(self, configuration, now):
        """Put `configuration` in force if its revision is higher.

        Returns:
            Whether it was put in force.
        """
        with self._changed:
            if configuration.revision <= self._current.revision:
                return False
            self._current = configuration
            self._since = now
            self._changed.notify_all()
        _log.info('Revision {} is in force.', configuration.revision)
        self._tell()
        return True

    def subscribe(self, callback):
        """Call ``callback(configuration)`` for each one put in force.

        Calls come one at a time and in rising order; where revisions follow
        fast, those in between are left out.
        """
        with self._changed:
            self._callbacks.append(callback)

    def on_newer_revision(self, callback):
        """Call ``callback(revision, now)`` where others have a newer one."""
        with self._changed:
            self._listeners.append(callback)

    def observe_revision(self, text, now):
        """Note the revision that a message of another process carries.

        Args:
            text: value of its header; what is no revision is ignored.
            now: seconds, monotonic.
        """
        if not text or not text.isascii() or not text.isdigit():
            return
        if len(text) > MAX_DIGITS or int(text) <= self.revision:
            return
        for callback in tuple(self._listeners):
            callback(int(text), now)

    def wait(self, after_revision, timeout_s):
        """Wait for a revision above `after_revision`; return the current."""
        with self._changed:
            self._changed.wait_for(
                lambda: self._current.revision > after_revision, timeout_s
            )
            return self._current

    def _tell(self):
        # Two threads may offer at a time. Without the lock a callback could
        # see the newer revision first and the older one last, and act on it.
        with self._telling:
            with self._changed:
                current = self._current
                callbacks = tuple(self._callbacks)
            if current.revision <= self._told:
                return
            self._told = current.revision
            for callback in callbacks:
                callback(current)
