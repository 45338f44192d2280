"""Start time, memory, size and children of ways to ship the product.

``python -m benchmarks.bench_binary [NAME=COMMAND ...]`` measures the sources
and the one-file build, and further builds that are given by name.
"""

import json
import os
import pathlib
import shlex
import statistics
import subprocess
import sys
import tempfile
import time

from benchmarks import processes
from benchmarks import report
import bundle.__main__ as builder
from standins import launch

STARTS = 7
_MIB = 1 << 20
#: Over the sources started by the same interpreter.
MAX_START_RATIO = 2.0
MAX_MEMORY_RATIO = 1.25
_CFG = {
    'name': 'entry-1',
    'region': 'Thessalia',
    'data_centre': 'larisa-a',
    'deployment_key': 'the key of this deployment',
    'platform': {'key_value': '127.0.0.1:1', 'instance_list': '127.0.0.1:1'},
}


def version_s(words):
    """Return the median time of ``--version`` in seconds."""
    taken = []
    for _ in range(STARTS):
        begin = time.monotonic()
        subprocess.run([*words, '--version'], check=True, capture_output=True)
        taken.append(time.monotonic() - begin)
    return statistics.median(taken)


def run_entry(words):
    """Start an entry; return what it takes while it is idle."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder, 'entry.json5')
        path.write_text(json.dumps(_CFG))
        unpacked = pathlib.Path(folder, 'unpacked')
        unpacked.mkdir()
        places = {'TMPDIR': str(unpacked), 'HOME': str(unpacked)}
        begin = time.monotonic()
        popen = subprocess.Popen(
            [*words, 'entry', str(path)],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
            env={**os.environ, **places},
        )
        popen.stdout.readline()
        listens_s = time.monotonic() - begin
        pids = [popen.pid, *_children(popen.pid)]
        rss_bytes = sum(processes.usage(pid).rss_bytes for pid in pids)
        files = [item for item in unpacked.rglob('*') if item.is_file()]
        size = sum(item.stat().st_size for item in files)
        launch.end(popen)
    return listens_s, rss_bytes, len(pids) - 1, size


def _children(pid):
    tasks = pathlib.Path('/proc', str(pid), 'task').iterdir()
    words = ' '.join((task / 'children').read_text() for task in tasks)
    return [int(word) for word in words.split()]


def _size(words):
    """Return the bytes of the file that `words` run, or None."""
    path = pathlib.Path(words[-1])
    return path.stat().st_size if path.is_file() else None


def bench_binary(builds):
    """Measure all builds; fail where the one file costs too much."""
    with tempfile.TemporaryDirectory() as folder:
        one_file = pathlib.Path(folder, 'catkinshunt')
        builder.build(one_file)
        builds = {
            'sources': [*launch.PROGRAM],
            'one file': [sys.executable, '-I', '-S', str(one_file)],
            **builds,
        }
        rows, ratios = _measure(builds)
    report.print_table(
        'Builds (memory of an idle entry, with its children)',
        (
            'build',
            'size MiB',
            '--version s',
            'listens after s',
            'RSS MiB',
            'children',
            'unpacked MiB',
        ),
        rows,
    )
    report.write_result('binary', ratios)
    report.check_bounds(
        report.Bound('start', ratios['start'], at_most=MAX_START_RATIO),
        report.Bound('memory', ratios['memory'], at_most=MAX_MEMORY_RATIO),
        report.Bound('children', ratios['children'], at_most=0),
    )


def _measure(builds):
    rows = []
    found = {}
    for name, words in builds.items():
        start_s = version_s(words)
        listens_s, rss_bytes, children, unpacked = run_entry(words)
        found[name] = listens_s, rss_bytes, children
        size = _size(words)
        rows.append(
            (
                name,
                '-' if size is None else f'{size / _MIB:.1f}',
                f'{start_s:.2f}',
                f'{listens_s:.2f}',
                f'{rss_bytes / _MIB:.1f}',
                children,
                f'{unpacked / _MIB:.1f}',
            )
        )
    ours, plain = found['one file'], found['sources']
    ratios = {
        'start': round(ours[0] / plain[0], 3),
        'memory': round(ours[1] / plain[1], 3),
        'children': ours[2],
    }
    return rows, ratios


if __name__ == '__main__':
    named = (word.partition('=') for word in sys.argv[1:])
    bench_binary({name: shlex.split(words) for name, _, words in named})
