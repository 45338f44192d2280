"""Follows the configuration in the key-value service by a watch."""

import json
import threading

import attrs

from catkinshunt import base
from catkinshunt import errors
from catkinshunt import logs
from catkinshunt import rules

#: Key of the configuration in the key-value service.
KEY = 'catkinshunt/configuration'
WATCH_S = 10.0
RETRY_S = 0.5
_log = logs.get_logger('configuration')


@attrs.frozen
class Configuration:
    """An accepted set of rules.

    Attributes:
        revision: grows by one with each accepted edit.
        rule_set: the rules in order.
    """

    revision: int
    rule_set: rules.RuleSet

    @classmethod
    def from_bytes(cls, value):
        """Read the document kept in the key-value service."""
        document = json.loads(value)
        rule_set = rules.load_rule_set({'rules': document['rules']})
        return cls(document['revision'], rule_set)


class Follower(base.BaseService):
    """Keeps the configuration with the highest revision seen.

    Args:
        store: a `kvstore.BaseKeyValueStore`.
    """

    def __init__(self, store):
        self.store = store
        self.current = Configuration(0, rules.RuleSet(()))
        self._entry_revision = 0
        self._stopped = threading.Event()
        self._changed = threading.Condition()

    def start(self):
        """Watch in the background."""
        thread = threading.Thread(
            target=self._run, name='configuration', daemon=True
        )
        thread.start()
        return self

    def stop(self):
        """End the watch."""
        self._stopped.set()

    def wait(self, after_revision, timeout_s):
        """Wait for a revision above `after_revision`; return the current."""
        with self._changed:
            self._changed.wait_for(
                lambda: self.current.revision > after_revision, timeout_s
            )
        return self.current

    def _run(self):
        while not self._stopped.is_set():
            try:
                entry = self.store.watch(KEY, self._entry_revision, WATCH_S)
            except errors.StoreError as exc:
                _log.warning('Watch failed: {}', exc)
                self._stopped.wait(RETRY_S)
                continue
            if entry is not None:
                self._entry_revision = entry.revision
                self._take(Configuration.from_bytes(entry.value))

    def _take(self, configuration):
        if configuration.revision <= self.current.revision:
            return
        with self._changed:
            self.current = configuration
            self._changed.notify_all()
        _log.info('Revision {} in force', configuration.revision)
