"""One thing that is wrong in a settings file."""

import attrs

#: Longer values are cut in messages.
MAX_SHOWN_CHARS = 60


@attrs.frozen
class Problem:
    """What is wrong with one field.

    Attributes:
        file: path of the settings file.
        field: path of the field in the file, such as ``'limits.queue'``.
        given: what the file holds there, as text.
        allowed: what may stand there, as text.

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
    """Return `value` as a short text on one line."""
    shown = repr(value)
    if len(shown) > MAX_SHOWN_CHARS:
        return shown[:MAX_SHOWN_CHARS] + '...'
    return shown
