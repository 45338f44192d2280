"""Tests of the exception hierarchy."""

import pytest

from catkinshunt import errors


@pytest.mark.parametrize(
    ('cls', 'ran'),
    [
        (errors.RefusedError, 'no'),
        (errors.OverloadedError, 'no'),
        (errors.OutcomeUnknownError, 'unknown'),
        (errors.IncompleteAnswerError, 'yes'),
    ],
)
def test_request_errors_say_whether_the_request_ran(cls, ran):
    exc = cls('no capacity', step='admit', peer='upstream-1', retry_after_s=2)
    assert exc.ran == ran
    assert exc.retry_after_s == 2
    assert str(exc) == 'no capacity [step admit] [peer upstream-1]'


@pytest.mark.parametrize(
    ('cls', 'has_default'),
    [
        (errors.RefusedError, True),
        (errors.OverloadedError, True),
        (errors.LeavingError, True),
        (errors.WrongVersionError, True),
        (errors.IncompleteAnswerError, True),
        (errors.OutcomeUnknownError, False),
        (errors.InvalidRequestError, False),
        (errors.KeyReusedError, False),
    ],
)
def test_a_rejected_request_has_a_retry_time(cls, has_default):
    """An error raised without a retry time falls back to its class.

    Without a default, clients retried at once, into the same burst. A request
    with an unknown outcome must get no retry time.
    """
    assert (cls('no capacity').retry_after_s is not None) is has_default
