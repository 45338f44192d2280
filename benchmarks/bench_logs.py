"""What a log line costs, beside a request over one kept connection.

The request goes to a waitress server that answers at once, so that the
share shown is the largest that a line can take of any real request.
"""

import io
import statistics
import time

import loguru

from benchmarks import report
from catkinshunt import httpio
from catkinshunt import logs

LINES = 2000
REQUESTS = 1000
ROUNDS = 5
_FORMAT = (
    '{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z {level} {extra[prefix]}: '
    '[{extra[request_id]}] {message}'
)
#: Largest share of the cheapest request that one line may take.
MAX_SHARE = 0.2


def _decision(log):
    log.info(
        'Rule {rule}: {choice} of {candidates}, least in flight.',
        rule='setup-sheets',
        choice='engine-3',
        candidates='engine-1 engine-3',
    )


def line_cost_s(log_format, level='INFO'):
    """Return seconds of processor time for one decision's line."""
    logs.configure(log_format, level, ['a secret key'], io.StringIO())
    return _cost_s()


def library_cost_s(**params):
    """Return the same for a line that loguru formats itself."""
    loguru.logger.remove()
    loguru.logger.add(io.StringIO(), **params)
    return _cost_s()


def _cost_s():
    log = logs.get_logger('routing')
    with logs.request('0123456789abcdef'):
        begin = time.thread_time()
        for _ in range(LINES):
            _decision(log)
        taken = time.thread_time() - begin
    loguru.logger.remove()
    return taken / LINES


def request_cost_s():
    """Return seconds of processor time, both sides, for one request."""

    def app(environ, start_response):
        httpio.read_body(environ)
        return httpio.Response.of_json(200, {}).send(start_response)

    with httpio.HttpServer(app, threads=1) as server:
        address = httpio.Address(server.host, server.port)
        pool = httpio.ConnectionPool()
        begin = time.process_time()
        for _ in range(REQUESTS):
            conn, _ = pool.acquire(address)
            conn.request('POST', '/', b'{}')
            conn.getresponse().read()
            pool.release(address, conn)
        taken = time.process_time() - begin
        pool.close()
    return taken / REQUESTS


def bench_logs():
    """Measure; fail where a line takes more than its share."""
    logs.configure(level='ERROR')
    measures = {
        'request': request_cost_s,
        'plain line': lambda: line_cost_s('plain'),
        'json line': lambda: line_cost_s('json'),
        'plain line by loguru': lambda: library_cost_s(format=_FORMAT),
        'JSON line by loguru': lambda: library_cost_s(serialize=True),
        'line below the level': lambda: line_cost_s('plain', 'WARNING'),
    }
    costs = {
        name: statistics.median(measure() for _ in range(ROUNDS))
        for name, measure in measures.items()
    }
    request = costs['request']
    rows = [
        (name, f'{cost * 1e6:.1f}', f'{cost / request:.3f}')
        for name, cost in costs.items()
    ]
    report.print_table('Logs', ['what', 'us', 'share of request'], rows)
    shares = {name: round(costs[name] / request, 4) for name in costs}
    report.write_result('logs', {'share_of_request': shares})
    report.check_bounds(
        report.Bound('plain line', shares['plain line'], at_most=MAX_SHARE),
        report.Bound('json line', shares['json line'], at_most=MAX_SHARE),
    )


if __name__ == '__main__':
    bench_logs()
