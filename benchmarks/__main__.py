"""Runs all benchmarks one after another: ``python -m benchmarks``.

Each runs in a process of its own, so that the memory and the threads of one
do not show in the next. The exit code is 1 where a bound was passed.
"""

import pathlib
import subprocess
import sys


def main(names=()):
    """Run the benchmarks `names`, or all; return the exit code."""
    folder = pathlib.Path(__file__).parent
    found = names or sorted(path.stem for path in folder.glob('bench_*.py'))
    failed = []
    for name in found:
        print(f'== {name}', flush=True)
        done = subprocess.run([sys.executable, '-m', f'benchmarks.{name}'])
        if done.returncode:
            failed.append(name)
    print(f'{len(found) - len(failed)} passed, {len(failed)} failed')
    for name in failed:
        print(f'bound passed or error: {name}')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
