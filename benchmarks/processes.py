"""Processor time and memory of a running process, from ``/proc``."""

import os
import pathlib

import attrs

_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_UTIME_FIELD = 11
_STIME_FIELD = 12


@attrs.frozen
class Usage:
    """What a process has used so far.

    Attributes:
        cpu_s: processor time, user and system, in seconds.
        rss_bytes: resident memory now.
        threads: threads now.
    """

    cpu_s: float
    rss_bytes: int
    threads: int


def usage(pid):
    """Return the `Usage` of the process `pid`."""
    folder = pathlib.Path('/proc') / str(pid)
    fields = (folder / 'stat').read_text().rpartition(')')[2].split()
    ticks = int(fields[_UTIME_FIELD]) + int(fields[_STIME_FIELD])
    status = dict(
        line.split(':', 1)
        for line in (folder / 'status').read_text().splitlines()
    )
    return Usage(
        cpu_s=ticks / _TICKS_PER_S,
        rss_bytes=int(status['VmRSS'].split()[0]) * 1024,
        threads=int(status['Threads']),
    )
