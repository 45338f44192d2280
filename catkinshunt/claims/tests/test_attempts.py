"""Tests of the detection of duplicate attempts."""

import pytest

from catkinshunt import claims
from catkinshunt import errors


def test_delayed_duplicate_is_rejected():
    """The network delivers one booking twice, the second time late.

    It would be executed twice. The error of the second delivery must not say
    "not run", since the first may be running.
    """
    seen = claims.SeenAttempts(skew_s=1.0)
    seen.check('a1', expires_at=10.0, now=0.0)
    with pytest.raises(errors.DuplicateAttemptError) as caught:
        seen.check('a1', expires_at=10.0, now=9.0)
    assert caught.value.ran == 'unknown'
    with pytest.raises(errors.OutcomeUnknownError):
        seen.check('a1', expires_at=10.0, now=10.5)


def test_late_attempt_is_rejected_as_not_run():
    seen = claims.SeenAttempts()
    with pytest.raises(errors.RefusedError) as caught:
        seen.check('a1', expires_at=10.0, now=10.0)
    assert caught.value.ran == 'no'


def test_full_capacity_rejects_new_attempts_and_keeps_old_ones():
    """A burst contains more attempts than can be recorded."""
    seen = claims.SeenAttempts(capacity=2, skew_s=1.0)
    seen.check('a1', expires_at=10.0, now=0.0)
    seen.check('a2', expires_at=20.0, now=0.0)
    with pytest.raises(errors.OverloadedError):
        seen.check('a3', expires_at=20.0, now=10.0)
    with pytest.raises(errors.DuplicateAttemptError):
        seen.check('a1', expires_at=10.0, now=10.0)
    seen.check('a3', expires_at=20.0, now=11.5)


@pytest.mark.parametrize('expires_at', [float('nan'), float('inf'), 1e9])
def test_deadline_too_far_in_the_future_is_rejected(expires_at):
    seen = claims.SeenAttempts()
    with pytest.raises(errors.InvalidRequestError):
        seen.check('a1', expires_at=expires_at, now=0.0)
