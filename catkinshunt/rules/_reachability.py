"""Finds rules that can never decide because an earlier one covers them."""


def check_reachable(rules, found):
    """Add a problem for each rule that one earlier rule covers wholly.

    A rule that several earlier ones cover only together is not found.

    Args:
        rules: the rules in order.
        found: the `Collector` that takes the problems.
    """
    for position, rule in enumerate(rules):
        for earlier in rules[:position]:
            if covers(earlier.when, rule.when):
                text = f'cannot be reached: {_why(earlier)}'
                found.add(rule.name, 'when', text)
                break


def covers(earlier, later):
    """Return whether `earlier` surely matches all that `later` matches."""
    if earlier.subject != later.subject:
        return False
    for clause in earlier.clauses:
        narrower = later.condition(clause.field)
        if narrower is None or not narrower.implies(clause.condition):
            return False
    return True


def _why(earlier):
    if not earlier.when.clauses:
        return f'rule {earlier.name!r} before it matches everything'
    return f'rule {earlier.name!r} before it matches all that it matches'
