"""Measures what one edit of the platform's configuration costs an entry.

One time-out changes. Each step from the bytes of the item to the first match
is timed by itself; an entry's event loop is held for that long. The bounds
are on counts, which do not vary.
"""

import base64
import json
import random
import statistics
import time
import zlib

from benchmarks import report
from catkinshunt import catalog
from catkinshunt import checks
from catkinshunt import logs
from catkinshunt import platform
from catkinshunt import rules

SIZES = (20, 2000, 20000)
ROUTES_PER_HOST = 20
ACCOUNTS = 200
ROUNDS = 9
#: Routes that are added at once in the second table.
ADDED = 1920
_MS = 1000.0


def make_document(count):
    """Return a configuration with `count` routes."""
    random_state = random.Random(count)
    return {
        'version': 1,
        'routes': [
            _make_route(number, random_state) for number in range(count)
        ],
        'services': [
            {'name': f'service-{n}', 'health_path': '/healthz'}
            for n in range(20)
        ],
        'tenants': [
            {'name': f'account-{n}', 'api_keys': [f'key-{n}-a', f'key-{n}-b']}
            for n in range(ACCOUNTS)
        ],
        'limits': {'max_header_bytes': 16384, 'idle_timeout_ms': 5000},
    }


def _make_route(number, random_state):
    depth = random_state.randrange(1, 4)
    return {
        'name': f'route-{number}',
        'host': f'host-{number // ROUTES_PER_HOST}.example',
        'path_prefix': f'/p{number}/' + 'part/' * depth,
        'route_kind': 'idempotent',
        'timeout_ms': random_state.randrange(500, 5000),
        'goal_ms': 400,
        'service': f'service-{random_state.randrange(20)}',
        'max_attempts': 2,
        'priority': random_state.randrange(3),
    }


def change_timeout(document, revision):
    """Return `document` as the next revision, with one time-out changed."""
    routes = list(document['routes'])
    number = revision * 7 % len(routes)
    routes[number] = {**routes[number], 'timeout_ms': 6000 + revision}
    return {**document, 'version': revision, 'routes': routes}


def dump(document):
    """Return the bytes of a configuration as the operator writes them."""
    return json.dumps(document, separators=(',', ':')).encode()


def timed(times, step, function, *args):
    """Add the milliseconds of one call to `times`; return its result."""
    start = time.perf_counter()
    result = function(*args)
    times.setdefault(step, []).append((time.perf_counter() - start) * _MS)
    return result


def add_routes(document, revision):
    """Return `document` as the next revision with `ADDED` more routes."""
    random_state = random.Random(revision)
    count = len(document['routes'])
    added = [_make_route(count + n, random_state) for n in range(ADDED)]
    routes = [*document['routes'], *added]
    return {**document, 'version': revision, 'routes': routes}


def measure(count):
    """Return the row of one size: milliseconds by step, median and worst."""
    known = catalog.Catalog()
    document = make_document(count)
    value = dump(document)
    first = {}
    known.declare(timed(first, 'first', platform.parse_declaration, value))
    times = {}
    new_rules = []
    for revision in range(2, ROUNDS + 2):
        document = change_timeout(document, revision)
        value = dump(document)
        before = known.declaration
        _measure_edit(times, value, known)
        new_rules.append(_count_new(before, known.declaration))
    added = [
        _measure_steps(dump(add_routes(document, revision)), known.declaration)
        for revision in range(ROUNDS + 2, 2 * ROUNDS + 2)
    ]
    return {
        'routes': count,
        'bytes': len(value),
        'first_ms': first['first'][0],
        'new_rules': max(new_rules),
        'steps_ms': {
            step: [statistics.median(found), max(found)]
            for step, found in times.items()
        },
        'added_longest_ms': [
            statistics.median(max(steps) for steps in added),
            max(max(steps) for steps in added),
        ],
        'added_total_ms': [
            statistics.median(sum(steps) for steps in added),
            max(sum(steps) for steps in added),
        ],
    }


def _count_new(before, after):
    known = set(map(id, before.rule_set.rules))
    return sum(id(rule) not in known for rule in after.rule_set.rules)


def _measure_steps(value, previous):
    """Return the milliseconds of each step of parsing `value`."""
    steps = platform._documents.declaration_steps(value, previous)
    times = []
    done = False
    while not done:
        start = time.perf_counter()
        done = next(steps, steps) is steps
        times.append((time.perf_counter() - start) * _MS)
    return times


def _measure_edit(times, value, known):
    item = base64.b64encode(value).decode()
    reply = json.dumps({'events': [{'data': item}]}).encode()
    packed = base64.b64encode(zlib.compress(value, 1))
    timed(times, 'store reply: JSON', checks.load_json, reply)
    timed(times, 'store reply: base64', base64.b64decode, item, None, True)
    data = timed(times, 'relay: base64', base64.b64decode, packed, None, True)
    timed(times, 'relay: zlib', zlib.decompress, data)
    parse = platform.parse_declaration
    found = timed(times, 'parse', parse, value, known.declaration)
    timed(times, 'declare', known.declare, found)
    for number in range(3):
        subject = rules.Request(host=f'host-{number}.example', path='/none/')
        timed(times, 'first match of a host', found.rule_set.match, subject)


def main():
    """Print the tables, write the result, check the bounds."""
    logs.configure(level='ERROR')
    found = [measure(count) for count in SIZES]
    columns = ['milliseconds, median / worst']
    columns += [f'{row["routes"]} routes' for row in found]
    table = [
        [step, *(_format(row['steps_ms'][step]) for row in found)]
        for step in found[0]['steps_ms']
    ]
    table.append(['first parse', *(row['first_ms'] for row in found)])
    table.append(['bytes', *(row['bytes'] for row in found)])
    report.print_table('one time-out changed', columns, table)
    table = [
        [name, *(_format(row[field]) for row in found)]
        for name, field in (
            ('longest step', 'added_longest_ms'),
            ('all steps', 'added_total_ms'),
        )
    ]
    report.print_table(f'{ADDED} routes added, parse', columns, table)
    report.write_result('edits', found)
    report.check_bounds(
        report.Bound(
            'rules made for a changed time-out, 20000 routes',
            found[-1]['new_rules'],
            at_most=1,
        ),
    )


def _format(median_and_worst):
    return '{:.2f} / {:.2f}'.format(*median_and_worst)


if __name__ == '__main__':
    main()
