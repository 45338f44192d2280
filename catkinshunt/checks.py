"""Parameter checks, called at first use."""

import json
import math
import random
import re

#: Longest back-off of an upstream that is taken for sensible, in seconds.
MAX_BACK_OFF_S = 86400.0
_NUMBER = re.compile(r'[0-9]+(\.[0-9]*)?([eE][-+]?[0-9]+)?')


def check_positive(value, name):
    """Return `value` if it is a positive number.

    Raises:
        ValueError: `value` is not a positive number.

    Examples:
        >>> check_positive(2, 'fanout')
        2
        >>> check_positive(0, 'fanout')
        Traceback (most recent call last):
            ...
        ValueError: fanout must be a positive number, got 0
    """
    wrong_type = isinstance(value, bool) or not isinstance(value, (int, float))
    if wrong_type or value <= 0:
        raise ValueError(f'{name} must be a positive number, got {value!r}')
    return value


def check_fraction(value, name):
    """Return `value` if it is a number between 0 and 1, inclusive.

    Raises:
        ValueError: `value` is not such a number.

    Examples:
        >>> check_fraction(0.5, 'share')
        0.5
    """
    wrong_type = isinstance(value, bool) or not isinstance(value, (int, float))
    if wrong_type or not 0 <= value <= 1:
        raise ValueError(f'{name} must be between 0 and 1, got {value!r}')
    return value


def check_count(value, name):
    """Return `value` if it is a non-negative integer.

    Raises:
        ValueError: `value` is not a non-negative integer.

    Examples:
        >>> check_count(0, 'revision')
        0
        >>> check_count(True, 'revision')
        Traceback (most recent call last):
            ...
        ValueError: revision must be a non-negative integer, got True
    """
    if type(value) is not int or value < 0:
        raise ValueError(
            f'{name} must be a non-negative integer, got {value!r}'
        )
    return value


def check_text(value, name):
    """Return `value` if it is a string.

    Raises:
        ValueError: `value` is not a string.

    Examples:
        >>> check_text('larisa-a', 'data_centre')
        'larisa-a'
    """
    if not isinstance(value, str):
        raise ValueError(f'{name} must be a string, got {value!r}')
    return value


def check_random_state(random_state):
    """Return a `random.Random` for a seed, a generator or None.

    Examples:
        >>> check_random_state(1).random() == check_random_state(1).random()
        True
    """
    if isinstance(random_state, random.Random):
        return random_state
    return random.Random(random_state)


def load_json(data, object_hook=None):
    """Return the value of the JSON document `data`.

    Args:
        data: JSON as str or bytes.
        object_hook: function that replaces each mapping, or None.

    Raises:
        ValueError: `data` is not JSON, or nested too deeply.

    Examples:
        >>> load_json(b'[1]')
        [1]
    """
    try:
        return json.loads(data, object_hook=object_hook)
    except RecursionError as exc:
        # A few kilobytes of brackets raise it. Callers handle ValueError for
        # malformed input; another error would end the receiving thread.
        raise ValueError('JSON is nested too deeply') from exc


def parse_number(text):
    """Return the finite, not negative decimal number in `text`.

    `float` also takes underscores and the digits of other scripts.

    Raises:
        ValueError: `text` is no such number.

    Examples:
        >>> parse_number('1.5')
        1.5
        >>> parse_number('1_0')
        Traceback (most recent call last):
        ...
        ValueError: not a decimal number: '1_0'
    """
    if not _NUMBER.fullmatch(text) or float(text) == math.inf:
        raise ValueError(f'not a decimal number: {text[:40]!r}')
    return float(text)


def parse_back_off_s(text):
    """Return the seconds in a Retry-After of an upstream.

    Raises:
        ValueError: `text` is not a number of seconds up to `MAX_BACK_OFF_S`.
    """
    back_off_s = parse_number(text)
    if back_off_s > MAX_BACK_OFF_S:
        raise ValueError(f'over {MAX_BACK_OFF_S:g} s: {text[:40]!r}')
    return back_off_s
