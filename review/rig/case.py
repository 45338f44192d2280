"""Runs one case: the record, the exit status, and the end of all programs."""

import asyncio
import os
import sys
import time
import traceback

BROKEN, HELD, FAILED = 1, 0, 2


class Record:
    """What was sent, answered and run; written to a file at once."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._began = time.monotonic()

    def add(self, text):
        """Add a line with the seconds since the start."""
        at = time.monotonic() - self._began
        self._file.write(f'{at:8.3f}  {text}\n')
        self._file.flush()

    def at(self, moment):
        """Return seconds since the start of a time of `time.monotonic`."""
        return f'{moment - self._began:.3f}'


def has_trouble():
    """Return whether the disruption is to be caused."""
    return os.environ.get('TROUBLE', '1') != '0'


def run(case, make_system):
    """Run a case and exit.

    Args:
        case: coroutine function of a `System` and a `Record` that returns
            the ways in which the rule was broken.
        make_system: function that returns the `System`.
    """
    record = Record(sys.argv[1])
    try:
        broken = asyncio.run(_run(case, make_system, record))
    except Exception:
        record.add(f'could not run: {traceback.format_exc()}')
        sys.exit(FAILED)
    for text in broken:
        record.add(f'BROKEN: {text}')
        print(f'broken: {text}')
    record.add('the rule was broken' if broken else 'the rule held')
    sys.exit(BROKEN if broken else HELD)


async def _run(case, make_system, record):
    system = make_system()
    try:
        await system.start()
        record.add('the programs are ready')
        return await case(system, record)
    finally:
        await system.close()
