"""Progress display for long computations."""

#: Seconds before progress is displayed.
_DISPLAY_DELAY_S = 1.0
#: Seconds between lines in a file or pipe, and between updates on a terminal.
_LINE_PERIOD_S = 5.0
_REFRESH_PERIOD_S = 0.2
#: Length of the bar in characters.
_BAR_CHARS = 30


class Progress:
    """Draws a progress bar on a terminal, or periodic lines elsewhere.

    Short computations display nothing.

    Args:
        name: name of the computation.
        total: number of steps.
        stream: output stream, such as standard error.
        now: current time in seconds.

    Examples:
        >>> import sys
        >>> progress = Progress('burst', 4, sys.stdout, now=0.0)
        >>> progress.advance(now=0.5)
        >>> progress.advance(now=2.0)
        burst: [###############...............] 2 of 4
        >>> progress.advance(now=3.0)
    """

    def __init__(self, name, total, stream, now):
        self.name = name
        self.total = total
        self.stream = stream
        self._done_steps = 0
        self._next_write_at = now + _DISPLAY_DELAY_S
        self._shown = False

    def advance(self, now):
        """Count one finished step."""
        self._done_steps += 1
        if now < self._next_write_at:
            return
        self._shown = True
        if self.stream.isatty():
            self._next_write_at = now + _REFRESH_PERIOD_S
            self._write('\r', '')
        else:
            self._next_write_at = now + _LINE_PERIOD_S
            self._write('', '\n')

    def end(self):
        """Draw the final bar on a terminal."""
        if self._shown and self.stream.isatty():
            self._write('\r', '\n')

    def _write(self, before, after):
        marks = _BAR_CHARS * self._done_steps // self.total
        bar = ('#' * marks).ljust(_BAR_CHARS, '.')
        self.stream.write(
            f'{before}{self.name}: [{bar}] '
            f'{self._done_steps} of {self.total}{after}'
        )
        self.stream.flush()
