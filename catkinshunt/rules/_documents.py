"""Conversion between rules documents and checked rule sets."""

import attrs

from catkinshunt.rules import _actions
from catkinshunt.rules import _conditions
from catkinshunt.rules import _problems
from catkinshunt.rules import _reachability
from catkinshunt.rules import _rules
from catkinshunt.rules import _subjects

_RULE_FIELDS = ('name', 'when', 'then')
_OPERATORS = ('equal', 'one_of', 'prefix', 'not')


def load_rule_set(document, services=None):
    """Validate a rules document and return it as a `RuleSet`.

    Args:
        document: mapping with the single key ``rules``, a list of mappings
            with ``name``, ``when`` and ``then``.
        services: names of the known services; None disables the check.

    Raises:
        errors.RuleError: the document is invalid; the message lists all
            problems, ``problems`` contains them as `Problem`.

    Examples:
        >>> load_rule_set({'rules': [{'name': 'a', 'then': {}}]})
        Traceback (most recent call last):
            ...
        catkinshunt.errors.RuleError: rules cannot be accepted:
          rule 'a', field when: is missing
          rule 'a', field then: must contain one action of place, refuse, \
route [step check-rules]
    """
    collector = _problems.ProblemCollector()
    rules = _load_rules(document, collector)
    if services is not None:
        _check_services(rules, frozenset(services), collector)
    # Without its invalid clauses a rule would seem to match more than it does
    # and to cover later rules.
    invalid = {problem.rule for problem in collector.problems}
    valid_rules = [rule for rule in rules if rule.name not in invalid]
    _reachability.check_reachable(valid_rules, collector)
    collector.raise_any()
    return _rules.RuleSet(rules)


def load_rule(document):
    """Validate one rule without comparing it with others.

    Raises:
        errors.RuleError: the rule is invalid.
    """
    collector = _problems.ProblemCollector()
    rule = _load_rule(0, document, collector)
    collector.raise_any()
    return rule


def dump_rule_set(rule_set):
    """Return `rule_set` as a document for `load_rule_set`."""
    return {'rules': [dump_rule(rule) for rule in rule_set.rules]}


def dump_rule(rule):
    """Return one rule as written in a rules file."""
    clauses = {
        clause.field: clause.condition.to_document()
        for clause in rule.when.clauses
    }
    then = attrs.asdict(rule.then, filter=_differs_from_default)
    return {
        'name': rule.name,
        'when': {rule.when.subject: clauses},
        'then': {rule.then.keyword: then},
    }


def _differs_from_default(attribute, value):
    return value != attribute.default


def _load_rules(document, collector):
    if not isinstance(document, dict) or 'rules' not in document:
        collector.add('', 'rules', "the document must contain a list 'rules'")
        return []
    for key in document:
        if key != 'rules':
            collector.add('', key, 'is not a field of the document')
    items = document['rules']
    if not isinstance(items, list):
        collector.add('', 'rules', f'must be a list, got {items!r}')
        return []
    loaded = [_load_rule(i, item, collector) for i, item in enumerate(items)]
    _check_names(items, collector)
    return [rule for rule in loaded if rule is not None]


def _load_rule(position, item, collector):
    label = f'#{position + 1}'
    if not isinstance(item, dict):
        collector.add(label, '', f'must be a mapping, got {item!r}')
        return None
    name = item.get('name')
    if isinstance(name, str) and name:
        label = name
    else:
        collector.add(label, 'name', f'must be text, got {name!r}')
    for key in item:
        if key not in _RULE_FIELDS:
            collector.add(label, key, 'is not a field of a rule')
    when = _load_when(label, item, collector)
    subject = when.subject if when else ''
    then = _load_then(label, item, subject, collector)
    if when is None or then is None:
        return None
    return _rules.Rule(label, when, then)


def _load_when(rule, item, collector):
    if 'when' not in item:
        collector.add(rule, 'when', 'is missing')
        return None
    when = item['when']
    known = ' or '.join(_subjects.SUBJECTS)
    if not isinstance(when, dict) or len(when) != 1:
        collector.add(rule, 'when', f'must contain exactly one of {known}')
        return None
    [(subject, fields)] = when.items()
    if subject not in _subjects.SUBJECTS:
        collector.add(rule, f'when.{subject}', f'is not one of {known}')
        return None
    path = f'when.{subject}'
    if not isinstance(fields, dict):
        collector.add(rule, path, f'must be a mapping, got {fields!r}')
        return None
    clauses = _load_clauses(rule, path, subject, fields, collector)
    return _rules.When(subject, clauses)


def _load_clauses(rule, path, subject, fields, collector):
    types = attrs.fields_dict(_subjects.SUBJECTS[subject])
    clauses = []
    for name, value in fields.items():
        if name not in types:
            allowed = ', '.join(types)
            collector.add(rule, f'{path}.{name}', f'is not one of {allowed}')
            continue
        value_type = types[name].type
        cond = _load_condition(
            rule, f'{path}.{name}', value_type, value, collector
        )
        if cond is not None:
            clauses.append(_rules.Clause(name, cond))
    return clauses


def _load_condition(rule, path, value_type, value, collector):
    if not isinstance(value, dict):
        return _load_equal(rule, path, value_type, value, collector)
    if len(value) != 1 or next(iter(value)) not in _OPERATORS:
        allowed = ', '.join(_OPERATORS)
        collector.add(rule, path, f'must contain exactly one of {allowed}')
        return None
    [(operator, operand)] = value.items()
    path = f'{path}.{operator}'
    if operator == 'equal':
        return _load_equal(rule, path, value_type, operand, collector)
    if operator == 'one_of':
        return _load_one_of(rule, path, value_type, operand, collector)
    if operator == 'prefix':
        return _load_prefix(rule, path, value_type, operand, collector)
    inner = _load_condition(rule, path, value_type, operand, collector)
    return None if inner is None else _conditions.Not(inner)


def _load_equal(rule, path, value_type, value, collector):
    if not _check_type(rule, path, value_type, value, collector):
        return None
    return _conditions.Equal(value)


def _load_one_of(rule, path, value_type, values, collector):
    if not isinstance(values, list) or not values:
        collector.add(rule, path, f'must be a list of values, got {values!r}')
        return None
    valid = [
        _check_type(rule, path, value_type, value, collector)
        for value in values
    ]
    return _conditions.OneOf(values) if all(valid) else None


def _load_prefix(rule, path, value_type, value, collector):
    if value_type is not str:
        collector.add(rule, path, 'is only for text')
        return None
    if not _check_type(rule, path, value_type, value, collector):
        return None
    return _conditions.Prefix(value)


def _check_type(rule, path, value_type, value, collector):
    if type(value) is value_type:
        return True
    allowed = 'text' if value_type is str else 'true or false'
    collector.add(rule, path, f'must be {allowed}, got {value!r}')
    return False


def _load_then(rule, item, subject, collector):
    actions = _actions.ACTIONS.get(subject) or _all_actions()
    then = item.get('then')
    if not isinstance(then, dict) or len(then) != 1:
        known = ', '.join(sorted(actions))
        collector.add(rule, 'then', f'must contain one action of {known}')
        return None
    [(keyword, fields)] = then.items()
    path = f'then.{keyword}'
    if keyword not in actions:
        known = ', '.join(sorted(actions))
        collector.add(rule, path, f'is not one of {known}')
        return None
    if not isinstance(fields, dict):
        collector.add(rule, path, f'must be a mapping, got {fields!r}')
        return None
    return _load_action(rule, path, actions[keyword], fields, collector)


def _all_actions():
    return {
        keyword: cls
        for actions in _actions.ACTIONS.values()
        for keyword, cls in actions.items()
    }


def _load_action(rule, path, cls, fields, collector):
    n_before = len(collector.problems)
    attributes = attrs.fields_dict(cls)
    for name in fields:
        if name not in attributes:
            allowed = ', '.join(attributes)
            collector.add(rule, f'{path}.{name}', f'is not one of {allowed}')
    for name, attribute in attributes.items():
        if name in fields:
            _check_attribute(rule, path, attribute, fields[name], collector)
        elif attribute.default is attrs.NOTHING:
            collector.add(rule, f'{path}.{name}', 'is missing')
    if len(collector.problems) > n_before:
        return None
    return cls(**fields)


def _check_attribute(rule, path, attribute, value, collector):
    try:
        attribute.validator(None, attribute, value)
    except ValueError as exc:
        collector.add(rule, f'{path}.{attribute.name}', str(exc))


def _check_names(items, collector):
    seen = set()
    for item in items:
        name = item.get('name') if isinstance(item, dict) else None
        if not isinstance(name, str):
            continue
        if name in seen:
            collector.add(name, 'name', 'is used twice')
        seen.add(name)


def _check_services(rules, services, collector):
    known = ', '.join(sorted(services))
    for rule in rules:
        condition = rule.when.condition('service')
        path = f'when.{rule.when.subject}.service'
        for name in _service_names(condition):
            if name not in services:
                text = f'{name!r} is not a known service ({known})'
                collector.add(rule.name, path, text)
        target = getattr(rule.then, 'service', None)
        if target is not None and target not in services:
            text = f'{target!r} is not a known service ({known})'
            collector.add(rule.name, 'then.route.service', text)


def _service_names(condition):
    if isinstance(condition, _conditions.Not):
        condition = condition.condition
    if condition is None:
        return ()
    return condition.values() or ()
