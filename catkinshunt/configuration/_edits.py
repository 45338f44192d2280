"""Edits of the ordered rules, as operations that can be replayed."""

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
    """A rule with its canonical JSON, so that neither is made twice."""

    rule: rules.Rule
    line: bytes

    @classmethod
    def from_document(cls, document):
        """Check one rule as it is written in a rules file."""
        rule = rules.load_rule(document)
        return cls(rule, encode(rules.dump_rule(rule)))


class BaseOperation(abc.ABC):
    """One step of an edit."""

    #: Word under which the operation stands in a document.
    keyword = ''

    @abc.abstractmethod
    def apply(self, held):
        """Carry the step out on the list `encoded_rules` of `EncodedRule`, in place."""

    @abc.abstractmethod
    def describe(self):
        """Return what the step does, in a few words."""

    def to_document(self):
        """Return the step as JSON values."""
        fields = attrs.asdict(self, recurse=False)
        return {self.keyword: fields}


@attrs.frozen
class Add(BaseOperation):
    """Insert a rule; position 0 is the first."""

    keyword = 'add'

    rule: dict
    position: int

    def apply(self, held):
        """See `BaseOperation.apply`."""
        new = EncodedRule.from_document(self.rule)
        if _names(held).count(new.rule.name):
            _fail(f'rule {new.rule.name!r} exists already')
        _check_position(self.position, len(held))
        held.insert(self.position, new)

    def describe(self):
        """See `BaseOperation.describe`."""
        return f'added {self.rule["name"]!r} at {self.position}'


@attrs.frozen
class Replace(BaseOperation):
    """Put a rule in the place of the one with its name."""

    keyword = 'replace'

    rule: dict

    def apply(self, held):
        """See `BaseOperation.apply`."""
        new = EncodedRule.from_document(self.rule)
        held[_find(held, new.rule.name)] = new

    def describe(self):
        """See `BaseOperation.describe`."""
        return f'replaced {self.rule["name"]!r}'


@attrs.frozen
class Move(BaseOperation):
    """Move a rule; the position counts without the rule itself."""

    keyword = 'move'

    name: str
    position: int

    def apply(self, held):
        """See `BaseOperation.apply`."""
        moved = held.pop(_find(held, self.name))
        _check_position(self.position, len(held))
        held.insert(self.position, moved)

    def describe(self):
        """See `BaseOperation.describe`."""
        return f'moved {self.name!r} to {self.position}'


@attrs.frozen
class Retire(BaseOperation):
    """Take a rule away."""

    keyword = 'retire'

    name: str

    def apply(self, held):
        """See `BaseOperation.apply`."""
        del held[_find(held, self.name)]

    def describe(self):
        """See `BaseOperation.describe`."""
        return f'retired {self.name!r}'


OPERATIONS = {cls.keyword: cls for cls in (Add, Replace, Move, Retire)}


@attrs.frozen(slots=False)
class Edit:
    """An accepted edit, kept with the configuration it led to.

    Args:
        edit_id: unique; by it an operator whose answer was lost finds out
            whether the edit was accepted, also after later edits.
        revision: the configuration's revision that the edit led to.
        operations: its steps in order.
    """

    edit_id: str
    revision: int
    operations: tuple[BaseOperation, ...] = attrs.field(converter=tuple)

    @classmethod
    def from_document(cls, document):
        """Read what `to_document` wrote.

        Raises:
            errors.RuleError: the values are no edit.
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
    def line(self):
        """The edit as canonical JSON bytes."""
        return encode(self.to_document())

    def describe(self):
        """Return what the edit did, in a few words."""
        steps = ', '.join(step.describe() for step in self.operations)
        return f'revision {self.revision} {steps}'


def plan(current, wanted):
    """Return the operations that lead from one list of rules to another.

    Args:
        current: list of `EncodedRule` in force.
        wanted: list of `EncodedRule` to be in force.

    Returns:
        A tuple of operations; empty where the lists are equal.
    """
    steps = []
    names = set(_names(wanted))
    for held in current:
        if held.rule.name not in names:
            steps.append(Retire(held.rule.name))
    lines = {held.rule.name: held.line for held in current}
    for held in wanted:
        known = lines.get(held.rule.name)
        if known is not None and known != held.line:
            steps.append(Replace(rules.dump_rule(held.rule)))
    order = [held.rule.name for held in current if held.rule.name in names]
    for position, held in enumerate(wanted):
        name = held.rule.name
        if position < len(order) and order[position] == name:
            continue
        if name in lines:
            order.remove(name)
            steps.append(Move(name, position))
        else:
            steps.append(Add(rules.dump_rule(held.rule), position))
        order.insert(position, name)
    return tuple(steps)


def _names(held):
    return [item.rule.name for item in held]


def _find(held, name):
    for position, item in enumerate(held):
        if item.rule.name == name:
            return position
    return _fail(f'there is no rule {name!r}')


def _check_position(position, last):
    wrong = isinstance(position, bool) or not isinstance(position, int)
    if wrong or not 0 <= position <= last:
        _fail(f'position must be from 0 to {last}, got {position!r}')


def _fail(text):
    raise errors.RuleError(text, step='edit-rules')
