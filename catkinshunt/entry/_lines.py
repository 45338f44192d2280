"""Follows a stream of JSON lines and finds whether it is whole."""

import json

from catkinshunt import errors

_MAX_LINE_BYTES = 1024 * 1024


class LineFollower:
    """Lets only whole lines through, in the order of their index.

    A stream that is taken up at another upstream must go on exactly where
    it broke off. Half a line, a piece twice or a piece left out would reach
    the caller as a wrong answer that looks whole.

    Args:
        first_index: index of the piece that the caller asked to begin with.

    Examples:
        >>> follower = LineFollower()
        >>> follower.feed(b'{"index": 0, "text": "a"}\\n{"ind')
        b'{"index": 0, "text": "a"}\\n'
        >>> follower.next_index
        1
        >>> follower.drop_part()
        >>> follower.feed(b'{"done": true, "pieces": 1}\\n')
        b'{"done": true, "pieces": 1}\\n'
        >>> follower.done
        True
    """

    def __init__(self, first_index=0):
        self.first_index = first_index
        self.next_index = first_index
        self.done = False
        self._part = b''
        self._fault = ''

    def feed(self, piece):
        """Return the lines that `piece` completes, up to a wrong one."""
        if self._fault:
            return b''
        lines = (self._part + piece).split(b'\n')
        self._part = lines.pop()
        if len(self._part) > _MAX_LINE_BYTES:
            self._fault = 'line too long'
        right = []
        for line in lines:
            self._fault = self._check(line)
            if self._fault:
                break
            right.append(line + b'\n')
        return b''.join(right)

    def check(self):
        """Raise if a line was wrong.

        Raises:
            errors.IncompleteAnswerError: it was.
        """
        if self._fault:
            raise _incomplete(self._fault)

    def check_end(self):
        """Raise unless the last line said that the answer is whole.

        Raises:
            errors.IncompleteAnswerError: the stream ended before that.
        """
        self.check()
        if not self.done or self._part:
            raise _incomplete('ended early')

    def drop_part(self):
        """Forget half a line or a wrong one, before another upstream."""
        self._part = b''
        self._fault = ''

    def _check(self, line):
        """Return what is wrong with a line, or nothing."""
        try:
            value = json.loads(line)
            done = value.get('done') is True
            number = value['pieces'] if done else value['index']
        except (ValueError, AttributeError, KeyError):
            return f'unreadable line {line[:80]!r}'
        if self.done or number != self.next_index:
            return f'line {number!r} came where {self.next_index} was next'
        self.done = done
        self.next_index += not done
        return ''


def _incomplete(reason):
    return errors.IncompleteAnswerError(
        f'answer broke off: {reason}', step='relay'
    )
