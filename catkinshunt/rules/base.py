"""Abstract classes of conditions, actions and subjects."""

import abc


class BaseCondition(abc.ABC):
    """A test of one field of a subject."""

    @abc.abstractmethod
    def matches(self, value):
        """Return whether `value` meets the condition."""

    @abc.abstractmethod
    def describe(self):
        """Return what is allowed, in a few words."""

    @abc.abstractmethod
    def to_document(self):
        """Return the condition as it is written in a rules file."""

    def values(self):
        """Return the finite set of values that match, or None."""
        return None

    @abc.abstractmethod
    def implies(self, other):
        """Return whether each value matching this also matches `other`.

        False also stands for 'not known': callers only conclude from True.
        """


class BaseAction:
    """What a rule decides."""

    #: Word under which the action stands in a rules file.
    keyword = ''


class BaseSubject:
    """What rules are matched against: a request or an event."""

    #: Word under which conditions on it stand in a rules file.
    keyword = ''
    #: Fields by which rules can be looked up, the likeliest one first.
    indexed_fields = ()
