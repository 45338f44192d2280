"""The clocks of a process."""

import time


def monotonic():
    """Return seconds on the steady clock, for time-outs and durations."""
    return time.monotonic()


def boottime():
    """Return seconds since the machine's start, suspends counted.

    What was learnt before a suspend must look as old as it is afterwards;
    the steady clock stands still meanwhile, and the time of day may jump.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
