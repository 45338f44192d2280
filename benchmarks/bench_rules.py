"""Measures matching, loading and editing of rule sets of three sizes.

The plain scan over all rules is the baseline of the index by service.
"""

import random
import time

from benchmarks import report
from catkinshunt import configuration
from catkinshunt import rules

SIZES = (10, 100, 1000)
SERVICES = 20
REQUESTS = 500
ROUNDS = 4


def make_document(size, random_state):
    """Return a rules document like that of a deployment with many accounts.

    Most rules name a service, an account and a path; each service ends with
    a rule for everybody, and the set ends with a refusal.
    """
    items = []
    for number in range(size - SERVICES // 2 - 1):
        service = f'service-{random_state.randrange(SERVICES)}'
        when = {
            'service': service,
            'account': f'account-{number}',
            'path': {'prefix': f'/v1/{random_state.choice("abc")}'},
        }
        items.append(_rule(f'rule-{number}', when, service))
    for number in range(min(SERVICES // 2, size - 1)):
        service = f'service-{number}'
        items.append(_rule(f'all-{number}', {'service': service}, service))
    refusal = {'refuse': {'reason': 'no rule', 'retry_after_s': 60}}
    items = items[: size - 1]
    items.append({'name': 'z', 'when': {'request': {}}, 'then': refusal})
    return {'rules': items}


def _rule(name, when, service):
    route = {'route': {'service': service, 'deadline_s': 30}}
    return {'name': name, 'when': {'request': when}, 'then': route}


def make_requests(size, random_state):
    """Return requests of which about half match a rule of their account."""
    return [
        rules.Request(
            service=f'service-{random_state.randrange(SERVICES)}',
            account=f'account-{random_state.randrange(2 * size)}',
            method='POST',
            path=f'/v1/{random_state.choice("abc")}/drafts',
        )
        for _ in range(REQUESTS)
    ]


def scan(rule_set, request):
    """Return the first rule that matches, by a plain scan."""
    for rule in rule_set.rules:
        if rule.when.subject != request.keyword:
            continue
        if rule.when.matches(request):
            return rule
    return None


def rate(match, requests):
    """Return the best matches a second of some rounds."""
    best = 0.0
    for _ in range(ROUNDS):
        start = time.perf_counter()
        for request in requests:
            match(request)
        best = max(best, len(requests) / (time.perf_counter() - start))
    return best


def timed_ms(function, *args):
    """Return milliseconds of one call, and its result."""
    start = time.perf_counter()
    result = function(*args)
    return (time.perf_counter() - start) * 1000, result


def measure(size):
    """Return the row of one size as a mapping."""
    random_state = random.Random(size)
    document = make_document(size, random_state)
    check_ms, rule_set = timed_ms(rules.load_rule_set, document)
    requests = make_requests(size, random_state)
    for request in requests:
        if rule_set.match(request) is not scan(rule_set, request):
            raise SystemExit('index and scan differ')
    scan_rate = rate(lambda req: scan(rule_set, req), requests)
    index_rate = rate(rule_set.match, requests)
    return {
        'rules': len(rule_set.rules),
        'scan_per_s': scan_rate,
        'index_per_s': index_rate,
        'gain': index_rate / scan_rate,
        'check_ms': check_ms,
        **_measure_edit(rule_set, requests[0]),
    }


def _measure_edit(rule_set, request):
    """Return what one edit costs a process that takes it as an update."""
    held = [
        configuration.EncodedRule.from_document(rules.dump_rule(rule))
        for rule in rule_set.rules
    ]
    before = configuration.Configuration(1, tuple(held))
    when = {'service': 'service-0', 'account': 'new'}
    operation = configuration.Add(_rule('new', when, 'service-0'), 0)
    after = before.edited('edit-1', (operation,))
    update = configuration.make_update(after, 1)
    whole = configuration.make_update(after, 0)

    def take(received):
        found = configuration.apply_update(before, received)
        found.rule_set.match(request)

    edit_ms = min(timed_ms(take, update)[0] for _ in range(ROUNDS))
    whole_ms = min(timed_ms(take, whole)[0] for _ in range(ROUNDS))
    return {
        'document_bytes': len(after.document),
        'deflated_bytes': whole.size,
        'edit_bytes': update.size,
        'take_edit_ms': edit_ms,
        'take_whole_ms': whole_ms,
    }


def main():
    """Print the table, write the result, check the bounds."""
    rows = [measure(size) for size in SIZES]
    columns = list(rows[0])
    report.print_table(
        'rules', columns, [[row[c] for c in columns] for row in rows]
    )
    report.write_result('bench_rules', rows)
    largest = rows[-1]
    report.check_bounds(
        report.Bound(
            'index over scan, 1000 rules', largest['gain'], at_least=5.0
        ),
        report.Bound(
            'edit over whole document in bytes, 1000 rules',
            largest['edit_bytes'] / largest['document_bytes'],
            at_most=0.01,
        ),
        report.Bound(
            'edit over whole document in time, 1000 rules',
            largest['take_edit_ms'] / largest['take_whole_ms'],
            at_most=0.3,
        ),
    )


if __name__ == '__main__':
    main()
