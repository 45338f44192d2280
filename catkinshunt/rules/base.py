"""Base classes of conditions, actions and subjects."""

import abc


class BaseCondition(abc.ABC):
    """Condition on one field of a subject."""

    @abc.abstractmethod
    def matches(self, value):
        """Return whether `value` meets the condition."""

    @abc.abstractmethod
    def describe(self):
        """Return a short description of the allowed values."""

    @abc.abstractmethod
    def to_document(self):
        """Return the condition as written in a rules file."""

    def values(self):
        """Return all matching values, or None if they are not finite."""
        return None

    @abc.abstractmethod
    def implies(self, other):
        """Return whether every value that matches also matches `other`.

        False may also mean that this cannot be determined.
        """


class BaseAction:
    """Action of a rule."""

    #: Key of the action in a rules file.
    keyword = ''


class BaseSubject:
    """Subject that rules are matched against: a request or an event."""

    #: Key of conditions on the subject in a rules file.
    keyword = ''
    #: Fields by which rules can be indexed, in order of preference.
    indexed_fields = ()
