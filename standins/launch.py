"""Starts stand-ins and processes of the system, for tests and the demo."""

import contextlib
import json
import subprocess
import sys
import tempfile

import attrs

from catkinshunt import httpio

STOP_TIMEOUT_S = 10.0


@attrs.frozen
class Launched:
    """A running process and the address that it printed."""

    name: str
    popen: subprocess.Popen
    address: httpio.Address


class Launcher(contextlib.ExitStack):
    """Starts processes and ends all of them on exit."""

    def __init__(self):
        super().__init__()
        self._folder = self.enter_context(tempfile.TemporaryDirectory())
        self.launched = {}

    def standin(self, name, kind, **options):
        """Start the stand-in `kind` and wait until it listens."""
        args = [f'--{key}={value}' for key, value in options.items()]
        return self._launch(name, ['-m', 'standins', kind, *args])

    def process(self, name, role, cfg):
        """Start ``entry`` or ``sidecar`` with the settings `cfg`."""
        path = f'{self._folder}/{name}.json'
        with open(path, 'w', encoding='utf-8') as file:
            json.dump(cfg, file)
        return self._launch(name, ['-m', 'catkinshunt', role, path])

    def _launch(self, name, args):
        popen = subprocess.Popen(
            [sys.executable, *args],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        self.callback(end, popen)
        address = popen.stdout.readline().strip()
        launched = Launched(name, popen, httpio.Address.parse(address))
        self.launched[name] = launched
        return launched


def end(popen):
    """Ask a process to stop, and make it after a while."""
    popen.terminate()
    try:
        popen.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        popen.kill()
        popen.wait()
    popen.stdout.close()
