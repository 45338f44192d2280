"""Each mechanism whose worth is measured can be switched off."""

import functools
import subprocess

import pytest

from benchmarks import ablation
from benchmarks import mutants
from benchmarks import mutations

SWITCHES = {
    switch.name: switch
    for table in ablation.TABLES.values()
    for row in table.rows
    for switch in row.switches
} | {switch.name: switch for switch in ablation.UNREACHED}
ROUTING = ablation.TABLES['routing']
#: Options of a small replay in which all engines have a queue.
SMALL = ('--sizes=((3,2),)', '--parts=(1.2,)', '--seeds=(1,2)')
CASE = '3 before 2, 1.2'


def replay(*switches):
    """Return the shares by seed."""
    return ablation.replay(ROUTING.module, switches, SMALL)[CASE]


@functools.cache
def kept_replay(*switches):
    """Return the shares of a replay that several tests compare with."""
    return replay(*switches)


@pytest.mark.parametrize('switch', SWITCHES.values(), ids=SWITCHES)
def test_switch_stands_in_its_file(switch):
    """Code moves, and nothing would be switched off any more."""
    text = (mutants.ROOT / switch.path).read_text(encoding='utf-8')
    assert text.count(switch.old) == 1


@pytest.mark.parametrize('old', ['no such text', 'return '])
def test_switch_that_does_not_match_once_fails(old):
    """A row would show the figures of code that is whole."""
    stale = mutations.Mutation('stale', ablation.DELAY.path, old, '')
    table = ablation.RoutingTable(
        ROUTING.module, [ablation.Row('stale', (ablation.PLACES, stale))]
    )
    with pytest.raises(ValueError, match='stale: guard not found'):
        table.measure(SMALL)


def test_replay_that_breaks_off_fails():
    """A row would be left out, or show figures of another one."""
    broken = mutations.Mutation(
        'broken', ablation.PLACES.path, ablation.PLACES.old, 'not python'
    )
    with pytest.raises(subprocess.CalledProcessError):
        replay(broken)


def test_figures_come_again_with_their_seeds():
    """A difference between rows would be chance."""
    first = kept_replay()
    assert first == replay()
    assert first[0] != first[1]


def test_small_ablation_prints_each_row():
    """A table lacks a row, or has it below another name."""
    rows = [
        ablation.Row(switch.name, (switch,))
        for switch in (ablation.RETURNS, ablation.PLACES)
    ]
    table = ablation.RoutingTable(ROUTING.module, rows)
    figures = table.measure(SMALL)
    assert figures == {
        'nothing': {CASE: kept_replay()},
        ablation.RETURNS.name: {CASE: replay(ablation.RETURNS)},
        ablation.PLACES.name: {CASE: kept_replay(ablation.PLACES)},
    }
    lines = table.dump(figures)
    assert lines[0] == f'| without | {CASE} |'
    assert [line.split(' | ')[0] for line in lines[2:5]] == [
        '| nothing',
        '| returned-callers-are-known',
        '| places-are-asked-for',
    ]


@pytest.mark.parametrize(
    'row', [row for row in ROUTING.rows if row.base == 'nothing'],
    ids=lambda row: row.name,
)  # fmt: skip
def test_what_is_switched_off_shows_in_a_figure(row):
    """A switch matches its text in code that the model does not run."""
    assert replay(*row.switches) != kept_replay()


def test_learnt_correction_shows_where_entries_send():
    """As above; entries that ask for places learn no delays."""
    assert replay(ablation.CORRECTION) == kept_replay()
    sending = kept_replay(ablation.PLACES)
    assert replay(ablation.PLACES, ablation.CORRECTION) != sending


@pytest.mark.parametrize(
    'switch', ablation.UNREACHED, ids=lambda switch: switch.name
)
def test_what_is_said_to_be_unreached_shows_in_no_figure(switch):
    """The note below the table would deny a row that could be had."""
    assert replay(switch) == kept_replay()
    sending = kept_replay(ablation.PLACES)
    assert replay(ablation.PLACES, switch) == sending


def test_cell_is_mean_and_spread():
    assert ROUTING.cell([0.9, 0.96, 0.93]) == '0.930 (0.060)'


@pytest.mark.parametrize(
    ('shares', 'named'),
    [
        ([0.88, 0.9, 0.92], True),
        ([0.5, 0.9, 0.9], True),
        ([0.7, 0.71, 0.72], False),
    ],
)
def test_rows_within_the_spread_are_named(shares, named):
    """What is worth nothing would look as if it was worth something."""
    table = ablation.RoutingTable('', [ablation.Row('one', ())])
    figures = {
        'nothing': {'a': [0.9, 0.92, 0.94], 'b': [0.9, 0.92, 0.94]},
        'one': {'a': shares, 'b': [0.9, 0.92, 0.94]},
    }
    line = 'Within the spread in all cases: one.'
    assert (line in table.dump(figures)) is named


def test_table_that_is_not_known_is_refused():
    with pytest.raises(ablation.fire.core.FireError, match='transfer'):
        ablation.main(only='weights')
