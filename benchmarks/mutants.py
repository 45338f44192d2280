"""Removes each guard named in docs/proofs.md and shows its proof fail.

Run with ``python -m benchmarks.mutants [NAME ...]``. Each guard is removed
in a copy of the tree of its own. Exits with 1 if a proof passes without its
guard, or fails with it.
"""

import concurrent.futures
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile
from xml.etree import ElementTree

import attrs

from benchmarks import mutations

ROOT = pathlib.Path(__file__).parents[1]
PAGE = ROOT / 'docs' / 'proofs.md'
COPIED = ('catkinshunt', 'standins', 'benchmarks', 'pyproject.toml')
TIMEOUT_S = 120
WORKERS = 2
_TESTS_FAILED = 1
_ROW = re.compile(r'^\|(.+)\|$')
_CODE = re.compile(r'`([^`]+)`')


@attrs.frozen
class Proof:
    """One row of docs/proofs.md.

    Attributes:
        promise: what holds.
        failure: under which failure.
        tests: ids of its tests, from the folder ``catkinshunt``.
        mutations: names of the guards that it stands for.
        state: proved, partial or not proved.
    """

    promise: str
    failure: str
    tests: tuple
    mutations: tuple
    state: str


def read_proofs(page=PAGE):
    """Return the `Proof` of each row of the page's table."""
    proofs = []
    for line in page.read_text(encoding='utf-8').splitlines():
        match = _ROW.match(line)
        cells = match and [cell.strip() for cell in match[1].split('|')]
        if not cells or len(cells) != 7 or cells[0] in ('promise', '---'):
            continue
        promise, failure, tests, guards, _, _, state = cells
        proofs.append(
            Proof(
                promise,
                failure,
                tuple(_CODE.findall(tests)),
                tuple(_CODE.findall(guards)),
                state,
            )
        )
    return proofs


def apply_mutation(mutation, root):
    """Change the source under `root`.

    Raises:
        ValueError: the guard's text does not stand exactly once in its file.
    """
    path = root / mutation.path
    text = path.read_text(encoding='utf-8')
    if text.count(mutation.old) != 1:
        raise ValueError(f'{mutation.name}: guard not found in {path}')
    path.write_text(text.replace(mutation.old, mutation.new), 'utf-8')


def copy_tree(root):
    """Copy what tests and benchmarks need to `root`."""
    for name in COPIED:
        copy = shutil.copytree
        if (ROOT / name).is_file():
            copy = shutil.copy
        copy(ROOT / name, root / name)


def run_tests(tests, mutation=None):
    """Run `tests` in a copy of the tree.

    Returns:
        The tests that failed, or all of them if they hung.

    Raises:
        RuntimeError: the tests could not be run.
    """
    ids = [f'catkinshunt/{test}' for test in tests]
    with tempfile.TemporaryDirectory() as folder:
        root = pathlib.Path(folder)
        copy_tree(root)
        if mutation is not None:
            apply_mutation(mutation, root)
        report = root / 'report.xml'
        try:
            code = subprocess.run(
                [sys.executable, '-m', 'pytest', f'--junitxml={report}', *ids],
                cwd=root,
                timeout=TIMEOUT_S if mutation else None,
                stdout=subprocess.DEVNULL,
                stderr=subprocess.DEVNULL,
            ).returncode
        except subprocess.TimeoutExpired:
            return set(tests)
        if code not in (0, _TESTS_FAILED):
            raise RuntimeError(f'pytest ended with {code}')
        failed = _read_failed(report)
    return {test for test in tests if _function(test) in failed}


def _read_failed(report):
    """Return the functions, without parameters, of which a case failed."""
    cases = ElementTree.parse(report).iter('testcase')
    return {
        case.get('name').partition('[')[0]
        for case in cases
        if case.find('failure') is not None or case.find('error') is not None
    }


def _function(test):
    return test.partition('::')[2].partition('[')[0]


def main(names):
    """Check the named guards, or all; return the exit code."""
    proofs = read_proofs()
    wanted = [
        mutation
        for mutation in mutations.MUTATIONS
        if not names or mutation.name in names
    ]
    tests = {
        mutation.name: tuple(
            test
            for proof in proofs
            if mutation.name in proof.mutations
            for test in proof.tests
        )
        for mutation in wanted
    }
    every = sorted({test for ids in tests.values() for test in ids})
    if failed := run_tests(every):
        print('Failed before any guard was removed:', *sorted(failed))
        return 1
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        results = pool.map(lambda one: run_tests(tests[one.name], one), wanted)
        caught = 0
        for mutation, failed in zip(wanted, results, strict=True):
            passed = set(tests[mutation.name]) - failed
            caught += not passed
            told = f'passes: {", ".join(sorted(passed))}'
            print(
                f'{mutation.name:32} {told if passed else "caught"}',
                flush=True,
            )
    print(f'caught {caught} of {len(wanted)}')
    return 0 if caught == len(wanted) else 1


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
