"""Rules and ordered rule sets."""

import attrs

from catkinshunt.rules import _differences
from catkinshunt.rules import _subjects
from catkinshunt.rules import base


@attrs.frozen
class Clause:
    """A condition on one field of the subject."""

    field: str
    condition: base.BaseCondition


@attrs.frozen
class When:
    """Conditions of a rule.

    Attributes:
        subject: keyword of the kind of subject, ``request`` or ``event``.
        clauses: clauses that a subject must all meet.
    """

    subject: str
    clauses: tuple[Clause, ...] = attrs.field(default=(), converter=tuple)

    def condition(self, field):
        """Return the condition on `field`, or None if there is none."""
        for clause in self.clauses:
            if clause.field == field:
                return clause.condition
        return None

    def matches(self, subject):
        """Return whether `subject` meets all clauses; its class must fit."""
        for clause in self.clauses:
            if not clause.condition.matches(getattr(subject, clause.field)):
                return False
        return True


@attrs.frozen
class Rule:
    """An action `then` for the subjects that match `when`."""

    name: str
    when: When
    then: base.BaseAction

    def named_values(self, field):
        """Return the values of `field` that match, or None if not finite."""
        condition = self.when.condition(field)
        return None if condition is None else condition.values()


@attrs.frozen
class Explanation:
    """Whether a rule matches a subject, and why not.

    Args:
        rule: name of the rule.
        matched: whether the subject meets all clauses.
        reasons: one sentence for each clause that is not met.
    """

    rule: str
    matched: bool
    reasons: tuple[str, ...] = ()


class _Index:
    """Rules of one subject by the value of one field, in order.

    Only values named by a rule get a list, so that clients which send
    arbitrary values cannot make the index grow.

    Args:
        rules: the rules in order.
        field: name of the field.
        by_value: the rules by each value that they name, in order, where
            each rule names some; None to find them in `rules`.
    """

    def __init__(self, rules, field, by_value=None):
        self.field = field
        self._rules = rules
        self._default_candidates = ()
        self._by_value = self._group(rules) if by_value is None else by_value

    def _group(self, rules):
        by_value = {}
        unbounded = []
        for rule in rules:
            values = rule.named_values(self.field)
            if values is None:
                unbounded.append(rule)
                continue
            for value in values:
                by_value.setdefault(value, []).append(rule)
        self._default_candidates = tuple(unbounded)
        if unbounded:
            # The list of a value is built at its first lookup, since a
            # process that applies many revisions looks up only some values.
            return dict.fromkeys(by_value)
        return by_value

    @property
    def is_useful(self):
        """Whether any rule names a value of the field."""
        return bool(self._by_value)

    def candidates(self, value):
        """Return the rules that may match a subject with this `value`."""
        if value not in self._by_value:
            return self._default_candidates
        candidates = self._by_value[value]
        if candidates is None:
            candidates = tuple(self._matching_rules(value))
            self._by_value[value] = candidates
        return candidates

    def _matching_rules(self, value):
        for rule in self._rules:
            condition = rule.when.condition(self.field)
            if condition is None or condition.matches(value):
                yield rule

    def revised(self, difference, rules):
        """Return the index of other rules, reusing the lists of this one.

        Args:
            difference: `Difference` between the rules of this index and the
                others, which are otherwise in the same order.
            rules: rules that include the others, in order.

        Returns:
            None if the index must be built anew.
        """
        if not difference.removed and not difference.added:
            return self
        added_by_value = _Index(difference.added, self.field)
        if self._default_candidates or added_by_value._default_candidates:
            return None
        removed_ids = set(map(id, difference.removed))
        changed = {}
        for rule in (*difference.removed, *difference.added):
            for value in rule.named_values(self.field):
                if value in changed:
                    continue
                changed[value] = [
                    rule
                    for rule in self._by_value.get(value, ())
                    if id(rule) not in removed_ids
                ]
                changed[value] += added_by_value.candidates(value)
        positions = _find_positions(changed.values(), rules)
        if positions is None:
            return None
        by_value = {**self._by_value, **changed}
        for value, found in changed.items():
            found.sort(key=lambda rule: positions[id(rule)])
            if not found:
                del by_value[value]
        return _Index((), self.field, by_value) if by_value else None


def _find_positions(lists, rules):
    """Return the position by identity of each rule in `lists`.

    Returns:
        None if one of them is repeated in `rules`.
    """
    wanted = {id(rule) for found in lists for rule in found}
    order = list(filter(wanted.__contains__, map(id, rules)))
    positions = {identity: number for number, identity in enumerate(order)}
    return positions if len(positions) == len(order) else None


@attrs.frozen(slots=False)
class RuleSet:
    """Ordered rules; the first matching rule applies.

    Examples:
        >>> from catkinshunt import rules
        >>> rule_set = rules.load_rule_set({'rules': [{
        ...     'name': 'all', 'when': {'request': {}},
        ...     'then': {'route': {'service': 'order-desk'}}}]})
        >>> rule_set.match(rules.Request(service='order-desk')).name
        'all'
    """

    rules: tuple[Rule, ...] = attrs.field(default=(), converter=tuple)
    _indexes: dict = attrs.field(eq=False, repr=False, kw_only=True)

    @_indexes.default
    def _make_indexes(self):
        return {
            keyword: self._index(keyword, cls.indexed_fields)
            for keyword, cls in _subjects.SUBJECTS.items()
        }

    def _index(self, keyword, fields):
        """Return the first useful index of a subject."""
        rules = [rule for rule in self.rules if keyword == _subject(rule)]
        for field in fields:
            index = _Index(rules, field)
            if index.is_useful:
                return index
        return _Index(rules, fields[0])

    def revised(self, rules):
        """Return `RuleSet(rules)`, at the cost of what changed.

        Args:
            rules: the rules in order. Those that are the same objects as in
                this rule set are not indexed again.
        """
        rules = tuple(rules)
        difference = _differences.find_difference(self.rules, rules)
        if difference is None:
            return RuleSet(rules)
        indexes = {}
        for keyword, index in self._indexes.items():
            indexes[keyword] = index.revised(
                difference.of_subject(keyword), rules
            )
            if indexes[keyword] is None:
                return RuleSet(rules)
        return RuleSet(rules, indexes=indexes)

    def match(self, subject):
        """Return the first `Rule` that matches `subject`, or None."""
        index = self._indexes[subject.keyword]
        for rule in index.candidates(getattr(subject, index.field)):
            if rule.when.matches(subject):
                return rule
        return None

    def explain(self, subject):
        """Return one `Explanation` for each rule, in order."""
        return tuple(_explain(rule, subject) for rule in self.rules)


def _subject(rule):
    return rule.when.subject


def _explain(rule, subject):
    if rule.when.subject != subject.keyword:
        reason = f'decides on {rule.when.subject}s, not {subject.keyword}s'
        return Explanation(rule.name, False, (reason,))
    reasons = []
    for clause in rule.when.clauses:
        value = getattr(subject, clause.field)
        if not clause.condition.matches(value):
            wanted = clause.condition.describe()
            reasons.append(f'{clause.field} is {value!r}, must be {wanted}')
    return Explanation(rule.name, not reasons, tuple(reasons))
