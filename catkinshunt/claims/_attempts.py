"""Detection of duplicate attempts in a sidecar."""

import threading

from catkinshunt import base
from catkinshunt import checks
from catkinshunt import errors


class SeenAttempts(base.ParamsMixin):
    """Accepts each attempt at a non-idempotent request once.

    A message can reach a sidecar twice after a reconnect, or long after its
    sender timed out. From its deadline on, an attempt is rejected as late,
    so its record can be removed without the risk of a second execution.
    Records are removed only when `capacity` is reached, and not until
    `skew_s` after their deadline.

    Args:
        capacity: maximum number of recorded attempts. When it is reached,
            new attempts are rejected; no record is removed before its
            deadline.
        skew_s: maximum clock difference between two instances, seconds.
        max_ahead_s: a deadline further in the future is rejected, as its
            attempt would stay recorded for too long; seconds.

    Examples:
        >>> seen = SeenAttempts()
        >>> seen.check('a1', expires_at=10.0, now=5.0)
        >>> seen.check('a1', expires_at=10.0, now=6.0)
        Traceback (most recent call last):
            ...
        catkinshunt.errors.DuplicateAttemptError: duplicate attempt \
[step duplicate]
    """

    def __init__(self, capacity=10000, skew_s=2.0, max_ahead_s=3600.0):
        self.capacity = capacity
        self.skew_s = skew_s
        self.max_ahead_s = max_ahead_s
        self._lock = threading.Lock()
        self._expiry_by_attempt = {}

    def check(self, attempt, expires_at, now):
        """Record `attempt`, or reject it.

        Args:
            attempt: unique id of the attempt.
            expires_at: its deadline, seconds since the epoch.
            now: present time, seconds since the epoch.

        Raises:
            errors.DuplicateAttemptError: it was accepted before.
            errors.RefusedError: its deadline has passed or is too far in
                the future, or too many attempts are recorded; it was not
                executed.
        """
        checks.check_positive(self.capacity, 'capacity')
        with self._lock:
            if attempt in self._expiry_by_attempt:
                raise errors.DuplicateAttemptError(
                    'duplicate attempt', step='duplicate'
                )
            if now >= expires_at:
                raise errors.RefusedError(
                    'deadline passed before dispatch', step='deadline'
                )
            # The negated comparison also rejects NaN.
            if not expires_at <= now + self.max_ahead_s:
                raise errors.InvalidRequestError(
                    'deadline is too far in the future', step='deadline'
                )
            if len(self._expiry_by_attempt) >= self.capacity:
                self._remove_expired(now)
            if len(self._expiry_by_attempt) >= self.capacity:
                raise errors.OverloadedError(
                    'too many recorded attempts',
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
