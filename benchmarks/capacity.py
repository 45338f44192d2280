"""Works the tables of ``docs/CAPACITY.md`` out from measured slopes.

Run it after ``bench_capacity`` and ``bench_configuration``; it reads their
result files and prints each role at the target size.
"""

import json

import attrs

from benchmarks import report

RULES = 1000
#: Bytes a held instance takes, from ``bench_control``.
BYTES_PER_LISTED = 544
DAY_S = 24 * 3600.0
MB = 1e6


@attrs.frozen
class Target:
    """The size to build towards.

    Attributes:
        entries: entry instances.
        sidecars: processes beside upstreams.
        requests_per_s: requests at the peak, in all.
        tokens_per_s: tokens generated at the peak, in all.
        token_s: seconds between the tokens of a stream.
        edits_per_day: accepted changes of the rules.
        list_changes_per_day: instances that fail, restart or are replaced.
    """

    entries: int = 950
    sidecars: int = 10_000
    requests_per_s: float = 99_000
    tokens_per_s: float = 42e6
    token_s: float = 0.065
    edits_per_day: float = 13_000
    list_changes_per_day: float = 1_350

    @property
    def processes(self):
        """All processes of the system."""
        return self.entries + self.sidecars

    @property
    def open_streams(self):
        """Streams open at a time, each giving a token each `token_s`."""
        return self.tokens_per_s * self.token_s


def _load(name):
    return json.loads((report.RESULTS_DIR / f'{name}.json').read_text())


def work_out(target, slopes, column, count):
    """Return rows (what, value, unit) for one role.

    Args:
        target: the `Target`.
        slopes: result of ``bench_capacity``.
        column: 0 for the entry, 1 for the sidecar.
        count: processes of this role.
    """
    slope = {name: pair[column] for name, pair in slopes.items()}
    edits_per_s = target.edits_per_day / DAY_S
    keeping_up = slope['idle_cores_1000_listed']
    edits = edits_per_s * slope['cpu_s_per_change_of_1000_rules']
    requests = target.requests_per_s / count
    tokens = target.tokens_per_s / count
    streams = target.open_streams / count
    idle = slope['idle_rss_bytes'] / MB
    rules = RULES * slope['rss_bytes_per_rule'] / MB
    listed = target.processes * BYTES_PER_LISTED / MB
    return [
        ('control: keeping up', 100 * keeping_up, '% of a core'),
        ('control: edits', 100 * edits, '% of a core'),
        ('memory idle', idle, 'MB'),
        ('memory of 1,000 rules', rules, 'MB'),
        ('memory of the list', listed, 'MB'),
        ('memory in all, no traffic', idle + rules + listed, 'MB'),
        ('requests', requests, '1/s'),
        ('tokens', tokens, '1/s'),
        ('requests cost', requests * slope['cpu_s_per_request'], 'cores'),
        (
            'pieces cost, a token each',
            tokens * slope['cpu_s_per_piece'],
            'cores',
        ),
        ('open streams', streams, ''),
        (
            'memory of open streams',
            streams * slope['rss_bytes_per_open_stream'] / MB,
            'MB',
        ),
    ]


def control_bytes_per_s(target, configuration):
    """Return bytes a second for edits, of a process with fanout 4."""
    rows = [row for row in configuration['rounds'] if row['processes'] == 1000]
    each = max(row['bytes_each'] for row in rows)
    changes = target.edits_per_day + target.list_changes_per_day
    return changes / DAY_S * each


def main():
    """Print the tables."""
    target = Target()
    slopes = _load('capacity')
    roles = (
        ('entry', 0, target.entries),
        ('sidecar', 1, target.sidecars),
    )
    for name, column, count in roles:
        rows = work_out(target, slopes, column, count)
        cells = [(what, f'{value:,.2f}', unit) for what, value, unit in rows]
        report.print_table(
            f'{name}, {count:,}', ['what', 'value', 'unit'], cells
        )
    spread = control_bytes_per_s(target, _load('bench_configuration'))
    print(f'edits and list changes: {spread:,.0f} bytes/s a process')


if __name__ == '__main__':
    main()
