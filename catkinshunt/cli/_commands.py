"""Commands of ``catkinshunt``."""

import signal
import sys
import threading

import fire

from catkinshunt import entry
from catkinshunt import errors
from catkinshunt import settings
from catkinshunt import sidecar


class Commands:
    """Weight distribution and request routing for bursts."""

    def entry(self, path):
        """Run an entry instance with the settings at PATH."""
        cfg = settings.load_settings(path, settings.EntrySettings)
        _serve(entry.EntryProcess(cfg))

    def sidecar(self, path):
        """Run the process beside an upstream with the settings at PATH."""
        cfg = settings.load_settings(path, settings.SidecarSettings)
        _serve(sidecar.SidecarProcess(cfg))


def _serve(process):
    """Run `process` until SIGTERM; the first line printed is its address."""
    stopped = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopped.set())
    with process:
        print(process.address, flush=True)
        stopped.wait()


def main():
    """Run the command line; an error ends it with one line."""
    try:
        fire.Fire(Commands, name='catkinshunt')
    except errors.CatkinshuntError as exc:
        print(f'catkinshunt: {exc}', file=sys.stderr)
        sys.exit(2)
