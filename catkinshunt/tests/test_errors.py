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


@pytest.mark.parametrize(
    ('cls', 'told'),
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
def test_a_request_given_up_says_when_to_come_back(cls, told):
    """A refusal is raised where nothing is known of when there is room.

    The caller got no time to come back, and its client tried again at once,
    into the same burst. One whose outcome is unknown must not be told to.
    """
    assert (cls('no place').retry_after_s is not None) is told
