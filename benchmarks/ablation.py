"""Switches off each mechanism, one by one; prints what it is worth.

``python -m benchmarks.ablation`` replays cases with the code as it is, and
once without each mechanism, in copies of the tree. It prints two tables;
``--only=transfer`` or ``--only=routing`` prints one.

* Transfer, the cases of `benchmarks.spread_cases`: a cell is the time of the
  last sound member in times of one copy over a link, and the copies that the
  origin sent.
* Routing and admission, the cases of `benchmarks.routing_cases`: a cell is
  the share of first tokens in time over that of a perfect scheduler, mean
  over the seeds, and the spread between the least and the largest of them.
"""

import abc
import concurrent.futures
import json
import pathlib
import subprocess
import sys
import tempfile

import attrs
import fire

from benchmarks import mutants
from benchmarks import mutations

_KNOWN = {found.name: found for found in mutations.MUTATIONS}
_ENTRIES = 'standins/experiment/_entries.py'
_CHOICE = 'catkinshunt/dispatch/_choice.py'

#: The replay answers for members that do not fetch a version itself.
LATE = mutations.Mutation(
    'who-begins-late-says-so',
    'catkinshunt/spread/tests/swarm.py',
    "raise errors.SourceUnableError('not fetched', peer=peer)",
    "raise errors.SourceBusyError('not fetched', peer=peer)",
)
#: A chunk stays with a fallback that lacks it.
FALLBACKS = mutations.Mutation(
    'fallbacks-are-asked-once',
    'catkinshunt/spread/_fetcher.py',
    'self._reassign_from_busy(source, queue)',
    'pass',
)
#: The upstream with the fewest of the entry's own requests is chosen.
DELAY = mutations.Mutation(
    'predicted-delay-chooses',
    _CHOICE,
    'cost_s = delay_s + self._distance_penalty_s(upstream)',
    'cost_s = len(state.jobs) + state.pending_permit_requests\n'
    '        cost_s += self._distance_penalty_s(upstream)',
)
#: Engines take requests in the order in which they come.
RANKS = mutations.Mutation(
    'ranks-order-engines',
    _ENTRIES,
    'request.rank = rank\n',
    'request.rank = rank = dispatch.Rank.EARLY\n',
)
#: Callers that come back count as new ones.
RETURNS = mutations.Mutation(
    'returned-callers-are-known',
    'catkinshunt/dispatch/_client_retry.py',
    'if is_longest:',
    'if True:',
)
ASKED = mutations.Mutation(
    'three-engines-are-asked',
    _ENTRIES,
    'MOST_ASKED = 3',
    'MOST_ASKED = 1',
)
#: Entries send at once, and engines keep the queue.
PLACES = mutations.Mutation(
    'places-are-asked-for',
    'standins/experiment/_play.py',
    'make_entry: object = _entries.AskingEntry',
    'make_entry: object = _entries.SendingEntry',
)
ORDERS = _KNOWN['processes-choose-in-various-orders']
CORRECTION = _KNOWN['learnt-delay-corrects']
#: What the model does not reach: its tries do not fail, and its engines take
#: the rank itself instead of the priority that a gateway writes.
UNREACHED = (
    mutations.Mutation(
        'failure-rates-count',
        _CHOICE,
        'cost_s += FAILURE_PENALTY_S * state.failure_rate(now)',
        'pass',
    ),
    mutations.Mutation(
        'gateways-write-priorities',
        'catkinshunt/gateway/_attempt.py',
        'return PRIORITY_BY_RANK[self.job.rank]',
        'return None',
    ),
)


@attrs.frozen
class Row:
    """What is switched off.

    Attributes:
        name: first cell of the row.
        switches: the mutations that remove it.
        base: name of the row that it is compared with.
    """

    name: str
    switches: tuple
    base: str = 'nothing'


class BaseTable(abc.ABC):
    """Replays of a module without one mechanism each.

    Args:
        module: prints the figures by case as JSON, in its last line.
        rows: `Row` of each mechanism.
    """

    def __init__(self, module, rows):
        self.module = module
        self.rows = rows

    def measure(self, options=(), workers=mutants.WORKERS):
        """Return the figures by row and case.

        Args:
            options: arguments of the module.
            workers: replays at once.
        """
        rows = (Row('nothing', ()), *self.rows)
        with concurrent.futures.ThreadPoolExecutor(workers) as pool:
            found = pool.map(
                lambda row: replay(self.module, row.switches, options), rows
            )
            return {
                row.name: figures
                for row, figures in zip(rows, found, strict=True)
            }

    def dump(self, figures):
        """Return the lines of the table, and what is to be said of it."""
        cases = figures['nothing']
        return [
            '| without | ' + ' | '.join(cases) + ' |',
            '| --- ' * (len(cases) + 1) + '|',
            *(
                ' | '.join([f'| {name}', *map(self.cell, row.values())]) + ' |'
                for name, row in figures.items()
            ),
            *self.notes(figures),
        ]

    @abc.abstractmethod
    def cell(self, figure):
        """Return the text of a figure."""

    def notes(self, figures):
        """Return lines that follow the table."""
        return []


class TransferTable(BaseTable):
    """What each mechanism of the transfer is worth."""

    def cell(self, figure):
        """See `BaseTable.cell`."""
        times, copies = figure
        return f'{times}, {copies}'


class RoutingTable(BaseTable):
    """What each mechanism of routing and admission is worth."""

    def cell(self, figure):
        """See `BaseTable.cell`."""
        return f'{_mean(figure):.3f} ({_spread(figure):.3f})'

    def notes(self, figures):
        """See `BaseTable.notes`."""
        alike = [
            row.name
            for row in self.rows
            if all(
                _is_alike(shares, figures[row.base][case])
                for case, shares in figures[row.name].items()
            )
        ]
        unreached = [switch.name for switch in UNREACHED]
        return [
            '',
            f'Within the spread in all cases: {"; ".join(alike) or "none"}.',
            f'Not reached by the model: {"; ".join(unreached)}.',
        ]


def _mean(shares):
    return sum(shares) / len(shares)


def _spread(shares):
    return max(shares) - min(shares)


def _is_alike(shares, others):
    """Return whether means differ by no more than the larger spread."""
    most = max(_spread(shares), _spread(others))
    return abs(_mean(shares) - _mean(others)) <= most


def replay(module, switches=(), options=()):
    """Return the figures by case, without some mechanisms.

    Args:
        module: name of the module to run.
        switches: `mutations.Mutation` to apply.
        options: arguments of the module.

    Raises:
        ValueError: the text of a switch does not stand exactly once in its
            file.
        subprocess.CalledProcessError: the replay failed.
    """
    with tempfile.TemporaryDirectory() as folder:
        root = pathlib.Path(folder)
        mutants.copy_tree(root)
        for switch in switches:
            mutants.apply_mutation(switch, root)
        done = subprocess.run(
            [sys.executable, '-m', module, *options],
            cwd=root,
            stdout=subprocess.PIPE,
            check=True,
        )
    return json.loads(done.stdout.splitlines()[-1])


_TRANSFER_SWITCHES = (
    LATE,
    _KNOWN['one-member-stands-in'],
    _KNOWN['narrow-links-give-nothing'],
    _KNOWN['owners-pass-on-less'],
    _KNOWN['idle-sources-relieve'],
    _KNOWN['first-source-keeps-its-chunks'],
    _KNOWN['waiting-in-a-circle-ends'],
    _KNOWN['various-chunks-go-out-first'],
    FALLBACKS,
)
#: Switched off where entries ask for places, and where they send at once.
#: Only there do they learn from delays.
_ASKING_SWITCHES = (DELAY, RANKS, ORDERS, RETURNS, ASKED, PLACES)
_SENDING_SWITCHES = (DELAY, RANKS, ORDERS, RETURNS, ASKED, CORRECTION)

TABLES = {
    'transfer': TransferTable(
        'benchmarks.spread_cases',
        [Row(switch.name, (switch,)) for switch in _TRANSFER_SWITCHES],
    ),
    'routing': RoutingTable(
        'benchmarks.routing_cases',
        [
            *(Row(switch.name, (switch,)) for switch in _ASKING_SWITCHES),
            *(
                Row(
                    f'{PLACES.name} and {switch.name}',
                    (PLACES, switch),
                    base=PLACES.name,
                )
                for switch in _SENDING_SWITCHES
            ),
        ],
    ),
}


def main(only=None, workers=mutants.WORKERS):
    """Print the tables.

    Args:
        only: name of one table, or None for all.
        workers: replays at once; no figure depends on it.
    """
    if only is not None and only not in TABLES:
        raise fire.core.FireError(f'no table {only}; {", ".join(TABLES)}')
    for name, table in TABLES.items():
        if only in (None, name):
            print(f'{name}:\n')
            print(*table.dump(table.measure(workers=workers)), '', sep='\n')


if __name__ == '__main__':
    fire.Fire(main)
