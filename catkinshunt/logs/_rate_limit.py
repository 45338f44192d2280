"""Keeps the volume of log lines bounded, and writes without blocking."""

import collections
import sys
import threading

from catkinshunt import base

#: Lines that wait for a slow reader; beyond them lines are left out. At 400
#: bytes a line this holds less than a megabyte.
MAX_QUEUED_LINES = 2000
#: Lines a second that are written in the long run. One line of a request
#: takes about 60 us of processor time, so this is 1.2 % of a core.
LINES_PER_S = 200.0
#: Lines that may come at once beyond that rate.
BURST_LINES = 600.0
#: Seconds for which lines are gathered before they are written together.
BATCH_DELAY_S = 0.05


class LineRateLimiter(base.ParamsMixin):
    """Allows lines up to a rate, and counts those that are left out.

    Args:
        lines_per_s: lines a second in the long run.
        burst: lines at once beyond that.

    Examples:
        >>> budget = LineRateLimiter(lines_per_s=1.0, burst=1.0)
        >>> [budget.allow('http', now=0.0) for _ in range(3)]
        [True, False, False]
        >>> budget.pop_dropped()
        {'http': 2}
    """

    def __init__(self, lines_per_s=LINES_PER_S, burst=BURST_LINES):
        self.lines_per_s = lines_per_s
        self.burst = burst
        self._tokens = burst
        self._refilled_at = None
        self._dropped = collections.Counter()

    def allow(self, kind, now):
        """Return whether a line of this kind is written at `now`."""
        if self._refilled_at is not None:
            refill = (now - self._refilled_at) * self.lines_per_s
            self._tokens = min(self.burst, self._tokens + refill)
        self._refilled_at = now
        if self._tokens >= 1:
            self._tokens -= 1
            return True
        self.count_dropped(kind)
        return False

    def count_dropped(self, kind):
        """Count one line of this kind that is not written."""
        self._dropped[kind] += 1

    def pop_dropped(self):
        """Return the lines left out since the last call, by kind."""
        found = dict(self._dropped)
        self._dropped.clear()
        return found


class BackgroundStream:
    """A text stream whose writes never wait for the reader.

    A reader that stops reading would otherwise stop the process at its next
    log line, and with it all requests.

    Args:
        stream: the stream that is written to by a thread of its own.
    """

    def __init__(self, stream=None):
        self.stream = stream or sys.stdout
        self.dropped_lines = 0
        self._lines = collections.deque()
        self._has_lines = threading.Event()
        self._closed = False
        self._thread = threading.Thread(
            target=self._run, name='log-writer', daemon=True
        )
        self._thread.start()

    def write(self, text):
        """Hand over `text`, or leave it out where too much waits."""
        if len(self._lines) >= MAX_QUEUED_LINES:
            self.dropped_lines += 1
            return
        self._lines.append(text)
        if not self._has_lines.is_set():
            self._has_lines.set()

    def flush(self):
        """Do nothing; the thread flushes what it writes."""

    def close(self, timeout_s=0.5):
        """Write what waits, for at most `timeout_s` seconds."""
        self._closed = True
        self._has_lines.set()
        self._thread.join(timeout_s)

    def _run(self):
        pause = threading.Event()
        while not self._closed:
            self._has_lines.wait()
            if not self._closed:
                pause.wait(BATCH_DELAY_S)
            self._has_lines.clear()
            self._write_queued()
        self._write_queued()

    def _write_queued(self):
        lines = []
        while self._lines:
            lines.append(self._lines.popleft())
        if self.dropped_lines:
            count, self.dropped_lines = self.dropped_lines, 0
            lines.append(
                f'{{"prefix": "logs", "message": "Left out {count} lines: '
                'the reader is slow."}\n'
            )
        if lines:
            self.stream.write(''.join(lines))
            self.stream.flush()
