"""Differences between two orders of the same rules."""

import operator

import attrs


@attrs.frozen
class Difference:
    """Rules that only one of two sequences contains, by identity."""

    removed: tuple
    added: tuple

    def of_subject(self, keyword):
        """Return the part that concerns rules of one subject."""
        return Difference(
            tuple(r for r in self.removed if r.when.subject == keyword),
            tuple(r for r in self.added if r.when.subject == keyword),
        )


def find_difference(before, after):
    """Return the `Difference` between two tuples of rules.

    Returns:
        None if the rules in both are in another order, or if a rule is
        repeated.
    """
    start = _common_length(before, after)
    end = _common_length(before[start:][::-1], after[start:][::-1])
    before = before[start : len(before) - end]
    after = after[start : len(after) - end]
    before_ids = dict(zip(map(id, before), before, strict=True))
    after_ids = dict(zip(map(id, after), after, strict=True))
    if len(before_ids) < len(before) or len(after_ids) < len(after):
        return None
    kept = filter(after_ids.__contains__, before_ids)
    if list(kept) != list(filter(before_ids.__contains__, after_ids)):
        return None
    removed = before_ids.keys() - after_ids.keys()
    added = after_ids.keys() - before_ids.keys()
    return Difference(
        tuple(map(before_ids.__getitem__, removed)),
        tuple(map(after_ids.__getitem__, added)),
    )


def _common_length(first, second):
    """Return the number of leading rules that are the same objects."""
    same = list(map(operator.is_, first, second))
    return same.index(False) if False in same else len(same)
