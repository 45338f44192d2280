"""Edits of the ordered rules as operations that can be replayed."""

import abc
import functools
import json

import attrs

from catkinshunt import checks
from catkinshunt import errors
from catkinshunt import rules


def encode(value):
    """Return `value` as canonical JSON; equal values give equal bytes."""
    text = json.dumps(value, sort_keys=True, separators=(',', ':'))
    return text.encode()


@attrs.frozen
class EncodedRule:
    """A rule with its canonical JSON, to decode and encode it only once."""

    rule: rules.Rule
    encoded: bytes

    @classmethod
    def from_document(cls, document):
        """Check and encode one rule as written in a rules file."""
        rule = rules.load_rule(document)
        return cls(rule, encode(rules.dump_rule(rule)))


class BaseOperation(abc.ABC):
    """One operation of an edit."""

    #: Key of the operation in a document.
    keyword = ''

    @abc.abstractmethod
    def apply(self, encoded_rules):
        """Apply the operation in place to a list of `EncodedRule`."""

    @abc.abstractmethod
    def describe(self):
        """Return a short description of the operation."""

    def to_document(self):
        """Return the operation as JSON values."""
        fields = attrs.asdict(self, recurse=False)
        return {self.keyword: fields}


@attrs.frozen
class Add(BaseOperation):
    """Insert a rule; position 0 is the first."""

    keyword = 'add'

    rule: dict
    position: int

    def apply(self, encoded_rules):
        """See `BaseOperation.apply`."""
        new = EncodedRule.from_document(self.rule)
        if _rule_names(encoded_rules).count(new.rule.name):
            _raise_rule_error(f'rule {new.rule.name!r} already exists')
        _check_position(self.position, len(encoded_rules))
        encoded_rules.insert(self.position, new)

    def describe(self):
        """See `BaseOperation.describe`."""
        return f'added {self.rule["name"]!r} at {self.position}'


@attrs.frozen
class Replace(BaseOperation):
    """Replace the rule of the same name."""

    keyword = 'replace'

    rule: dict

    def apply(self, encoded_rules):
        """See `BaseOperation.apply`."""
        new = EncodedRule.from_document(self.rule)
        encoded_rules[_find_position(encoded_rules, new.rule.name)] = new

    def describe(self):
        """See `BaseOperation.describe`."""
        return f'replaced {self.rule["name"]!r}'


@attrs.frozen
class Move(BaseOperation):
    """Move a rule; `position` is its index in the other rules."""

    keyword = 'move'

    name: str
    position: int

    def apply(self, encoded_rules):
        """See `BaseOperation.apply`."""
        moved = encoded_rules.pop(_find_position(encoded_rules, self.name))
        _check_position(self.position, len(encoded_rules))
        encoded_rules.insert(self.position, moved)

    def describe(self):
        """See `BaseOperation.describe`."""
        return f'moved {self.name!r} to {self.position}'


@attrs.frozen
class Retire(BaseOperation):
    """Remove a rule."""

    keyword = 'retire'

    name: str

    def apply(self, encoded_rules):
        """See `BaseOperation.apply`."""
        del encoded_rules[_find_position(encoded_rules, self.name)]

    def describe(self):
        """See `BaseOperation.describe`."""
        return f'retired {self.name!r}'


OPERATIONS = {cls.keyword: cls for cls in (Add, Replace, Move, Retire)}


@attrs.frozen(slots=False)
class Edit:
    """An accepted edit, stored with the configuration that it produced.

    Args:
        edit_id: unique id. It shows whether the edit was accepted when the
            response was lost, even after later edits.
        revision: revision of the configuration that the edit produced.
        operations: operations in order.
    """

    edit_id: str
    revision: int
    operations: tuple[BaseOperation, ...] = attrs.field(converter=tuple)

    @classmethod
    def from_document(cls, document):
        """Decode the output of `to_document`.

        Raises:
            errors.RuleError: the values are not an edit.
        """
        try:
            operations = []
            for item in document['operations']:
                [(keyword, fields)] = item.items()
                operations.append(OPERATIONS[keyword](**fields))
            revision = checks.check_count(document['revision'], 'revision')
            return cls(document['edit_id'], revision, operations)
        except (KeyError, TypeError, ValueError, AttributeError) as exc:
            raise errors.RuleError(
                f'not an edit: {exc!r}', step='read-edit'
            ) from exc

    def to_document(self):
        """Return the edit as JSON values."""
        return {
            'edit_id': self.edit_id,
            'revision': self.revision,
            'operations': [step.to_document() for step in self.operations],
        }

    @functools.cached_property
    def encoded(self):
        """The edit as canonical JSON bytes."""
        return encode(self.to_document())

    def describe(self):
        """Return a short description of the edit."""
        descriptions = ', '.join(step.describe() for step in self.operations)
        return f'revision {self.revision} {descriptions}'


def plan_operations(current, wanted):
    """Return the operations that turn one list of rules into another.

    Args:
        current: list of `EncodedRule` in force.
        wanted: list of `EncodedRule` to put in force.

    Returns:
        A tuple of operations; empty if the lists are equal.
    """
    operations = []
    names = set(_rule_names(wanted))
    for item in current:
        if item.rule.name not in names:
            operations.append(Retire(item.rule.name))
    encoded_by_name = {item.rule.name: item.encoded for item in current}
    for item in wanted:
        known = encoded_by_name.get(item.rule.name)
        if known is not None and known != item.encoded:
            operations.append(Replace(rules.dump_rule(item.rule)))
    order = [item.rule.name for item in current if item.rule.name in names]
    for position, item in enumerate(wanted):
        name = item.rule.name
        if position < len(order) and order[position] == name:
            continue
        if name in encoded_by_name:
            order.remove(name)
            operations.append(Move(name, position))
        else:
            operations.append(Add(rules.dump_rule(item.rule), position))
        order.insert(position, name)
    return tuple(operations)


def _rule_names(encoded_rules):
    return [item.rule.name for item in encoded_rules]


def _find_position(encoded_rules, name):
    for position, item in enumerate(encoded_rules):
        if item.rule.name == name:
            return position
    return _raise_rule_error(f'there is no rule {name!r}')


def _check_position(position, last):
    wrong = isinstance(position, bool) or not isinstance(position, int)
    if wrong or not 0 <= position <= last:
        _raise_rule_error(
            f'position must be from 0 to {last}, got {position!r}'
        )


def _raise_rule_error(text):
    raise errors.RuleError(text, step='edit-rules')
