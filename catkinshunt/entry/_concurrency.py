"""Limits the requests that an entry has in progress."""

import collections
import threading

from catkinshunt import base
from catkinshunt import checks
from catkinshunt import errors

#: Share of the threads reserved for rejections: a request without a thread
#: waits in the server's queue and cannot even be rejected.
_RESERVED_SHARE = 1 / 8
#: Share of the limit up to which accounts are not limited individually.
_UNRESTRICTED_SHARE = 0.5
RETRY_AFTER_S = 1.0


class ConcurrencyLimiter(base.ParamsMixin):
    """Admits requests while threads are available.

    Above half of the limit an account is admitted only while it has less
    than an equal share, so that a few large accounts cannot exclude others.

    Args:
        threads: threads that serve requests.

    Examples:
        >>> limiter = ConcurrencyLimiter(threads=8)
        >>> limiter.acquire('a')
        >>> limiter.report()
        {'in_progress': 1, 'accounts': 1}
        >>> limiter.release('a')
    """

    def __init__(self, threads):
        self.threads = threads
        self._lock = threading.Lock()
        self._in_progress = collections.Counter()
        self._leaving = False

    def leave(self):
        """Reject new requests from now on."""
        self._leaving = True

    def acquire(self, account):
        """Admit one request of an account.

        Raises:
            errors.LeavingError: the entry accepts no new requests.
            errors.OverloadedError: the entry or the account is at its limit.
        """
        checks.check_positive(self.threads, 'threads')
        if self._leaving:
            raise errors.LeavingError(
                'entry is leaving',
                step='admit',
                retry_after_s=RETRY_AFTER_S,
            )
        n_reserved = max(1, int(self.threads * _RESERVED_SHARE))
        limit = max(1, self.threads - n_reserved)
        with self._lock:
            n_in_progress = self._in_progress.total()
            n_own = self._in_progress.get(account, 0)
            n_accounts = len(self._in_progress) + (not n_own)
            if n_in_progress >= limit:
                raise _overloaded('concurrency limit reached')
            if (
                n_in_progress >= limit * _UNRESTRICTED_SHARE
                and n_own >= limit / n_accounts
            ):
                raise _overloaded('concurrency share of the account reached')
            self._in_progress[account] += 1

    def release(self, account):
        """Count one request of an account as ended."""
        with self._lock:
            self._in_progress[account] -= 1
            if not self._in_progress[account]:
                del self._in_progress[account]

    def release_after(self, account, body):
        """Yield `body`, then call `release`."""
        try:
            yield from body
        finally:
            self.release(account)

    def report(self):
        """Return the numbers of requests in progress and of their accounts."""
        with self._lock:
            return {
                'in_progress': self._in_progress.total(),
                'accounts': len(self._in_progress),
            }


def _overloaded(message):
    return errors.OverloadedError(
        message, step='admit', retry_after_s=RETRY_AFTER_S
    )
