"""Bounds the requests that an entry has in progress."""

import collections
import threading

from catkinshunt import base
from catkinshunt import checks
from catkinshunt import errors

#: Share of the threads left for refusals: a request that finds no thread
#: waits where nobody sees it, and cannot even be refused.
_RESERVED_SHARE = 1 / 8
#: Share of the places that accounts may take without regard to others.
_UNRESTRICTED_SHARE = 0.5
RETRY_AFTER_S = 1.0


class ConcurrencyLimiter(base.ParamsMixin):
    """Lets requests in while there are threads for them.

    Past half of the places an account gets another one only while it has
    less than an equal share of all, so that a few large accounts cannot
    keep the others out.

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
        """Refuse new requests from now on."""
        self._leaving = True

    def acquire(self, account):
        """Take a place.

        Raises:
            errors.LeavingError: the entry takes no new work.
            errors.OverloadedError: there is no place for this account.
        """
        checks.check_positive(self.threads, 'threads')
        if self._leaving:
            raise errors.LeavingError(
                'entry is leaving', step='admit', retry_after_s=RETRY_AFTER_S
            )
        n_reserved = max(1, int(self.threads * _RESERVED_SHARE))
        limit = max(1, self.threads - n_reserved)
        with self._lock:
            n_in_progress = self._in_progress.total()
            own = self._in_progress.get(account, 0)
            n_accounts = len(self._in_progress) + (not own)
            if n_in_progress >= limit:
                raise _overloaded('all places are taken')
            if (
                n_in_progress >= limit * _UNRESTRICTED_SHARE
                and own >= limit / n_accounts
            ):
                raise _overloaded('share of the account is taken')
            self._in_progress[account] += 1

    def release(self, account):
        """Give a place back."""
        with self._lock:
            self._in_progress[account] -= 1
            if not self._in_progress[account]:
                del self._in_progress[account]

    def release_after(self, account, body):
        """Yield `body`, then give the place back."""
        try:
            yield from body
        finally:
            self.release(account)

    def report(self):
        """Return requests in progress and accounts that have some."""
        with self._lock:
            return {
                'in_progress': self._in_progress.total(),
                'accounts': len(self._in_progress),
            }


def _overloaded(message):
    return errors.OverloadedError(
        message, step='admit', retry_after_s=RETRY_AFTER_S
    )
