"""Reading rules files and comparing rule sets."""

from catkinshunt.configuration import _edits
from catkinshunt import errors
from catkinshunt import rules


def read_rules_file(path, services=None):
    """Return the checked `rules.RuleSet` in a JSON5 file.

    Raises:
        errors.RuleError: the file cannot be read or its rules are invalid.
    """
    return rules.load_rule_set(read_document(path), services)


def read_document(path):
    """Return the JSON values in a JSON5 file.

    Raises:
        errors.RuleError: the file cannot be read.
    """
    # Imported here to save its memory in processes that read no rules file.
    import json5

    try:
        with open(path, encoding='utf-8') as file:
            return json5.load(file, allow_duplicate_keys=False)
    except (OSError, ValueError, RecursionError) as exc:
        raise errors.RuleError(
            f'{path} cannot be read: {exc}', step='read-rules'
        ) from exc


def describe_differences(before, after):
    """Return the operations between two rule sets, one line for each.

    Examples:
        >>> def load(*names):
        ...     return rules.load_rule_set({'rules': [
        ...         {'name': name, 'when': {'request': {'path': name}},
        ...          'then': {'refuse': {'reason': 'closed'}}}
        ...         for name in names]})
        >>> describe_differences(load('/a', '/b'), load('/b', '/c'))
        ("retired '/a'", "added '/c' at 1")
    """
    operations = _edits.plan_operations(
        _encode_rules(before), _encode_rules(after)
    )
    return tuple(step.describe() for step in operations)


def _encode_rules(rule_set):
    documents = rules.dump_rule_set(rule_set)['rules']
    return [_edits.EncodedRule.from_document(item) for item in documents]
