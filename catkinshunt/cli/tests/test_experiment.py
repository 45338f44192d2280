"""Tests of the command that runs a scenario in the simulation."""

import io
import json
import os
import pathlib
import re
import subprocess
import sys

import pytest

from catkinshunt.cli import _main
from catkinshunt.cli import _progress

ROOT = pathlib.Path(__file__).parents[3]
SMALL = {
    'name': 'small',
    'seeds': [3, 5],
    'entries': 2,
    'engines': 2,
    'slots': 8,
    'loads': [0.5, 1.5],
    'seconds': 15,
}
SLOW = {'share': 0.5, 'factor': 4, 'from_s': 9, 'to_s': 14}


@pytest.fixture
def run_experiment(tmp_path, capsys):
    """Return a function that runs a scenario; returns code, out and err."""

    def run(scenario, *flags):
        path = tmp_path / 'scenario.json'
        path.write_text('// a trial\n' + json.dumps(scenario))
        code = _main.run(['experiment', str(path), *flags])
        captured = capsys.readouterr()
        return code, captured.out, captured.err

    return run


def results(finished):
    code, out, _ = finished
    assert code == _main.EXIT_OK
    return json.loads(out)['results']


def without(name):
    return {key: value for key, value in SMALL.items() if key != name}


@pytest.mark.parametrize(
    ('scenario', 'words'),
    [
        (without('name'), 'name: got nothing'),
        (without('loads'), 'loads: got nothing'),
        (SMALL | {'seeds': 3}, 'seeds: got 3, allowed: a list'),
        (SMALL | {'seeds': []}, 'seeds: got [], allowed: a list'),
        (SMALL | {'seeds': [1, 1]}, 'seeds: got [1, 1], allowed: a list'),
        (SMALL | {'seeds': [1, -1]}, 'seeds: got [1, -1], allowed: a list'),
        (SMALL | {'seeds': [1, 'x']}, "seeds[1]: got 'x', allowed: a whole"),
        (SMALL | {'entries': 0}, 'entries: got 0'),
        (SMALL | {'engines': 2.5}, 'engines: got 2.5'),
        (SMALL | {'slots': True}, 'slots: got True'),
        (SMALL | {'loads': [0.5, 0]}, 'loads: got [0.5, 0]'),
        (SMALL | {'loads': [11]}, 'loads: got [11]'),
        (SMALL | {'seconds': 12}, 'seconds: got 12, allowed: a number of'),
        (SMALL | {'sede': [1]}, 'sede: got an unknown field'),
        (SMALL | {'slow_engines': [SLOW]}, 'slow_engines: got [{'),
        (
            SMALL | {'slow_engines': SLOW | {'share': 0}},
            'slow_engines.share: got 0',
        ),
        (
            SMALL | {'slow_engines': SLOW | {'factor': 1}},
            'slow_engines.factor: got 1',
        ),
        (
            SMALL | {'slow_engines': SLOW | {'to_s': 9}},
            'slow_engines.to_s: got 9, allowed: a time after from_s, 9',
        ),
        (
            SMALL | {'slow_engines': SLOW | {'from_s': 15, 'to_s': 20}},
            'slow_engines.from_s: got 15, allowed: a time before the end',
        ),
        ([SMALL], '(file): got [{'),
    ],
)
def test_wrong_field_is_named(run_experiment, scenario, words):
    code, out, err = run_experiment(scenario)
    assert code == _main.EXIT_USAGE
    assert words in err
    assert err.count('\n') == 1
    assert out == ''


def test_all_errors_are_reported_at_once(run_experiment):
    """A user mistypes several fields.

    If only the first were reported, each would cost another run.
    """
    wrong = without('name') | {
        'seeds': [],
        'slots': 'x',
        'loads': [-1],
        'slow_engines': SLOW | {'factor': 0.5, 'form_s': 3},
    }
    code, out, err = run_experiment(wrong)
    assert code == _main.EXIT_USAGE
    for field in (
        'name', 'seeds', 'slots', 'loads', 'slow_engines.factor',
        'slow_engines.form_s',
    ):  # fmt: skip
        assert f'scenario.json: {field}: got ' in err
    assert err.count('\n') == 1
    assert out == ''


@pytest.mark.parametrize(
    ('flag', 'words'),
    [
        ('--plot', '--plot: got'),
        ('--plot=load.png', 'ends with .svg'),
        ('--plot=/none/load.svg', 'there is no folder /none'),
        ('--plto=load.svg', '--plto'),
    ],
)
def test_wrong_flag_is_reported_before_the_simulation(
    run_experiment, flag, words
):
    code, out, err = run_experiment(SMALL, flag)
    assert code == _main.EXIT_USAGE
    assert words in err
    assert err.count('\n') == 1
    assert out == ''


def test_small_scenario_end_to_end(run_experiment, tmp_path):
    plot = tmp_path / 'load.svg'
    finished = run_experiment(SMALL, f'--plot={plot}')
    moderate, burst = results(finished)
    assert json.loads(finished[1])['scenario'] == SMALL
    assert (moderate['load'], burst['load']) == (0.5, 1.5)
    assert moderate['in_time'] > 0.9
    assert moderate['bound'] == 1.0
    assert burst['refused'] > 0.1
    assert 0.5 * burst['bound'] < burst['in_time'] < burst['bound'] < 0.9
    for row in (moderate, burst):
        ends = ('in_time', 'late', 'refused', 'left')
        assert sum(row[end] for end in ends) == pytest.approx(1.0, abs=3e-4)
    drawn = plot.read_text()
    for name in ('small', 'in time', 'late', 'refused', 'bound'):
        assert f'>{name}<' in drawn


def test_plot_of_one_load(run_experiment, tmp_path):
    plot = tmp_path / 'load.svg'
    results(run_experiment(SMALL | {'loads': [1]}, f'--plot={plot}'))
    assert plot.stat().st_size > 0


def test_same_seeds_give_the_same_results(run_experiment):
    """An experiment is repeated; the first run leaves no state behind."""
    scenario = SMALL | {'slow_engines': SLOW}
    found = [
        results(run_experiment(scenario)),
        results(run_experiment(scenario)),
    ]
    assert found[0] == found[1]
    assert found[0] != results(run_experiment(scenario | {'seeds': [3, 6]}))


def test_results_do_not_depend_on_the_hash_seed(tmp_path):
    """An experiment is repeated in another process.

    There the iteration order of sets differs, which must not matter.
    """
    path = tmp_path / 'scenario.json'
    scenario = SMALL | {'engines': 6, 'slow_engines': SLOW}
    path.write_text(json.dumps(scenario))
    found = [
        subprocess.run(
            [sys.executable, '-m', 'catkinshunt', 'experiment', str(path)],
            cwd=ROOT,
            env=os.environ | {'PYTHONHASHSEED': seed},
            capture_output=True,
            check=True,
            timeout=60,
        ).stdout
        for seed in ('1', '2')
    ]
    assert found[0] == found[1]
    assert json.loads(found[0])['results']


def test_slow_engines_lower_the_bound_and_what_is_in_time(run_experiment):
    busy = SMALL | {'loads': [0.9]}
    slow = SLOW | {'from_s': 12, 'to_s': 15}
    (usual,) = results(run_experiment(busy))
    (slowed,) = results(run_experiment(busy | {'slow_engines': slow}))
    # One of two engines runs at a quarter of its speed throughout.
    assert slowed['bound'] == pytest.approx((1 + 1 / 4) / 2 / 0.9, abs=0.1)
    assert usual['bound'] > 0.9
    assert slowed['in_time'] < usual['in_time'] - 0.1


def test_fewer_slots_do_not_change_the_relative_load(run_experiment):
    """Loads are relative to the capacity of engines with these slots."""
    (many,) = results(run_experiment(SMALL | {'loads': [1.5], 'slots': 16}))
    (few,) = results(run_experiment(SMALL | {'loads': [1.5], 'slots': 4}))
    assert few['requests'] < 0.6 * many['requests']
    assert few['bound'] == pytest.approx(many['bound'], abs=0.15)


def test_missing_simulation_is_reported(run_experiment, monkeypatch):
    """The command runs from an installation without the simulation."""
    monkeypatch.setitem(sys.modules, 'standins', None)
    monkeypatch.delitem(sys.modules, 'standins.experiment', raising=False)
    code, out, err = run_experiment(SMALL)
    assert code == _main.EXIT_USAGE
    assert 'needs standins' in err
    assert 'checkout of the sources' in err
    assert err.count('\n') == 1
    assert out == ''


def test_missing_pygal_is_reported(run_experiment, monkeypatch, tmp_path):
    monkeypatch.setitem(sys.modules, 'pygal', None)
    code, out, err = run_experiment(SMALL, f'--plot={tmp_path}/load.svg')
    assert code == _main.EXIT_USAGE
    assert 'needs pygal' in err
    assert out == ''


def test_only_this_command_refers_to_the_simulation():
    """Otherwise entries and sidecars of the one-file build cannot start."""
    product = ROOT / 'catkinshunt'
    naming = [
        str(path.relative_to(product))
        for path in product.rglob('*.py')
        if 'tests' not in path.parts
        and re.search('standins|pygal', path.read_text())
    ]
    assert naming == ['cli/_experiment.py']


def test_command_line_does_not_import_the_simulation():
    """Every process would need time and memory for it at start-up."""
    script = (
        'import sys; from catkinshunt import cli; '
        'from catkinshunt.cli import _commands, _serve; '
        'sys.exit("standins" in sys.modules)'
    )
    done = subprocess.run([sys.executable, '-c', script], cwd=ROOT, timeout=60)
    assert done.returncode == 0


class Terminal(io.StringIO):
    def isatty(self):
        return True


def test_progress_is_a_bar_on_a_terminal():
    stream = Terminal()
    progress = _progress.Progress('burst', 4, stream, now=10.0)
    for now in (10.5, 11.5, 12.5, 12.6):
        progress.advance(now)
    progress.end()
    shown = stream.getvalue().split('\r')
    assert [text.split('] ')[-1] for text in shown] == [
        '', '2 of 4', '3 of 4', '4 of 4\n'
    ]  # fmt: skip


def test_short_computation_displays_no_progress():
    stream = Terminal()
    progress = _progress.Progress('burst', 2, stream, now=10.0)
    progress.advance(10.1)
    progress.advance(10.2)
    progress.end()
    assert stream.getvalue() == ''
