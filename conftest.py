"""Passes over the tests that `KNOWN-RED.txt` lists, and prints them.

Each line of the file names a test that fails for a known fault: its id,
then how to run it, what is seen, and the cause. Such a test still runs; its
failure does not fail the run, and its line is printed so that it is not
forgotten.
"""

import pathlib

import pytest

KNOWN_RED = pathlib.Path(__file__).parent / 'KNOWN-RED.txt'
MOST = 6
#: Lines on crowds of clients, which do not count against `MOST`.
CROWD_ISSUE = 'issue 61'


def _read_lines():
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text(encoding='utf-8').splitlines()
    return [line for line in lines if line and not line.startswith('#')]


def pytest_collection_modifyitems(items):
    """Mark the listed tests; refuse a list that has grown too long."""
    lines = _read_lines()
    counted = [line for line in lines if not line.endswith(CROWD_ISSUE)]
    if len(counted) > MOST:
        raise pytest.UsageError(f'{KNOWN_RED.name} holds over {MOST} lines')
    reasons = {line.split()[0].rstrip(','): line for line in lines}
    for item in items:
        if item.nodeid in reasons:
            reason = reasons[item.nodeid]
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))


def pytest_terminal_summary(terminalreporter):
    """Print what is passed over."""
    for line in _read_lines():
        terminalreporter.write_line(f'known red: {line}')
