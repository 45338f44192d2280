"""Fair queues for accounts, bounded by deadlines."""

import collections

import attrs

from catkinshunt import checks
from catkinshunt import errors
from catkinshunt.limits import base

#: Weight of the newest service time in an account's mean.
_NEWEST_WEIGHT = 0.2
#: Accounts without waiting requests that are remembered.
_MAX_IDLE_ACCOUNTS = 1024
#: Shortest hint when to come back, in seconds.
_MIN_RETRY_AFTER_S = 0.05


@attrs.define
class _Account:
    name: str
    weight: float = 1.0
    #: Service time used, over the weight: the smallest is next.
    virtual_s: float = 0.0
    mean_s: float = 0.0
    #: Mean time between starts since the account has had waiting requests.
    interval_s: float = 0.0
    started_at: float | None = None
    tickets: collections.deque = attrs.field(factory=collections.deque)


class FairQueue(base.BaseQueue):
    """Gives each account its share of the service time.

    Of the accounts with waiting requests, the one that has used the least
    service time for its weight is next; one that was idle starts level with
    the others and saves nothing up. A request joins only if those that go
    before it leave time to do it before its deadline, so the length is
    bounded by deadlines, and refusals come at once.

    Args:
        limit: most requests that wait, whatever their deadlines.
        random_state: seed or `random.Random`; spreads the times at which
            refused callers come back.

    Examples:
        >>> queue = FairQueue(random_state=0)
        >>> for account in ('big', 'big', 'big', 'small'):
        ...     ticket = base.Ticket('', account, deadline=9.0)
        ...     queue.offer(ticket, 10.0, 0.1, now=0.0)
        >>> taken = []
        >>> for _ in range(4):
        ...     ticket = queue.choose(0.0)
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
        #: Service time that the last account to start had used.
        self._virtual_now_s = 0.0

    def __len__(self):
        return self._length

    def offer(self, ticket, rate_per_s, service_s, now):
        """Take a request in, or refuse it or the heaviest account's newest.

        Raises:
            OverloadedError: no time before the deadline, or no room.
        """
        checks.check_positive(ticket.weight, 'weight')
        account = self._account(ticket)
        # Accounts whose requests come later may still go before it; how fast
        # its account got through of late tells how many.
        wait_s = max(
            self._count_preceding(account) / rate_per_s,
            (len(account.tickets) + 1) * account.interval_s,
        )
        late_s = now + wait_s + service_s - ticket.deadline
        if late_s > 0:
            raise self._rejection('no time before the deadline', late_s)
        if self._length >= self.limit:
            self._evict_newest(account, rate_per_s)
        if not account.tickets:
            account.virtual_s = max(account.virtual_s, self._virtual_now_s)
            account.interval_s, account.started_at = 0.0, None
        account.tickets.append(ticket)
        self._length += 1

    def choose(self, now):
        """Return the first request of the account that used the least."""
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
        """Drop a waiting request."""
        account = self._accounts.get(ticket.account)
        if account is None or ticket not in account.tickets:
            return False
        account.tickets.remove(ticket)
        self._length -= 1
        return True

    def begin(self, ticket, service_s):
        """Charge an account for a request that starts.

        Charging only at the end would let an account start many long ones
        at once before any of them counts.
        """
        account = self._account(ticket)
        if not self._length:
            account.virtual_s = max(account.virtual_s, self._virtual_now_s)
        ticket.cost_s = account.mean_s or service_s
        account.virtual_s += ticket.cost_s / account.weight

    def observe(self, ticket, took_s):
        """Correct the charge by how long the request took."""
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
        """Drop idle accounts when there are many.

        Callers choose account names; each name would stay for ever, and the
        operators would see the memory grow.
        """
        if len(self._accounts) < _MAX_IDLE_ACCOUNTS:
            return
        for name in [
            name for name, each in self._accounts.items() if not each.tickets
        ]:
            del self._accounts[name]

    def _count_preceding(self, account):
        """Return how many waiting requests a new one would wait for."""
        place = (len(account.tickets) + 1) / account.weight
        return sum(
            min(len(each.tickets), place * each.weight)
            for each in self._accounts.values()
        )

    def _evict_newest(self, account, rate_per_s):
        """Refuse the newest request of the account with the most waiting."""
        heaviest = max(
            self._accounts.values(),
            key=lambda each: len(each.tickets) / each.weight,
        )
        share = len(heaviest.tickets) / heaviest.weight
        rejection = self._rejection('queue is full', self._length / rate_per_s)
        if (len(account.tickets) + 1) / account.weight >= share:
            raise rejection
        evicted = heaviest.tickets.pop()
        self._length -= 1
        evicted.fut.set_exception(rejection)

    def _rejection(self, message, retry_after_s):
        if not hasattr(self, 'random_state_'):
            self.random_state_ = checks.check_random_state(self.random_state)
        # All who are refused now would come back at the same moment.
        retry_after_s = max(_MIN_RETRY_AFTER_S, retry_after_s)
        retry_after_s *= self.random_state_.uniform(1.0, 1.5)
        return errors.OverloadedError(
            message, step='queue', retry_after_s=retry_after_s
        )
