"""Requests through entry and sidecar over the same straight to the engine.

All are processes of their own; the callers are threads of this one on kept
connections.
"""

import concurrent.futures
import json
import time

from benchmarks import bench_capacity
from benchmarks import processes
from benchmarks import report
from catkinshunt import httpio
from catkinshunt.httpio import headers
from standins import launch

CALLERS = (1, 16, 64)
REQUESTS = 1200
#: Above the callers, or the processes would refuse some of them.
THREADS = 96
STREAMS = (1, 8)
PIECES = 4000
#: Most that a request's median through both may take of the straight one.
MOST_P50 = 12.0
#: Least pieces a second through both over straight, with one stream.
LEAST_PIECES = 0.2


class Caller:
    """One caller with kept connections."""

    def __init__(self, address, path):
        self.address = address
        self.path = path
        self.pool = httpio.ConnectionPool()

    def ask(self, pieces):
        """Ask once; return the seconds taken and the pieces read."""
        body = json.dumps(
            {
                'model': bench_capacity.MODEL,
                'prompt': 'p',
                'max_pieces': pieces,
            }
        )
        begin = time.perf_counter()
        conn, _ = self.pool.acquire(self.address)
        conn.request('POST', self.path, body, {headers.ACCOUNT: 'bench'})
        resp = conn.getresponse()
        count = 0
        while piece := resp.read1(65536):
            count += piece.count(b'\n')
        self.pool.release(self.address, conn)
        assert resp.status == 200 and count == pieces + 1, resp.status
        return time.perf_counter() - begin


def run(address, path, callers, requests, pieces):
    """Return the requests' seconds and the whole time of many callers."""

    def work(_):
        caller = Caller(address, path)
        return [caller.ask(pieces) for _ in range(requests // callers)]

    begin = time.perf_counter()
    with concurrent.futures.ThreadPoolExecutor(callers) as executor:
        took = [
            each
            for part in executor.map(work, range(callers))
            for each in part
        ]
    return took, time.perf_counter() - begin


def cpu_s(made):
    """Return the processor seconds used by entry and sidecar so far."""
    return [
        processes.usage(launched.popen.pid).cpu_s
        for launched in (made.entry, made.sidecar)
    ]


def measure(made, ways, callers, requests, pieces):
    """Return one row: straight, through, and their ratios."""
    row = {'callers': callers, 'pieces': pieces}
    for name, (address, path) in ways.items():
        run(address, path, callers, requests // 4 or callers, pieces)
        before = cpu_s(made)
        took, whole_s = run(address, path, callers, requests, pieces)
        used = [b - a for a, b in zip(before, cpu_s(made), strict=True)]
        row[f'{name}_p50_ms'] = report.percentile(took, 0.5) * 1000
        row[f'{name}_p99_ms'] = report.percentile(took, 0.99) * 1000
        row[f'{name}_per_s'] = len(took) * pieces / whole_s
    # Of the last way, the one through both.
    for name, seconds in zip(('entry', 'sidecar'), used, strict=True):
        row[f'{name}_cpu_us'] = seconds / len(took) / pieces * 1e6
    row['p50_ratio'] = row['through_p50_ms'] / row['straight_p50_ms']
    row['per_s_ratio'] = row['through_per_s'] / row['straight_per_s']
    return {
        name: round(value, 3) if isinstance(value, float) else value
        for name, value in row.items()
    }


def main():
    """Print the tables, write the result, check the bounds."""
    with launch.Launcher() as launcher:
        made = bench_capacity.Deployment.start(launcher, THREADS)
        service = f'/{bench_capacity.SERVICE}/generate'
        ways = {
            'straight': (made.engine, '/generate'),
            'through': (made.entry.address, service),
        }
        requests = [
            measure(made, ways, callers, REQUESTS, 1) for callers in CALLERS
        ]
        streams = [
            measure(made, ways, callers, callers, PIECES)
            for callers in STREAMS
        ]
    for title, rows in (('requests', requests), ('streams', streams)):
        report.print_table(
            title, list(rows[0]), [list(row.values()) for row in rows]
        )
    report.write_result(
        'bench_overhead', {'requests': requests, 'streams': streams}
    )
    report.check_bounds(
        report.Bound(
            'request through over straight, 1 caller, p50',
            requests[0]['p50_ratio'],
            at_most=MOST_P50,
        ),
        report.Bound(
            'pieces a second through over straight, 1 stream',
            streams[0]['per_s_ratio'],
            at_least=LEAST_PIECES,
        ),
    )


if __name__ == '__main__':
    main()
