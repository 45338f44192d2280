"""Tests of the start of a process, with its real command line."""

import json
import pathlib
import subprocess
import sys

import pytest

from standins import launch

KEY = 'the key of this deployment'
CFG = {
    'name': 'one',
    'region': 'Thessalia',
    'data_centre': 'larisa-a',
    'deployment_key': KEY,
    'platform': {
        'key_value': '127.0.0.1:1',
        'instance_list': '127.0.0.1:1',
        'origin': '127.0.0.1:1',
    },
}
SIDECAR = {
    'service': 's',
    'upstream': '127.0.0.1:1',
    'is_engine': True,
    'port': launch.free_ports(1)[0],
}


@pytest.mark.parametrize(
    ('role', 'extra'), [('entry', {}), ('sidecar', SIDECAR)]
)
def test_process_replaces_itself_and_hides_its_key(role, extra, tmp_path):
    """On the command line every user of the machine could read the key.

    They could then call the control interfaces. The process must also keep
    its process id, which its supervisor waits for.
    """
    path = tmp_path / 'one.json5'
    path.write_text(json.dumps(CFG | extra))
    popen = subprocess.Popen(
        [*launch.PROGRAM, role, str(path)],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        assert popen.stdout.readline().startswith('127.0.0.1:')
        proc = pathlib.Path('/proc') / str(popen.pid)
        words = (proc / 'cmdline').read_bytes().split(b'\0')
        assert [b'run-checked', role.encode()] == words[-5:-3]
        assert KEY.encode() not in b' '.join(words)
        assert KEY.encode() not in (proc / 'environ').read_bytes()
    finally:
        popen.terminate()
        _, err = popen.communicate(timeout=30)
    assert popen.returncode == 0
    assert 'process: one has stopped.' in err
    assert KEY not in err


def test_wrong_settings_end_before_anything_listens(tmp_path):
    path = tmp_path / 'one.json5'
    path.write_text(json.dumps(CFG | {'port': 'x'}))
    done = subprocess.run(
        [*launch.PROGRAM, 'entry', str(path)], capture_output=True, text=True
    )
    assert done.returncode == 2
    assert done.stdout == ''
    assert done.stderr.count('\n') == 1
    assert 'port' in done.stderr
    assert sys.executable not in done.stderr


def test_stop_signal_is_not_lost():
    """SIGTERM arrives when the main thread begins to wait for it.

    Its handler waited for a lock that the same thread held, and the process
    ran until it was killed, which aborted its requests.
    """
    source = """
import os, signal
from catkinshunt.cli import _stop_signal
_stop_signal.block()
for _ in range(200):
    os.kill(os.getpid(), signal.SIGTERM)
    _stop_signal.wait()
print('ended')
"""
    done = subprocess.run(
        [sys.executable, '-c', source],
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert done.stdout == 'ended\n'
