"""Finds rules that can never decide because an earlier one covers them."""

import collections


def check_reachable(rules, collector):
    """Add a problem for each rule that one earlier rule covers wholly.

    A rule that several earlier ones cover only together is not found.

    Args:
        rules: the rules in order.
        found: the `ProblemCollector` that takes the problems.
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
    """Yield the earlier rules that are worth comparing with `rule`.

    A rule for some services covers only rules for some of these, so most
    pairs need no comparison; all pairs of 1,000 rules took a second.
    """
    yield from by_service[rule.when.subject, None]
    services = _services(rule)
    if services:
        yield from by_service[rule.when.subject, services[0]]


def _services(rule):
    condition = rule.when.condition('service')
    return condition.values() if condition is not None else None


def covers(earlier, later):
    """Return whether `earlier` surely matches all that `later` matches."""
    if earlier.subject != later.subject:
        return False
    for clause in earlier.clauses:
        narrower = later.condition(clause.field)
        if narrower is None or not narrower.implies(clause.condition):
            return False
    return True


def _describe_cover(earlier):
    if not earlier.when.clauses:
        return f'rule {earlier.name!r} before it matches everything'
    return f'rule {earlier.name!r} before it matches all that it matches'
