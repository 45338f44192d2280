"""Tests of validating a stream of lines."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from catkinshunt.entry import _lines
from catkinshunt.entry.tests import harness
from catkinshunt import errors

COMPLETE = harness.lines(*range(5), pieces=5)


@settings(derandomize=True, database=None, max_examples=80)
@given(st.lists(st.integers(0, len(COMPLETE)), max_size=6))
def test_lines_do_not_depend_on_piece_boundaries(cuts):
    validator = _lines.LineValidator()
    bounds = [0, *sorted(cuts), len(COMPLETE)]
    got = b''.join(
        validator.feed(COMPLETE[begin:end])
        for begin, end in zip(bounds, bounds[1:], strict=False)
    )
    assert got == COMPLETE
    validator.check_end()


@settings(derandomize=True, database=None, max_examples=80)
@given(st.integers(0, len(COMPLETE) - 1))
def test_break_at_any_byte_resumes_at_the_next_line(cut):
    """An engine dies at an arbitrary byte of its response.

    The lines before that byte and the resumed stream together make the
    complete response, with no piece duplicated or missing.
    """
    validator = _lines.LineValidator()
    got = validator.feed(COMPLETE[:cut])
    if validator.done:
        return
    with pytest.raises(errors.IncompleteAnswerError):
        validator.check_end()
    validator.discard_partial_line()
    rest = harness.lines(*range(validator.next_index, 5), pieces=5)
    assert got + validator.feed(rest) == COMPLETE
    validator.check_end()


def test_unterminated_line_is_limited_in_length():
    validator = _lines.LineValidator()
    validator.feed(b'x' * (2 * 1024 * 1024))
    with pytest.raises(errors.IncompleteAnswerError):
        validator.check()
