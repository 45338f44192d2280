"""Tests of the exception tree."""

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
    exc = cls('no place', step='admit', peer='upstream-1', retry_after_s=2)
    assert exc.ran == ran
    assert exc.retry_after_s == 2
    assert str(exc) == 'no place [step admit] [peer upstream-1]'
