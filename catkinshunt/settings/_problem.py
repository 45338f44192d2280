"""A problem in a settings file."""

import attrs

#: Longer values are truncated in messages.
MAX_SHOWN_CHARS = 60


@attrs.frozen
class Problem:
    """A problem with one field.

    Attributes:
        file: path of the settings file.
        field: path of the field in the file, such as ``'limits.queue'``.
        given: the value in the file, as text.
        allowed: description of the allowed values.

    Examples:
        >>> print(Problem('entry.json5', 'port', "'x'", 'a port'))
        entry.json5: port: got 'x', allowed: a port
    """

    file: str
    field: str
    given: str
    allowed: str

    def __str__(self):
        return (
            f'{self.file}: {self.field}: got {self.given}, '
            f'allowed: {self.allowed}'
        )


def format_value(value):
    """Return the `repr` of `value`, truncated to one short line."""
    shown = repr(value)
    if len(shown) > MAX_SHOWN_CHARS:
        return shown[:MAX_SHOWN_CHARS] + '...'
    return shown
