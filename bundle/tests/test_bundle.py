"""The one-file build runs by itself, in one process, from its place."""

import json
import os
import pathlib
import subprocess
import sys

import attrs
import pytest

import bundle.__main__ as builder
import catkinshunt
from catkinshunt import httpio
from standins import demo
from standins import deployment
from standins import launch

KEY = 'the key of this deployment'


@pytest.fixture(scope='module')
def program(tmp_path_factory):
    """Build once; give the words that start it.

    The interpreter is told to leave the environment's libraries out.
    """
    path = tmp_path_factory.mktemp('dist') / 'catkinshunt'
    builder.build(path)
    return [sys.executable, '-I', '-S', str(path)]


def run(program, *words):
    return subprocess.run(
        [*program, *words], capture_output=True, text=True, timeout=60
    )


def test_version(program):
    done = run(program, '--version')
    assert done.stdout == f'catkinshunt {catkinshunt.__version__}\n'
    assert done.returncode == 0


def test_equal_sources_give_equal_files(program, tmp_path):
    again = tmp_path / 'catkinshunt'
    builder.build(again)
    assert again.read_bytes() == pathlib.Path(program[-1]).read_bytes()
    assert os.access(again, os.X_OK)


def test_experiment_says_that_the_model_is_not_shipped(program, tmp_path):
    """An operator plays a scenario with the program of an instance.

    The model comes with the sources only, and a traceback would look like
    a broken build.
    """
    path = tmp_path / 'scenario.json'
    path.write_text('{}')
    done = run(program, 'experiment', str(path))
    assert done.returncode == 2
    assert 'standins, which is not shipped' in done.stderr
    assert done.stderr.count('\n') == 1
    assert done.stdout == ''


def test_other_python_is_told_what_is_needed():
    """An instance holds another Python than the file was built for.

    It skips the compiled modules, and the operator would read of a missing
    module.
    """
    source = builder._start_source().replace(
        repr(tuple(sys.version_info[:2])), '(3, 1)'
    )
    done = subprocess.run(
        [sys.executable, '-c', source], capture_output=True, text=True
    )
    assert done.returncode == 1
    assert done.stderr.startswith('catkinshunt: needs Python 3.1, started by')


def test_process_has_no_child_and_unpacks_nothing(program, tmp_path):
    """A bundle's loader starts a child, or unpacks itself, at each start.

    Instances have no disks, and a process may start no other: on them such
    a bundle would not run, or would fill the memory file system.
    """
    folder = tmp_path / 'tmp'
    folder.mkdir()
    cfg = {
        'name': 'entry-1',
        'region': 'Thessalia',
        'data_centre': 'larisa-a',
        'deployment_key': KEY,
        'platform': {
            'key_value': '127.0.0.1:1',
            'instance_list': '127.0.0.1:1',
        },
        'operator_port': launch.free_ports(1)[0],
    }
    path = tmp_path / 'entry.json5'
    path.write_text(json.dumps(cfg))
    popen = subprocess.Popen(
        [*program, 'entry', str(path)],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
        env={'TMPDIR': str(folder), 'HOME': str(folder)},
    )
    try:
        assert popen.stdout.readline().startswith('127.0.0.1:')
        proc = pathlib.Path('/proc') / str(popen.pid)
        tasks = list((proc / 'task').iterdir())
        children = [(task / 'children').read_text() for task in tasks]
        assert len(tasks) > 1
        assert ''.join(children) == ''
        address = httpio.Address('127.0.0.1', cfg['operator_port'])
        for page in ('/health', '/ready', '/metrics', '/status'):
            assert httpio.exchange(address, 'GET', page).status == 200
        assert list(folder.iterdir()) == []
        assert program[-1] not in (proc / 'maps').read_text()
    finally:
        launch.end(popen)
    assert popen.returncode == 0


def test_whole_path_runs_on_the_build(program):
    deployed = attrs.evolve(
        deployment.load('indus'),
        model_service=deployment.Service('wellrec-llm', 2),
        booking_service=deployment.Service('records-api', 1),
        entries=1,
        model_bytes=1 << 20,
        link_bytes_per_s=8e6,
        origin_bytes_per_s=16e6,
    )
    timeline = demo.Timeline(
        calm_s=0.2,
        runner_killed_s=0.1,
        store_down_s=0.2,
        entry_killed_s=None,
        store_up_s=0.6,
        end_s=0.8,
    )
    value = demo.Demo(deployed, timeline, program).run()
    assert demo.is_good(value), value
    assert value['answered'] > 0
