"""Queued requests and the base class of queues."""

import abc
from concurrent import futures

import attrs

from catkinshunt import base


@attrs.define(eq=False)
class Ticket:
    """One request that is to run.

    Attributes:
        request_id: identifier of the request.
        account: client account of the request.
        deadline: when its answer must be complete, in seconds on the
            monotonic clock.
        weight: weight of its account.
        offered_at: when it was offered to `Admission`.
        began_at: when it was started.
        cost_s: service time that its account was charged at the start.
        fut: done when it may run; holds the error if it is rejected.
    """

    request_id: str
    account: str
    deadline: float
    weight: float = 1.0
    offered_at: float = 0.0
    began_at: float = 0.0
    cost_s: float = 0.0
    fut: futures.Future = attrs.field(factory=futures.Future, repr=False)


class BaseQueue(base.ParamsMixin, abc.ABC):
    """Holds waiting requests and chooses the next one.

    A queue is not thread-safe; `Admission` holds a lock around it.
    """

    @abc.abstractmethod
    def __len__(self):
        """Return the number of waiting requests."""

    @abc.abstractmethod
    def push(self, ticket, rate_per_s, service_s, now):
        """Enqueue a request, or reject it or another one.

        Args:
            ticket: the `Ticket`.
            rate_per_s: requests that end per second; infinite if unknown.
            service_s: upper bound of the service time, in seconds.
            now: seconds on the monotonic clock.

        Raises:
            OverloadedError: the request was rejected.
        """

    @abc.abstractmethod
    def pop(self, now):
        """Dequeue the next request to run; return it, or None."""

    @abc.abstractmethod
    def remove(self, ticket):
        """Remove a waiting request; return whether it was there."""

    def begin(self, ticket, service_s):  # noqa: B027
        """Record that a request starts, whether it waited or not.

        Args:
            ticket: the `Ticket`.
            service_s: mean service time, in seconds.
        """

    def finish(self, ticket, took_s):  # noqa: B027
        """Record that a request has ended, and its service time."""
