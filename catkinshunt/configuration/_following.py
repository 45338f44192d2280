"""Follows the configuration in the key-value service by a watch."""

import threading
import time

from catkinshunt import base
from catkinshunt.configuration import _configuration
from catkinshunt import errors
from catkinshunt import logs

WATCH_S = 10.0
RETRY_S = 0.5
_log = logs.get_logger('configuration')


class Follower(base.BaseService):
    """Offers each revision that the key-value service shows to a keeper.

    Args:
        store: a `kvstore.BaseKeyValueStore`.
        keeper: the process's `Keeper`.
        watch_s: seconds that one watch waits.
        retry_s: seconds between tries while the service is down.
    """

    def __init__(self, store, keeper, watch_s=WATCH_S, retry_s=RETRY_S):
        self.store = store
        self.keeper = keeper
        self.watch_s = watch_s
        self.retry_s = retry_s
        self._stopped = threading.Event()

    def start(self):
        """Watch in the background."""
        thread = threading.Thread(
            target=self._run, name='configuration', daemon=True
        )
        thread.start()
        return self

    def stop(self):
        """End the watch; one that waits ends with its time."""
        self._stopped.set()

    def _run(self):
        seen = 0
        while not self._stopped.is_set():
            try:
                entry = self.store.watch(
                    _configuration.KEY, seen, self.watch_s
                )
            except errors.StoreError as exc:
                _log.warning('Watch failed: {}', exc)
                self._stopped.wait(self.retry_s)
                continue
            if entry is not None:
                seen = entry.revision
                self._take(entry)

    def _take(self, entry):
        try:
            found = _configuration.Configuration.from_bytes(entry.value)
        except errors.RuleError as exc:
            # Somebody wrote past the editor. The rules in force stay.
            _log.error('Stored configuration is not usable: {}', exc)
            return
        self.keeper.offer(found, time.monotonic())
