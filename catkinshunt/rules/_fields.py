"""Validators of the fields of actions; each says what is allowed."""

import math

#: Leanings with a name: towards time to N replicas, or few origin bytes.
LEANINGS = {'time': 1.0, 'origin': 0.0}


def _fail(allowed, value):
    raise ValueError(f'must be {allowed}, got {value!r}')


def _is_number(value):
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return False
    return math.isfinite(value)


def text(_instance, _attribute, value):
    """Allow text that is not empty."""
    if not isinstance(value, str) or not value:
        _fail('text that is not empty', value)


def positive(_instance, _attribute, value):
    """Allow a number above 0."""
    if not _is_number(value) or value <= 0:
        _fail('a number above 0', value)


def whole(_instance, _attribute, value):
    """Allow a whole number."""
    if isinstance(value, bool) or not isinstance(value, int):
        _fail('a whole number', value)


def count(_instance, _attribute, value):
    """Allow a whole number of at least 1."""
    wrong = isinstance(value, bool) or not isinstance(value, int)
    if wrong or value < 1:
        _fail('a whole number of at least 1', value)


def leaning(_instance, _attribute, value):
    """Allow 'time', 'origin' or a number from 0 (origin) to 1 (time)."""
    if isinstance(value, str) and value in LEANINGS:
        return
    if not _is_number(value) or not 0 <= value <= 1:
        _fail("'time', 'origin' or a number from 0 to 1", value)
