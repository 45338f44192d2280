"""Rules and ordered rule sets."""

import attrs

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

    The list of a value is built at its first lookup, since a process that
    applies many revisions looks up only some of the values. Only values
    named by a rule get a list, so that clients which send arbitrary values
    cannot make the index grow.
    """

    def __init__(self, rules, field):
        self._rules = rules
        self._field = field
        self._named_values = set()
        for rule in rules:
            condition = rule.when.condition(field)
            if condition is not None:
                self._named_values.update(condition.values() or ())
        self._by_value = {}
        self._default_candidates = tuple(
            rule for rule in rules if _is_unbounded(rule.when.condition(field))
        )

    @property
    def is_useful(self):
        """Whether any rule names a value of the field."""
        return bool(self._named_values)

    def candidates(self, value):
        """Return the rules that may match a subject with this `value`."""
        candidates = self._by_value.get(value)
        if candidates is not None:
            return candidates
        if value not in self._named_values:
            return self._default_candidates
        candidates = tuple(self._matching_rules(value))
        self._by_value[value] = candidates
        return candidates

    def _matching_rules(self, value):
        for rule in self._rules:
            condition = rule.when.condition(self._field)
            if condition is None or condition.matches(value):
                yield rule


def _is_unbounded(condition):
    return condition is None or condition.values() is None


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
    _indexes: dict = attrs.field(init=False, eq=False, repr=False)

    @_indexes.default
    def _make_indexes(self):
        return {
            keyword: self._index(keyword, cls.indexed_fields)
            for keyword, cls in _subjects.SUBJECTS.items()
        }

    def _index(self, keyword, fields):
        """Return the first useful index of a subject and its field."""
        rules = [rule for rule in self.rules if keyword == _subject(rule)]
        for field in fields:
            index = _Index(rules, field)
            if index.is_useful:
                return field, index
        return fields[0], _Index(rules, fields[0])

    def match(self, subject):
        """Return the first `Rule` that matches `subject`, or None."""
        field, index = self._indexes[subject.keyword]
        for rule in index.candidates(getattr(subject, field)):
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
