"""Which peers answered lately."""

import threading

import attrs

from catkinshunt import base
from catkinshunt import checks

#: Failures in a row after which a peer counts as lost. One is not enough:
#: a single call may fail because a kept connection was closed.
LOST_AFTER = 2


@attrs.define
class _Failures:
    count: int
    retry_at: float


class PeerHealth(base.ParamsMixin):
    """Remembers peers that failed; leaves them alone, then tries again.

    Args:
        backoff_s: pause after the first failure, doubled by each other.
        max_backoff_s: longest pause.

    Examples:
        >>> peer_health = PeerHealth(backoff_s=1.0)
        >>> peer_health.observe('a', False, now=0.0)
        >>> peer_health.check('a', now=0.5), peer_health.check('a', now=1.0)
        (False, True)
        >>> peer_health.observe('a', False, now=1.0)
        >>> peer_health.is_unresponsive('a')
        True
        >>> peer_health.observe('a', True, now=3.0)
        >>> peer_health.is_unresponsive('a')
        False
    """

    def __init__(self, backoff_s=1.0, max_backoff_s=30.0):
        self.backoff_s = backoff_s
        self.max_backoff_s = max_backoff_s
        self._failures = {}
        self._lock = threading.Lock()

    def observe(self, name, answered, now):
        """Note whether the peer `name` answered a call."""
        with self._lock:
            if answered:
                self._failures.pop(name, None)
                return
            checks.check_positive(self.backoff_s, 'backoff_s')
            found = self._failures.get(name)
            count = found.count + 1 if found else 1
            pause_s = self.backoff_s * 2 ** min(count - 1, 16)
            retry_at = now + min(pause_s, self.max_backoff_s)
            self._failures[name] = _Failures(count, retry_at)

    def check(self, name, now):
        """Return whether the peer may be called."""
        found = self._failures.get(name)
        return found is None or now >= found.retry_at

    def is_unresponsive(self, name):
        """Return whether the peer failed more than once in a row."""
        found = self._failures.get(name)
        return found is not None and found.count >= LOST_AFTER

    def forget(self, names):
        """Drop what is known of all peers but `names`."""
        with self._lock:
            for name in set(self._failures) - set(names):
                del self._failures[name]
