"""Tables and small result files that the benchmarks share."""

import json
import pathlib

RESULTS = pathlib.Path(__file__).parent / 'results'


def print_table(title, columns, rows):
    """Print `rows` below `columns`, each column as wide as it needs."""
    cells = [columns, *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    print(title)
    for line in cells:
        padded = (cell.ljust(width) for cell, width in zip(line, widths))
        print('  ' + '  '.join(padded).rstrip())


def write_result(name, value):
    """Write `value` to ``benchmarks/results/<name>.json``."""
    RESULTS.mkdir(exist_ok=True)
    path = RESULTS / f'{name}.json'
    path.write_text(json.dumps(value, indent=2, sort_keys=True) + '\n')
