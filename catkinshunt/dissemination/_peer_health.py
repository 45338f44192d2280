"""Tracks unresponsive peers."""

import threading

import attrs

from catkinshunt import base
from catkinshunt import checks

#: Consecutive failures after which a peer counts as unresponsive. A single
#: call may fail because an idle connection was closed.
UNRESPONSIVE_FAILURES = 2


@attrs.define
class _Failures:
    count: int
    retry_at: float


class PeerHealth(base.ParamsMixin):
    """Records failed calls, with exponential backoff for each peer.

    Args:
        backoff_s: backoff after the first failure, in seconds; doubles with
            each further one.
        max_backoff_s: longest backoff, in seconds.

    Examples:
        >>> peer_health = PeerHealth(backoff_s=1.0)
        >>> peer_health.observe('a', False, now=0.0)
        >>> [peer_health.may_call('a', now) for now in (0.5, 1.0)]
        [False, True]
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

    def observe(self, name, replied, now):
        """Record whether the peer `name` replied to a call."""
        with self._lock:
            if replied:
                self._failures.pop(name, None)
                return
            checks.check_positive(self.backoff_s, 'backoff_s')
            failures = self._failures.get(name)
            count = failures.count + 1 if failures else 1
            pause_s = self.backoff_s * 2 ** min(count - 1, 16)
            retry_at = now + min(pause_s, self.max_backoff_s)
            self._failures[name] = _Failures(count, retry_at)

    def may_call(self, name, now):
        """Return whether the peer is not in backoff."""
        failures = self._failures.get(name)
        return failures is None or now >= failures.retry_at

    def is_unresponsive(self, name):
        """Return whether `UNRESPONSIVE_FAILURES` calls failed in a row."""
        failures = self._failures.get(name)
        return failures is not None and failures.count >= UNRESPONSIVE_FAILURES

    def forget(self, names):
        """Delete the records of all peers except `names`."""
        with self._lock:
            for name in set(self._failures) - set(names):
                del self._failures[name]
