"""Kinds of settings fields: what each allows, and its check.

Each function makes an `attrs.field`. What is allowed is kept as text in the
field's metadata, so that an error can say it.
"""

import attrs

from catkinshunt import httpio

ALLOWED = 'allowed'
CHECK = 'check'
SECRET = 'secret'  # noqa: S105
MAX_PORT = 65535
#: Shorter keys can be guessed by trying.
MIN_SECRET_CHARS = 16


def make_field(allowed, check=None, default=attrs.NOTHING, secret=False):
    """Return a field whose errors say what is `allowed`.

    Args:
        allowed: text for the operator, such as ``'a number above 0'``.
        check: function of the value that returns whether it is allowed.
        default: value if the file leaves the field out.
        secret: never show the value, neither in errors nor in ``repr``.
    """
    metadata = {ALLOWED: allowed, CHECK: check, SECRET: secret}
    if isinstance(default, list):
        items = list(default)
        default = attrs.Factory(lambda: list(items))
    return attrs.field(default=default, metadata=metadata, repr=not secret)


def text(default=attrs.NOTHING):
    """Return a field for a text that is not empty."""
    return make_field('a text that is not empty', bool, default)


def port(default=attrs.NOTHING):
    """Return a field for a port; 0 takes a free one."""
    return make_field(
        f'a port from 0 to {MAX_PORT}',
        lambda value: 0 <= value <= MAX_PORT,
        default,
    )


def address(default=attrs.NOTHING):
    """Return a field for the address of another process."""
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
    """Return a field for a number of `unit` above 0."""
    return make_field(
        f'a number of {unit} above 0',
        lambda value: value is None or value > 0,
        default,
    )


def count(minimum=1, maximum=100_000, default=attrs.NOTHING):
    """Return a field for a whole number from `minimum` to `maximum`."""
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
    """Return a field for a list of names, each not empty."""
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
