"""Validators of action fields; their errors name the allowed values."""

import math

#: Named values of `lean`: minimal time to N replicas or origin bytes.
NAMED_LEANS = {'time': 1.0, 'origin': 0.0}


def _raise_value_error(allowed, value):
    raise ValueError(f'must be {allowed}, got {value!r}')


def _is_number(value):
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return False
    return math.isfinite(value)


def nonempty_text(_instance, _attribute, value):
    """Allow a non-empty string."""
    if not isinstance(value, str) or not value:
        _raise_value_error('text that is not empty', value)


def positive_number(_instance, _attribute, value):
    """Allow a number above 0."""
    if not _is_number(value) or value <= 0:
        _raise_value_error('a number above 0', value)


def integer(_instance, _attribute, value):
    """Allow an integer."""
    if isinstance(value, bool) or not isinstance(value, int):
        _raise_value_error('a whole number', value)


def positive_integer(_instance, _attribute, value):
    """Allow an integer of at least 1."""
    wrong = isinstance(value, bool) or not isinstance(value, int)
    if wrong or value < 1:
        _raise_value_error('a whole number of at least 1', value)


def lean(_instance, _attribute, value):
    """Allow 'time', 'origin' or a number from 0 (origin) to 1 (time)."""
    if isinstance(value, str) and value in NAMED_LEANS:
        return
    if not _is_number(value) or not 0 <= value <= 1:
        _raise_value_error("'time', 'origin' or a number from 0 to 1", value)
