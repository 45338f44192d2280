"""Tables, bounds and small result files that the benchmarks share."""

import json
import pathlib

import attrs

RESULTS_DIR = pathlib.Path(__file__).parent / 'results'


@attrs.frozen
class Bound:
    """A limit on a count or on a ratio within one run.

    Attributes:
        name: what is measured.
        value: what this run gave.
        at_most: highest value accepted, or None.
        at_least: lowest value accepted, or None.
    """

    name: str
    value: float
    at_most: float | None = None
    at_least: float | None = None

    @property
    def kept(self):
        """Whether the value lies within the limit."""
        if self.at_most is not None and self.value > self.at_most:
            return False
        return self.at_least is None or self.value >= self.at_least


def print_table(title, columns, rows):
    """Print `rows` below `columns`, each column as wide as it needs."""
    cells = [columns, *([_cell(value) for value in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    print(title)
    for line in cells:
        padded = (
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        )
        print('  ' + '  '.join(padded).rstrip())


def write_result(name, value):
    """Write `value` to ``benchmarks/results/<name>.json``."""
    RESULTS_DIR.mkdir(exist_ok=True)
    path = RESULTS_DIR / f'{name}.json'
    path.write_text(json.dumps(value, indent=1, sort_keys=True) + '\n')


def check_bounds(*bounds):
    """Print each bound; end the process where one is passed.

    Raises:
        SystemExit: a bound is not kept.
    """
    for bound in bounds:
        word = 'kept' if bound.kept else 'PASSED'
        limit = f'at most {bound.at_most}'
        if bound.at_most is None:
            limit = f'at least {bound.at_least}'
        print(f'  bound {word}: {bound.name} {bound.value:.4g}, {limit}')
    if not all(bound.kept for bound in bounds):
        raise SystemExit(1)


def percentile(values, share):
    """Return the value below which a share of all values lies.

    Examples:
        >>> percentile([1, 2, 3, 4], 0.5)
        2
    """
    ordered = sorted(values)
    return ordered[max(0, round(share * len(ordered)) - 1)]


def _cell(value):
    return f'{value:.3f}' if isinstance(value, float) else str(value)
