"""Waits for the signal of a planned stop.

A handler that sets a `threading.Event` can run while the main thread holds
that event's lock inside ``wait``; it then waits for itself, and the process
never stops. Here no handler runs: the signals are blocked in all threads and
taken by the main thread.
"""

import signal

_SIGNALS = frozenset([signal.SIGTERM, signal.SIGINT])


def block():
    """Hold the signals back; call it before any thread is started.

    A signal that comes before `wait` is kept for it.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, _SIGNALS)


def wait():
    """Return once a signal has come."""
    signal.sigwait(_SIGNALS)
