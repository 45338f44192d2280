"""Requests that wait beside an upstream, and the base class of queues."""

import abc
from concurrent import futures

import attrs

from catkinshunt import base


@attrs.define(eq=False)
class Ticket:
    """One request that wants to run.

    Attributes:
        request_id: identifier of the request.
        account: who it is for.
        deadline: when its answer must be whole, in seconds, monotonic.
        weight: share of its account against others.
        offered_at: when it came.
        began_at: when it was let through.
        cost_s: service time that its account was charged in advance.
        fut: done when it may run; holds the error when it is refused.
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
    """Holds the requests that wait, and says which is next.

    A queue is not safe for threads; `Admission` holds a lock around it.
    """

    @abc.abstractmethod
    def __len__(self):
        """Return how many requests wait."""

    @abc.abstractmethod
    def offer(self, ticket, rate_per_s, service_s, now):
        """Take a request in, and refuse what there is no place for.

        Args:
            ticket: the `Ticket`.
            rate_per_s: requests that end in a second; infinite if unknown.
            service_s: time that one request takes, as far as known.
            now: seconds, monotonic.

        Raises:
            OverloadedError: the request was not taken in.
        """

    @abc.abstractmethod
    def choose(self, now):
        """Return the next request to run, or None."""

    @abc.abstractmethod
    def remove(self, ticket):
        """Drop a waiting request; return whether it was there."""

    def begin(self, ticket, service_s):  # noqa: B027
        """Take note that a request starts without having waited."""

    def observe(self, ticket, took_s):  # noqa: B027
        """Take note of how long a request took."""
