"""Waits for the signal of a planned stop.

A handler that sets a `threading.Event` can run while the main thread holds
the lock of that event inside ``wait``. This is a deadlock, and the process
never stops. Therefore no handler is used: the signals are blocked in all
threads, and the main thread waits for them.
"""

import signal

_SIGNALS = frozenset([signal.SIGTERM, signal.SIGINT])


def block():
    """Block the signals; must be called before any thread is started.

    A signal that arrives before `wait` stays pending.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, _SIGNALS)


def wait():
    """Return once a signal has arrived."""
    signal.sigwait(_SIGNALS)
