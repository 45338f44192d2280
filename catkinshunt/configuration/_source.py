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
    """Offers each revision read from the key-value service to a replica.

    Args:
        store: a `kvstore.BaseKeyValueStore`.
        config_replica: `ConfigurationReplica` of the process.
    """

    topic = _updates.TOPIC

    def __init__(self, store, config_replica):
        self.store = store
        self.config_replica = config_replica
        self._seen_store_revision = 0

    def fetch(self, wait_s):
        """See `base.BaseSource.fetch`."""
        key = _configuration.KEY
        if wait_s > 0:
            entry = self.store.watch(key, self._seen_store_revision, wait_s)
        else:
            entry = self.store.get(key)
        if entry is None or entry.revision == self._seen_store_revision:
            return
        self._seen_store_revision = entry.revision
        try:
            decoded = _configuration.Configuration.from_bytes(
                entry.value, previous=self.config_replica.current
            )
        except errors.RuleError as exc:
            # The document was written without the editor. The rules in
            # force stay.
            _log.error('The stored configuration is invalid: {}.', exc)
            return
        self.config_replica.offer(decoded, time.monotonic())
