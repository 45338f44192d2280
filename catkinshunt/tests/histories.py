"""Checks recorded concurrent histories against a sequential model.

The package index has no linearizability checker for Python, so this is the
search of Wing and Gong with Lowe's memory of configurations seen, and no more.
"""

import abc
import contextlib
import itertools
import math
import threading

import attrs

#: Completion of an operation whose answer never came.
NEVER = math.inf


@attrs.define(eq=False)
class Operation:
    """One call in a history.

    Attributes:
        process: who called.
        name: what was called, a name that the model knows.
        args: arguments of the call.
        invoked: position of the call in the history.
        completed: position of the answer; `NEVER` if the outcome is not
            known, so that it may have taken effect at any later time or not
            at all.
        result: the answer.
    """

    process: str
    name: str
    args: tuple
    invoked: int
    completed: float = NEVER
    result: object = None


class Recorder:
    """Collects the operations of concurrent callers in real-time order."""

    def __init__(self):
        self.operations = []
        self._clock = itertools.count()
        self._lock = threading.Lock()

    @contextlib.contextmanager
    def call(self, process, name, *args):
        """Record a call; the body sets `result` and calls `complete`."""
        with self._lock:
            operation = Operation(process, name, args, next(self._clock))
            self.operations.append(operation)
        yield operation

    def complete(self, operation, result):
        """Record the answer of `operation`."""
        with self._lock:
            operation.result = result
            operation.completed = next(self._clock)


class BaseModel(abc.ABC):
    """A sequential object; its states are hashable."""

    @abc.abstractmethod
    def initial(self):
        """Return the state before the first operation."""

    @abc.abstractmethod
    def step(self, state, operation):
        """Return the next state, or None if the answer is not allowed."""

    def partition(self, operation):
        """Return the part of the state that `operation` concerns.

        Parts are checked on their own, which keeps the search short.
        """
        return None


class NoPlaceError(AssertionError):
    """An operation fits nowhere in any sequential order.

    Args:
        operation: the first that could not be placed.
        placed: the operations of the longest order found, in that order.
    """

    def __init__(self, operation, placed):
        super().__init__(f'no place for {operation} after {placed}')
        self.operation = operation
        self.placed = placed


def check(operations, model):
    """Check that `operations` have an order that `model` allows.

    Raises:
        NoPlaceError: there is no such order.
    """
    parts = {}
    for operation in operations:
        parts.setdefault(model.partition(operation), []).append(operation)
    for part in parts.values():
        _check_part(part, model)


def _check_part(operations, model):
    operations = sorted(operations, key=lambda op: op.invoked)
    must = sum(1 << i for i, op in enumerate(operations) if _known(op))
    start = (0, model.initial())
    stack = [(start, ())]
    seen = {start}
    longest = ()
    while stack:
        (placed, state), order = stack.pop()
        if placed & must == must:
            return
        if len(order) > len(longest):
            longest = order
        for index in reversed(_candidates(operations, placed)):
            after = model.step(state, operations[index])
            config = (placed | 1 << index, after)
            if after is None or config in seen:
                continue
            seen.add(config)
            stack.append((config, (*order, index)))
    left = [op for i, op in enumerate(operations) if i not in longest]
    blocked = min(left, key=lambda op: op.completed)
    raise NoPlaceError(blocked, [operations[i] for i in longest])


def _known(operation):
    return operation.completed != NEVER


def _candidates(operations, placed):
    """Return those that may come next: called before any other's answer."""
    left = [i for i in range(len(operations)) if not placed >> i & 1]
    first_answer = min(operations[i].completed for i in left)
    return [i for i in left if operations[i].invoked <= first_answer]


class Bookings(BaseModel):
    """Bookings by idempotency key, each run at most once.

    ``book(key)`` answers ``('booked', value)``, ``('refused',)`` for not
    run, or ``('ran',)`` where the answer was not kept. ``count(key)``
    answers how often the upstream ran it.
    """

    _UNSEEN = 'unseen'

    def initial(self):
        return ''

    def partition(self, operation):
        return operation.args[0]

    def step(self, state, operation):
        if operation.name == 'count':
            return state if operation.result == bool(state) else None
        if not _known(operation):
            return state or self._UNSEEN
        kind, *value = operation.result
        if kind == 'refused':
            return state
        if kind == 'ran':
            return state or None
        if state in ('', self._UNSEEN, value[0]):
            return value[0]
        return None


class Register(BaseModel):
    """A configuration written by compare-and-swap.

    ``write(expected, value)`` answers the new revision, or None for a
    conflict; ``read()`` answers ``(revision, value)``.
    """

    def initial(self):
        return (0, None)

    def step(self, state, operation):
        revision, _ = state
        if operation.name == 'read':
            return state if operation.result == state else None
        expected, value = operation.args
        if not _known(operation):
            # A conflict changes nothing and is covered by not placing it.
            return (revision + 1, value) if expected == revision else None
        if operation.result is None:
            return state if expected != revision else None
        if expected != revision or operation.result != revision + 1:
            return None
        return (revision + 1, value)


class InForce(BaseModel):
    """The revision in force at each process, which never reverts."""

    def initial(self):
        return 0

    def partition(self, operation):
        return operation.process

    def step(self, state, operation):
        return operation.result if operation.result >= state else None


class ModelServed(BaseModel):
    """The model version of one upstream.

    ``order(version)`` answers True; ``serve()`` answers the set of versions
    that the pieces of one answer came from.
    """

    def initial(self):
        return 'none'

    def partition(self, operation):
        return operation.args[0]

    def step(self, state, operation):
        if operation.name == 'order':
            return operation.args[1]
        return state if operation.result == {state} else None
