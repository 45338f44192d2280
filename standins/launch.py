"""Starts stand-ins and processes of the system, for tests and the demo."""

import contextlib
import json
import random
import socket
import subprocess
import sys
import tempfile
import threading

import attrs

from catkinshunt import httpio

STOP_TIMEOUT_S = 10.0
_PORTS = (12_000, 32_000)
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
        if not address:
            raise RuntimeError(f'{name} did not start')
        launched = Launched(name, popen, httpio.Address.parse(address))
        self.launched[name] = launched
        return launched


def free_ports(count):
    """Return ports on which nothing listens.

    They lie below those that the kernel gives to outgoing connections,
    which could take one before the process that is meant to listen there.
    """
    ports = []
    while len(ports) < count:
        with _ports_lock:
            port = next(_ports)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(('127.0.0.1', port))
            ports.append(port)
    return ports


def _count_ports():
    first = random.SystemRandom().randrange(*_PORTS)
    yield from range(first, _PORTS[1])
    while True:
        yield from range(*_PORTS)


_ports = _count_ports()
_ports_lock = threading.Lock()


def end(popen):
    """Ask a process to stop, and make it after a while."""
    popen.terminate()
    try:
        popen.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        popen.kill()
        popen.wait()
    popen.stdout.close()
