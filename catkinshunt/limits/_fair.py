"""Weighted fair queue over accounts, limited by deadlines."""

import collections

import attrs

from catkinshunt import checks
from catkinshunt import errors
from catkinshunt.limits import base

#: Weight of the newest service time in the running mean of an account.
_NEWEST_WEIGHT = 0.2
#: Number of accounts from which on those without waiting requests are evicted.
_MAX_ACCOUNTS = 1024
#: Shortest retry time of a rejected request, in seconds.
_MIN_RETRY_AFTER_S = 0.05


@attrs.define
class _Account:
    name: str
    weight: float = 1.0
    #: Virtual time: service seconds used, divided by the weight. The account
    #: with the least is next.
    virtual_s: float = 0.0
    #: Mean service time of its requests.
    mean_s: float = 0.0
    #: Mean seconds between starts while the account has waiting requests.
    interval_s: float = 0.0
    started_at: float | None = None
    tickets: collections.deque = attrs.field(factory=collections.deque)


class FairQueue(base.BaseQueue):
    """Shares the service time among accounts by their weights.

    Of the accounts with waiting requests, the one that has used the least
    service time relative to its weight is next. An account that was idle
    starts at the virtual time of the others and accumulates no credit. A
    request is queued only if it can finish before its deadline after those
    that go before it; otherwise it is rejected at once.

    Args:
        limit: maximum number of waiting requests.
        random_state: seed or `random.Random` that spreads the retry times of
            rejected requests.

    Examples:
        >>> queue = FairQueue(random_state=0)
        >>> for account in ('big', 'big', 'big', 'small'):
        ...     ticket = base.Ticket('', account, deadline=9.0)
        ...     queue.push(ticket, 10.0, 0.1, now=0.0)
        >>> taken = []
        >>> for _ in range(4):
        ...     ticket = queue.pop(0.0)
        ...     queue.begin(ticket, 0.1)
        ...     taken.append(ticket.account)
        >>> taken
        ['big', 'small', 'big', 'big']
    """

    def __init__(self, limit=64, *, random_state=None):
        self.limit = limit
        self.random_state = random_state
        self._accounts = {}
        self._length = 0
        #: Virtual time of the account that started last.
        self._virtual_now_s = 0.0

    def __len__(self):
        return self._length

    def push(self, ticket, rate_per_s, service_s, now):
        """Enqueue a request.

        If the queue is full, it is rejected, or the newest request of the
        account with the most waiting requests relative to its weight.

        Raises:
            OverloadedError: it cannot finish in time, or the queue is full.
        """
        checks.check_positive(ticket.weight, 'weight')
        account = self._account(ticket)
        # Later requests of other accounts may still go before it; the recent
        # interval between starts of its account includes these.
        wait_s = max(
            self._count_preceding(account) / rate_per_s,
            (len(account.tickets) + 1) * account.interval_s,
        )
        late_s = now + wait_s + service_s - ticket.deadline
        if late_s > 0:
            raise self._rejection('cannot finish before the deadline', late_s)
        if self._length >= self.limit:
            self._evict_newest(account, rate_per_s)
        if not account.tickets:
            account.virtual_s = max(account.virtual_s, self._virtual_now_s)
            account.interval_s, account.started_at = 0.0, None
        account.tickets.append(ticket)
        self._length += 1

    def pop(self, now):
        """Dequeue the oldest request of the account that is next, or None."""
        waiting = [each for each in self._accounts.values() if each.tickets]
        if not waiting:
            return None
        account = min(waiting, key=lambda each: each.virtual_s)
        self._virtual_now_s = max(self._virtual_now_s, account.virtual_s)
        if account.started_at is not None:
            interval_s = now - account.started_at
            mean_s = account.interval_s or interval_s
            account.interval_s = mean_s + _NEWEST_WEIGHT * (
                interval_s - mean_s
            )
        account.started_at = now
        self._length -= 1
        return account.tickets.popleft()

    def remove(self, ticket):
        """Remove a waiting request."""
        account = self._accounts.get(ticket.account)
        if account is None or ticket not in account.tickets:
            return False
        account.tickets.remove(ticket)
        self._length -= 1
        return True

    def begin(self, ticket, service_s):
        """Charge the account of a request that starts.

        Charged only at the end, an account could start many long requests
        before any of them counts.
        """
        account = self._account(ticket)
        if not self._length:
            # It starts at once; the account gets no credit for its idle time.
            account.virtual_s = max(account.virtual_s, self._virtual_now_s)
        ticket.cost_s = account.mean_s or service_s
        account.virtual_s += ticket.cost_s / account.weight

    def finish(self, ticket, took_s):
        """Correct the charge by the service time of the request."""
        account = self._account(ticket)
        account.virtual_s += (took_s - ticket.cost_s) / account.weight
        mean_s = account.mean_s or took_s
        account.mean_s = mean_s + _NEWEST_WEIGHT * (took_s - mean_s)

    def _account(self, ticket):
        account = self._accounts.get(ticket.account)
        if account is None:
            self._evict_idle_accounts()
            account = _Account(ticket.account, virtual_s=self._virtual_now_s)
            self._accounts[ticket.account] = account
        account.weight = ticket.weight
        return account

    def _evict_idle_accounts(self):
        """Remove idle accounts when there are many.

        Clients choose account names, so memory would grow without limit.
        """
        if len(self._accounts) < _MAX_ACCOUNTS:
            return
        for name in [
            name for name, each in self._accounts.items() if not each.tickets
        ]:
            del self._accounts[name]

    def _count_preceding(self, account):
        """Return the number of waiting requests that go before a new one."""
        position = (len(account.tickets) + 1) / account.weight
        return sum(
            min(len(each.tickets), position * each.weight)
            for each in self._accounts.values()
        )

    def _evict_newest(self, account, rate_per_s):
        """Reject the newest request of the account with the longest queue.

        Queues are compared relative to the weights of their accounts.

        Raises:
            OverloadedError: with the new request, the queue of `account` is
                at least as long; the new request is rejected instead.
        """
        longest = max(
            self._accounts.values(),
            key=lambda each: len(each.tickets) / each.weight,
        )
        share = len(longest.tickets) / longest.weight
        rejection = self._rejection(
            f'queue is full: {self.limit} requests',
            self._length / rate_per_s,
        )
        if (len(account.tickets) + 1) / account.weight >= share:
            raise rejection
        evicted = longest.tickets.pop()
        self._length -= 1
        evicted.fut.set_exception(rejection)

    def _rejection(self, message, retry_after_s):
        if not hasattr(self, 'random_state_'):
            self.random_state_ = checks.check_random_state(self.random_state)
        # Without the spread, clients rejected now would retry all at once.
        retry_after_s = max(_MIN_RETRY_AFTER_S, retry_after_s)
        retry_after_s *= self.random_state_.uniform(1.0, 1.5)
        return errors.OverloadedError(
            message, step='queue', retry_after_s=retry_after_s
        )
