"""The real programs as processes that are started, harmed and ended."""

import os
import pathlib
import signal
import subprocess
import sys

import attrs

ROOT = pathlib.Path(__file__).parents[2]
STOP_S = 12.0


@attrs.define
class Process:
    """One entry or sidecar.

    Attributes:
        name: name of its instance.
        role: ``'entry'`` or ``'sidecar'``.
        settings: path of its settings file.
        log: path of the file with its lines.
    """

    name: str
    role: str
    settings: str
    log: str
    popen: subprocess.Popen | None = None
    frozen: bool = False

    def start(self):
        """Start the program, unless it runs."""
        if self.popen is not None and self.popen.poll() is None:
            return
        env = {**os.environ, 'CATKINSHUNT_CONFIG': self.settings}
        with open(self.log, 'ab') as log:
            self.popen = subprocess.Popen(
                [sys.executable, '-m', 'catkinshunt.platform', self.role],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
        self.frozen = False

    def send(self, number):
        """Send a signal to this process, and to no other."""
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def freeze(self):
        """Stop the process in its tracks."""
        self.frozen = True
        self.send(signal.SIGSTOP)

    def thaw(self):
        """Let a frozen process go on."""
        self.frozen = False
        self.send(signal.SIGCONT)

    def end(self):
        """End the process for good."""
        if self.popen is None or self.popen.poll() is not None:
            return
        self.thaw()
        self.popen.terminate()
        try:
            self.popen.wait(STOP_S)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            self.popen.wait()
