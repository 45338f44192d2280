"""Conditions on one field."""

import attrs

from catkinshunt.rules import base


def _disjoint(first, second):
    """Return whether certainly no value matches both conditions."""
    for one, other in ((first, second), (second, first)):
        values = one.values()
        if values is not None:
            return not any(other.matches(value) for value in values)
    if isinstance(first, Prefix) and isinstance(second, Prefix):
        return not (first.implies(second) or second.implies(first))
    if isinstance(second, Not):
        return first.implies(second.condition)
    return isinstance(first, Not) and second.implies(first.condition)


class _FiniteMixin:
    """Mixin of conditions that match a finite set of values."""

    def implies(self, other):
        """See `base.BaseCondition.implies`."""
        return all(other.matches(value) for value in self.values())


@attrs.frozen
class Equal(_FiniteMixin, base.BaseCondition):
    """The field equals a value.

    Examples:
        >>> Equal('GET').matches('GET')
        True
    """

    value: object

    def matches(self, value):
        """See `base.BaseCondition.matches`."""
        return value == self.value

    def describe(self):
        """See `base.BaseCondition.describe`."""
        return repr(self.value)

    def to_document(self):
        """See `base.BaseCondition.to_document`."""
        return self.value

    def values(self):
        """See `base.BaseCondition.values`."""
        return (self.value,)


@attrs.frozen
class OneOf(_FiniteMixin, base.BaseCondition):
    """The field equals one of several values."""

    choices: tuple = attrs.field(converter=tuple)
    _choice_set: frozenset = attrs.field(init=False, eq=False, repr=False)

    @_choice_set.default
    def _make_choice_set(self):
        return frozenset(self.choices)

    def matches(self, value):
        """See `base.BaseCondition.matches`."""
        return value in self._choice_set

    def describe(self):
        """See `base.BaseCondition.describe`."""
        return 'one of ' + ', '.join(repr(value) for value in self.choices)

    def to_document(self):
        """See `base.BaseCondition.to_document`."""
        return {'one_of': list(self.choices)}

    def values(self):
        """See `base.BaseCondition.values`."""
        return self.choices


@attrs.frozen
class Prefix(base.BaseCondition):
    """The field starts with a prefix.

    Examples:
        >>> Prefix('/v1/').matches('/v1/chat')
        True
        >>> Prefix('/v1/chat').implies(Prefix('/v1/'))
        True
    """

    prefix: str

    def matches(self, value):
        """See `base.BaseCondition.matches`."""
        return value.startswith(self.prefix)

    def describe(self):
        """See `base.BaseCondition.describe`."""
        return f'text beginning with {self.prefix!r}'

    def to_document(self):
        """See `base.BaseCondition.to_document`."""
        return {'prefix': self.prefix}

    def implies(self, other):
        """See `base.BaseCondition.implies`."""
        if isinstance(other, Prefix):
            return self.prefix.startswith(other.prefix)
        if isinstance(other, Not):
            return _disjoint(self, other.condition)
        return False


@attrs.frozen
class Not(base.BaseCondition):
    """The field does not meet the inner condition."""

    condition: base.BaseCondition

    def matches(self, value):
        """See `base.BaseCondition.matches`."""
        return not self.condition.matches(value)

    def describe(self):
        """See `base.BaseCondition.describe`."""
        return f'not {self.condition.describe()}'

    def to_document(self):
        """See `base.BaseCondition.to_document`."""
        return {'not': self.condition.to_document()}

    def implies(self, other):
        """See `base.BaseCondition.implies`."""
        if isinstance(other, Not):
            return other.condition.implies(self.condition)
        if isinstance(other, Prefix):
            return other.prefix == ''
        return False
