"""Shared checks of parameters, called at first use."""

import json
import random


def check_positive(value, name):
    """Return `value` if it is a number above zero.

    Raises:
        ValueError: `value` is not a number above zero.

    Examples:
        >>> check_positive(2, 'fanout')
        2
        >>> check_positive(0, 'fanout')
        Traceback (most recent call last):
            ...
        ValueError: fanout must be a number above 0, got 0
    """
    wrong_type = isinstance(value, bool) or not isinstance(value, (int, float))
    if wrong_type or value <= 0:
        raise ValueError(f'{name} must be a number above 0, got {value!r}')
    return value


def check_fraction(value, name):
    """Return `value` if it lies from 0 to 1.

    Raises:
        ValueError: `value` is not a number from 0 to 1.

    Examples:
        >>> check_fraction(0.5, 'share')
        0.5
    """
    wrong_type = isinstance(value, bool) or not isinstance(value, (int, float))
    if wrong_type or not 0 <= value <= 1:
        raise ValueError(f'{name} must lie from 0 to 1, got {value!r}')
    return value


def check_count(value, name):
    """Return `value` if it is a whole number from 0.

    Raises:
        ValueError: `value` is not a whole number from 0.

    Examples:
        >>> check_count(0, 'revision')
        0
        >>> check_count(True, 'revision')
        Traceback (most recent call last):
            ...
        ValueError: revision must be a whole number from 0, got True
    """
    if type(value) is not int or value < 0:
        raise ValueError(
            f'{name} must be a whole number from 0, got {value!r}'
        )
    return value


def check_text(value, name):
    """Return `value` if it is a text.

    Raises:
        ValueError: `value` is not a text.

    Examples:
        >>> check_text('larisa-a', 'data_centre')
        'larisa-a'
    """
    if not isinstance(value, str):
        raise ValueError(f'{name} must be a text, got {value!r}')
    return value


def check_random_state(random_state):
    """Return a `random.Random` from a seed, a generator or None.

    Examples:
        >>> check_random_state(1).random() == check_random_state(1).random()
        True
    """
    if isinstance(random_state, random.Random):
        return random_state
    return random.Random(random_state)


def load_json(data, object_hook=None):
    """Return the value that the JSON text `data` describes.

    Args:
        data: JSON text or bytes.
        object_hook: function of each mapping that gives what replaces it.

    Raises:
        ValueError: it is not JSON, or its values lie too deep in each other.

    Examples:
        >>> load_json(b'[1]')
        [1]
    """
    try:
        return json.loads(data, object_hook=object_hook)
    except RecursionError as exc:
        # A few kilobytes of brackets are enough. Readers expect ValueError
        # for bad text; anything else would end the thread that reads.
        raise ValueError('values lie too deep in each other') from exc
