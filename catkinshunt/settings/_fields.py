"""Types of settings fields with their checks.

Each function returns an `attrs.field`. A text that describes the allowed
values is stored in the field's metadata for error messages.
"""

import attrs

from catkinshunt import httpio

ALLOWED = 'allowed'
CHECK = 'check'
SECRET = 'secret'  # noqa: S105
MAX_PORT = 65535
#: Shorter keys can be found by brute force.
MIN_SECRET_CHARS = 16


def make_field(allowed, check=None, default=attrs.NOTHING, secret=False):
    """Return a field whose error messages contain `allowed`.

    Args:
        allowed: description of the allowed values, such as
            ``'a number above 0'``.
        check: function of the value that returns whether it is allowed.
        default: value if the field is missing.
        secret: never show the value, neither in errors nor in ``repr``.
    """
    metadata = {ALLOWED: allowed, CHECK: check, SECRET: secret}
    if isinstance(default, list):
        items = list(default)
        default = attrs.Factory(lambda: list(items))
    return attrs.field(default=default, metadata=metadata, repr=not secret)


def text(default=attrs.NOTHING):
    """Return a field for a non-empty string."""
    return make_field('a text that is not empty', bool, default)


def port(default=attrs.NOTHING):
    """Return a field for a port; 0 selects a free one."""
    return make_field(
        f'a port from 0 to {MAX_PORT}',
        lambda value: 0 <= value <= MAX_PORT,
        default,
    )


def address(default=attrs.NOTHING):
    """Return a field for an address as ``host:port``."""
    return make_field("'host:port'", _is_address, default)


def optional_address():
    """Return a field for an address, empty for none."""
    return make_field(
        "'host:port' or ''", lambda value: not value or _is_address(value), ''
    )


def _is_address(value):
    try:
        addr = httpio.Address.parse(value)
    except ValueError:
        return False
    return addr.port <= MAX_PORT


def positive_number(unit, default=attrs.NOTHING):
    """Return a field for a positive number of `unit`."""
    return make_field(
        f'a number of {unit} above 0',
        lambda value: value is None or value > 0,
        default,
    )


def count(minimum=1, maximum=100_000, default=attrs.NOTHING):
    """Return a field for an integer from `minimum` to `maximum`."""
    return make_field(
        f'a whole number from {minimum} to {maximum}',
        lambda value: minimum <= value <= maximum,
        default,
    )


def choice(*values, default=attrs.NOTHING):
    """Return a field for one of `values`."""
    return make_field(
        'one of ' + ', '.join(repr(value) for value in values),
        lambda value: value in values,
        default,
    )


def names():
    """Return a field for a list of non-empty names."""
    return make_field('a list of names', all, [])


def optional_secret():
    """Return a field for a key that must not be shown, empty for none."""
    return make_field(
        f"a text of at least {MIN_SECRET_CHARS} characters or ''",
        lambda value: not value or len(value) >= MIN_SECRET_CHARS,
        '',
        secret=True,
    )


def secret():
    """Return a field for a key that must not be shown."""
    return make_field(
        f'a text of at least {MIN_SECRET_CHARS} characters',
        lambda value: len(value) >= MIN_SECRET_CHARS,
        secret=True,
    )
