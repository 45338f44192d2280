"""Tests of following a stream of lines."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from catkinshunt.entry import _lines
from catkinshunt.entry.tests import harness
from catkinshunt import errors

WHOLE = harness.lines(*range(5), pieces=5)


@settings(derandomize=True, database=None, max_examples=80)
@given(st.lists(st.integers(0, len(WHOLE)), max_size=6))
def test_any_cuts_give_the_same_lines(cuts):
    follower = _lines.LineFollower()
    places = [0, *sorted(cuts), len(WHOLE)]
    got = b''.join(
        follower.feed(WHOLE[begin:end])
        for begin, end in zip(places, places[1:], strict=False)
    )
    assert got == WHOLE
    follower.check_end()


@settings(derandomize=True, database=None, max_examples=80)
@given(st.integers(0, len(WHOLE) - 1))
def test_any_break_is_taken_up_at_the_next_line(cut):
    """A runner dies at any byte of its answer.

    Whatever the byte, the lines before it and the rest from elsewhere make
    the whole answer, with nothing twice and nothing missing.
    """
    follower = _lines.LineFollower()
    got = follower.feed(WHOLE[:cut])
    if follower.done:
        return
    with pytest.raises(errors.IncompleteAnswerError):
        follower.check_end()
    follower.drop_part()
    rest = harness.lines(*range(follower.next_index, 5), pieces=5)
    assert got + follower.feed(rest) == WHOLE
    follower.check_end()


def test_line_without_an_end_is_bounded():
    follower = _lines.LineFollower()
    follower.feed(b'x' * (2 * 1024 * 1024))
    with pytest.raises(errors.IncompleteAnswerError):
        follower.check()
