"""Validates a stream of JSON lines."""

import json

from catkinshunt import errors

_MAX_LINE_BYTES = 1024 * 1024


class LineValidator:
    """Passes complete lines only, in the order of their index.

    A stream that is resumed at another upstream must continue exactly where
    it broke off. A truncated, duplicated or missing piece would reach the
    caller as a wrong response that looks complete.

    Args:
        first_index: index of the first piece that the caller requested.

    Examples:
        >>> validator = LineValidator()
        >>> validator.feed(b'{"index": 0, "text": "a"}\\n{"ind')
        b'{"index": 0, "text": "a"}\\n'
        >>> validator.next_index
        1
        >>> validator.discard_partial_line()
        >>> validator.feed(b'{"done": true, "pieces": 1}\\n')
        b'{"done": true, "pieces": 1}\\n'
        >>> validator.done
        True
    """

    def __init__(self, first_index=0):
        self.first_index = first_index
        self.next_index = first_index
        self.done = False
        self._partial_line = b''
        self._error = ''

    def feed(self, piece):
        """Return the lines that `piece` completes, up to an invalid one."""
        if self._error:
            return b''
        lines = (self._partial_line + piece).split(b'\n')
        self._partial_line = lines.pop()
        if len(self._partial_line) > _MAX_LINE_BYTES:
            self._error = 'line exceeds the size limit'
        valid_lines = []
        for line in lines:
            self._error = self._check(line)
            if self._error:
                break
            valid_lines.append(line + b'\n')
        return b''.join(valid_lines)

    def check(self):
        """Raise if a line was invalid.

        Raises:
            errors.IncompleteAnswerError: a line was invalid.
        """
        if self._error:
            raise _incomplete(self._error)

    def check_end(self):
        """Raise unless the stream ended with its end line.

        Raises:
            errors.IncompleteAnswerError: the stream ended before that.
        """
        self.check()
        if not self.done or self._partial_line:
            raise _incomplete('stream ended early')

    def discard_partial_line(self):
        """Discard a partial or invalid line before resuming the stream."""
        self._partial_line = b''
        self._error = ''

    def _check(self, line):
        """Return why a line is invalid, or an empty text."""
        try:
            value = json.loads(line)
            done = value.get('done') is True
            index = value['pieces'] if done else value['index']
        except (ValueError, AttributeError, KeyError):
            return f'invalid line {line[:80]!r}'
        if self.done or index != self.next_index:
            return f'line {index!r} out of order, expected {self.next_index}'
        self.done = done
        self.next_index += not done
        return ''


def _incomplete(reason):
    return errors.IncompleteAnswerError(
        f'incomplete response: {reason}', step='relay'
    )
