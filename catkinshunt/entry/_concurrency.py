"""Bounds the requests that an entry has in progress."""

import collections
import threading

from catkinshunt import base
from catkinshunt import checks
from catkinshunt import errors

#: Share of the threads left for refusals: a request that finds no thread
#: waits where nobody sees it, and cannot even be refused.
_SPARE_SHARE = 1 / 8
#: Share of the places that accounts may take without regard to others.
_FREE_SHARE = 0.5
RETRY_AFTER_S = 1.0


class Gate(base.ParamsMixin):
    """Lets requests in while there are threads for them.

    Past half of the places an account gets another one only while it has
    less than an equal share of all, so that a few large accounts cannot
    keep the others out.

    Args:
        threads: threads that serve requests.

    Examples:
        >>> gate = Gate(threads=8)
        >>> gate.begin('a')
        >>> gate.report()
        {'in_progress': 1, 'accounts': 1}
        >>> gate.end('a')
    """

    def __init__(self, threads):
        self.threads = threads
        self._lock = threading.Lock()
        self._places = collections.Counter()
        self._leaving = False

    def leave(self):
        """Refuse new requests from now on."""
        self._leaving = True

    def begin(self, account):
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
        spare = max(1, int(self.threads * _SPARE_SHARE))
        limit = max(1, self.threads - spare)
        with self._lock:
            taken = self._places.total()
            own = self._places.get(account, 0)
            accounts = len(self._places) + (not own)
            if taken >= limit:
                raise _refusal('all places are taken')
            if taken >= limit * _FREE_SHARE and own >= limit / accounts:
                raise _refusal('share of the account is taken')
            self._places[account] += 1

    def end(self, account):
        """Give a place back."""
        with self._lock:
            self._places[account] -= 1
            if not self._places[account]:
                del self._places[account]

    def hold(self, account, body):
        """Yield `body`, then give the place back."""
        try:
            yield from body
        finally:
            self.end(account)

    def report(self):
        """Return requests in progress and accounts that have some."""
        with self._lock:
            return {
                'in_progress': self._places.total(),
                'accounts': len(self._places),
            }


def _refusal(message):
    return errors.OverloadedError(
        message, step='admit', retry_after_s=RETRY_AFTER_S
    )
