"""Attempts that a sidecar has seen, to refuse delayed duplicates."""

import threading

from catkinshunt import base
from catkinshunt import checks
from catkinshunt import errors


class SeenAttempts(base.ParamsMixin):
    """Lets each attempt at a non-idempotent request through once.

    A message can reach a sidecar twice when a connection is re-made, or
    long after its sender gave up. An attempt is remembered until its
    deadline and `skew_s` have passed; after that it is refused as late, so
    forgetting it then lets nothing run twice.

    Args:
        capacity: attempts remembered; at this bound new ones are refused
            rather than older ones forgotten before their deadline.
        skew_s: most by which clocks of two instances differ.
        max_ahead_s: a deadline further ahead than this is refused, as its
            attempt would be remembered for too long.

    Examples:
        >>> seen = SeenAttempts()
        >>> seen.check('a1', expires_at=10.0, now=5.0)
        >>> seen.check('a1', expires_at=10.0, now=6.0)
        Traceback (most recent call last):
            ...
        catkinshunt.errors.DuplicateAttemptError: attempt came twice \
[step duplicate]
    """

    def __init__(self, capacity=10000, skew_s=2.0, max_ahead_s=3600.0):
        self.capacity = capacity
        self.skew_s = skew_s
        self.max_ahead_s = max_ahead_s
        self._lock = threading.Lock()
        self._expiry_by_attempt = {}

    def check(self, attempt, expires_at, now):
        """Remember `attempt`, or refuse it.

        Args:
            attempt: unique id of the attempt.
            expires_at: its deadline, seconds since the epoch.
            now: present time, seconds since the epoch.

        Raises:
            errors.DuplicateAttemptError: it was let through before.
            errors.RefusedError: its deadline has passed, or too many
                attempts are remembered; it was not run.
        """
        checks.check_positive(self.capacity, 'capacity')
        with self._lock:
            if attempt in self._expiry_by_attempt:
                raise errors.DuplicateAttemptError(
                    'attempt came twice', step='duplicate'
                )
            if now >= expires_at:
                raise errors.RefusedError(
                    'deadline passed before dispatch', step='deadline'
                )
            # Written so that it also refuses what is not a number.
            if not expires_at <= now + self.max_ahead_s:
                raise errors.InvalidRequestError(
                    'deadline too far ahead', step='deadline'
                )
            if len(self._expiry_by_attempt) >= self.capacity:
                self._remove_expired(now)
            if len(self._expiry_by_attempt) >= self.capacity:
                raise errors.OverloadedError(
                    'too many attempts remembered',
                    step='duplicate',
                    retry_after_s=self.skew_s,
                )
            self._expiry_by_attempt[attempt] = expires_at

    def _remove_expired(self, now):
        kept = {
            attempt: expires_at
            for attempt, expires_at in self._expiry_by_attempt.items()
            if now <= expires_at + self.skew_s
        }
        self._expiry_by_attempt = kept
