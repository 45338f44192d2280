"""Follows a stream of JSON lines and finds whether it is whole."""

import json

from catkinshunt import errors

_MAX_LINE_BYTES = 1024 * 1024


class LineValidator:
    """Lets only whole lines through, in the order of their index.

    A stream that is taken up at another upstream must go on exactly where
    it broke off. Half a line, a piece twice or a piece left out would reach
    the caller as a wrong answer that looks whole.

    Args:
        first_index: index of the piece that the caller asked to begin with.

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
        """Return the lines that `piece` completes, up to a wrong one."""
        if self._error:
            return b''
        lines = (self._partial_line + piece).split(b'\n')
        self._partial_line = lines.pop()
        if len(self._partial_line) > _MAX_LINE_BYTES:
            self._error = 'line too long'
        valid_lines = []
        for line in lines:
            self._error = self._check(line)
            if self._error:
                break
            valid_lines.append(line + b'\n')
        return b''.join(valid_lines)

    def check(self):
        """Raise if a line was wrong.

        Raises:
            errors.IncompleteAnswerError: it was.
        """
        if self._error:
            raise _incomplete(self._error)

    def check_end(self):
        """Raise unless the last line said that the answer is whole.

        Raises:
            errors.IncompleteAnswerError: the stream ended before that.
        """
        self.check()
        if not self.done or self._partial_line:
            raise _incomplete('ended early')

    def discard_partial_line(self):
        """Forget half a line or a wrong one, before another upstream."""
        self._partial_line = b''
        self._error = ''

    def _check(self, line):
        """Return what is wrong with a line, or nothing."""
        try:
            value = json.loads(line)
            done = value.get('done') is True
            index = value['pieces'] if done else value['index']
        except (ValueError, AttributeError, KeyError):
            return f'unreadable line {line[:80]!r}'
        if self.done or index != self.next_index:
            return f'line {index!r} came where {self.next_index} was next'
        self.done = done
        self.next_index += not done
        return ''


def _incomplete(reason):
    return errors.IncompleteAnswerError(
        f'answer broke off: {reason}', step='relay'
    )
