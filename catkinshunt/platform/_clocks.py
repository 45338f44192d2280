"""The clocks of a process."""

import time


def monotonic():
    """Return seconds on the monotonic clock, for time-outs and durations."""
    return time.monotonic()


def boottime():
    """Return seconds since the instance booted, including suspends.

    Cached state must age during a suspend. The monotonic clock stops
    meanwhile, and the time of day may jump.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_offset():
    """Return the Unix time at the zero of `boottime`, in seconds.

    Taken once at the start, it is not changed by later jumps of the time of
    day.
    """
    return time.time() - boottime()
