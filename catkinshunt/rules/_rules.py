"""Rules, their order, and which one decides."""

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
    """The subject of a rule and all clauses that it must meet."""

    subject: str
    clauses: tuple[Clause, ...] = attrs.field(default=(), converter=tuple)

    def condition(self, field):
        """Return the condition on `field`, or None if it is free."""
        for clause in self.clauses:
            if clause.field == field:
                return clause.condition
        return None

    def matches(self, subject):
        """Return whether `subject`, of the right class, meets all clauses."""
        for clause in self.clauses:
            if not clause.condition.matches(getattr(subject, clause.field)):
                return False
        return True


@attrs.frozen
class Rule:
    """When a subject matches `when`, `then` decides."""

    name: str
    when: When
    then: base.BaseAction


@attrs.frozen
class Explanation:
    """Whether one rule matches a subject, and if not, why.

    Args:
        rule: name of the rule.
        matched: whether all its clauses hold.
        reasons: one sentence for each clause that does not hold.
    """

    rule: str
    matched: bool
    reasons: tuple[str, ...] = ()


class _Index:
    """Rules of one subject by the value of one field, each list in order.

    A list is made when its value is first asked for, so that a process
    that takes many revisions pays only for the values it meets. Only
    values that some rule names get a list: a caller who sends invented
    names cannot make the index grow.
    """

    def __init__(self, rules, field):
        self._rules = rules
        self._field = field
        self._named = set()
        for rule in rules:
            condition = rule.when.condition(field)
            if condition is not None:
                self._named.update(condition.values() or ())
        self._by_value = {}
        self._rest = tuple(
            rule for rule in rules if _open_ended(rule.when.condition(field))
        )

    @property
    def is_useful(self):
        """Whether any rule names a value of the field."""
        return bool(self._named)

    def candidates(self, value):
        """Return the rules that may match a subject with this value."""
        found = self._by_value.get(value)
        if found is not None:
            return found
        if value not in self._named:
            return self._rest
        found = tuple(self._admitting(value))
        self._by_value[value] = found
        return found

    def _admitting(self, value):
        for rule in self._rules:
            condition = rule.when.condition(self._field)
            if condition is None or condition.matches(value):
                yield rule


def _open_ended(condition):
    return condition is None or condition.values() is None


@attrs.frozen(slots=False)
class RuleSet:
    """Ordered rules; the first that matches decides.

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
        """Return the first useful index of a subject, with its field."""
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
