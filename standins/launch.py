"""Starts stand-ins and processes of the system, for tests and the demo."""

import contextlib
import json
import socket
import subprocess
import sys
import tempfile

import attrs

from catkinshunt import httpio

STOP_TIMEOUT_S = 10.0
#: Words that start the product from its sources.
PROGRAM = (sys.executable, '-m', 'catkinshunt')


@attrs.frozen
class Launched:
    """A running process and the address that it printed."""

    name: str
    popen: subprocess.Popen
    address: httpio.Address


class Launcher(contextlib.ExitStack):
    """Starts processes and ends all of them on exit.

    Args:
        program: words that start the product, such as its one-file build.
        logs: folder for log lines, one file a process; None drops them.
    """

    def __init__(self, program=PROGRAM, logs=None):
        super().__init__()
        self.program = program
        self.logs = logs
        self._folder = self.enter_context(tempfile.TemporaryDirectory())
        self.launched = {}

    def __exit__(self, *exc_info):
        # All are asked first, so that they stop side by side.
        for launched in self.launched.values():
            launched.popen.terminate()
        return super().__exit__(*exc_info)

    def standin(self, name, kind, **options):
        """Start the stand-in `kind` and wait until it listens."""
        args = [f'--{key}={value}' for key, value in options.items()]
        words = [sys.executable, '-m', 'standins', kind, *args]
        return self._launch(name, words)

    def process(self, name, role, cfg):
        """Start ``entry`` or ``sidecar`` with the settings `cfg`."""
        path = f'{self._folder}/{name}.json'
        with open(path, 'w', encoding='utf-8') as file:
            json.dump(cfg, file)
        return self._launch(name, [*self.program, role, path])

    def _launch(self, name, words):
        with contextlib.ExitStack() as files:
            stderr = subprocess.DEVNULL
            if self.logs:
                path = f'{self.logs}/{name.replace("/", "-")}.log'
                stderr = files.enter_context(open(path, 'ab'))
            popen = subprocess.Popen(
                words, stdout=subprocess.PIPE, stderr=stderr, text=True
            )
        self.callback(end, popen)
        address = popen.stdout.readline().strip()
        launched = Launched(name, popen, httpio.Address.parse(address))
        self.launched[name] = launched
        return launched


def free_ports(count):
    """Return ports that are free now; they may be taken again later."""
    with contextlib.ExitStack() as held:
        socks = [held.enter_context(socket.socket()) for _ in range(count)]
        for sock in socks:
            sock.bind(('127.0.0.1', 0))
        return [sock.getsockname()[1] for sock in socks]


def end(popen):
    """Ask a process to stop, and make it after a while."""
    popen.terminate()
    try:
        popen.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        popen.kill()
        popen.wait()
    popen.stdout.close()
