"""The key-value service as the source of the configuration."""

import time

from catkinshunt import base as shared
from catkinshunt.configuration import _configuration
from catkinshunt.configuration import _updates
from catkinshunt.dissemination import base
from catkinshunt import errors
from catkinshunt import logs

_log = logs.get_logger('configuration')


class StoreSource(shared.ParamsMixin, base.BaseSource):
    """Offers each revision that the key-value service shows to a keeper.

    Args:
        store: a `kvstore.BaseKeyValueStore`.
        keeper: the process's `ConfigurationReplica`.
    """

    topic = _updates.TOPIC

    def __init__(self, store, config_replica):
        self.store = store
        self.config_replica = config_replica
        self._seen = 0

    def fetch(self, wait_s):
        """See `base.BaseSource.fetch`."""
        key = _configuration.KEY
        if wait_s > 0:
            entry = self.store.watch(key, self._seen, wait_s)
        else:
            entry = self.store.get(key)
        if entry is None or entry.revision == self._seen:
            return
        self._seen = entry.revision
        try:
            found = _configuration.Configuration.from_bytes(
                entry.value, known=self.config_replica.current
            )
        except errors.RuleError as exc:
            # Somebody wrote past the editor. The rules in force stay.
            _log.error('Stored configuration is not usable: {}', exc)
            return
        self.config_replica.offer(found, time.monotonic())
