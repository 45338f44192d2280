"""Detection of rules that an earlier rule makes unreachable."""

import collections


def check_reachable(rules, collector):
    """Add a problem for each rule that a single earlier rule covers.

    Rules that are covered only by several earlier rules together are not
    detected.

    Args:
        rules: the rules in order.
        collector: `ProblemCollector` of the problems.
    """
    by_service = collections.defaultdict(list)
    for rule in rules:
        for earlier in _cover_candidates(rule, by_service):
            if covers(earlier.when, rule.when):
                text = f'cannot be reached: {_describe_cover(earlier)}'
                collector.add(rule.name, 'when', text)
                break
        for service in _services(rule) or (None,):
            by_service[rule.when.subject, service].append(rule)


def _cover_candidates(rule, by_service):
    """Yield the earlier rules that may cover `rule`.

    A rule for certain services can only cover rules for the same services,
    so most pairs are skipped; comparing all pairs of 1,000 rules takes a
    second.
    """
    yield from by_service[rule.when.subject, None]
    services = _services(rule)
    if services:
        # A rule that covers `rule` lists all its services, so one is enough.
        yield from by_service[rule.when.subject, services[0]]


def _services(rule):
    condition = rule.when.condition('service')
    return condition.values() if condition is not None else None


def covers(earlier, later):
    """Return whether `earlier` certainly matches whatever `later` does."""
    if earlier.subject != later.subject:
        return False
    for clause in earlier.clauses:
        narrower = later.condition(clause.field)
        if narrower is None or not narrower.implies(clause.condition):
            return False
    return True


def _describe_cover(earlier):
    if not earlier.when.clauses:
        return f'the earlier rule {earlier.name!r} matches everything'
    return f'the earlier rule {earlier.name!r} matches all that it matches'
