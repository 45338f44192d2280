"""Rate limit for log lines, and a stream that does not block."""

import collections
import sys
import threading

from catkinshunt import base

#: Lines queued for a slow reader; further lines are dropped. At 400 bytes a
#: line the queue takes less than a megabyte.
MAX_QUEUED_LINES = 2000
#: Sustained rate of lines. One line takes about 60 us of processor time, so
#: this is 1.2 % of a core.
LINES_PER_S = 200.0
#: Lines allowed at once above that rate.
BURST_LINES = 600.0
#: Lines are collected for this long and written in one batch.
BATCH_DELAY_S = 0.05


class LineRateLimiter(base.ParamsMixin):
    """Token bucket for log lines; counts dropped lines by kind.

    Args:
        lines_per_s: sustained rate.
        burst: capacity of the bucket in lines.

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
        """Return whether a line of this kind may be written at `now`."""
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
        """Count one dropped line of this kind."""
        self._dropped[kind] += 1

    def pop_dropped(self):
        """Return and reset the number of dropped lines by kind."""
        found = dict(self._dropped)
        self._dropped.clear()
        return found


class BackgroundStream:
    """A text stream whose writes never block.

    Otherwise a reader that stops reading would block the process at its next
    log line, and with it all requests.

    Args:
        stream: the stream that a background thread writes to; standard
            output if None.
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
        """Enqueue `text`, or drop it if the queue is full."""
        if len(self._lines) >= MAX_QUEUED_LINES:
            self.dropped_lines += 1
            return
        self._lines.append(text)
        if not self._has_lines.is_set():
            self._has_lines.set()

    def flush(self):
        """Do nothing; the background thread flushes."""

    def close(self, timeout_s=0.5):
        """Write queued lines, for at most `timeout_s` seconds."""
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
