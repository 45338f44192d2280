"""Tests of the fair queue."""

import collections

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from catkinshunt import errors
from catkinshunt import limits

RATE = 10.0
SERVICE_S = 0.1


def offer(queue, account, now=0.0, deadline=100.0, **fields):
    ticket = limits.Ticket('', account, deadline, **fields)
    queue.push(ticket, RATE, SERVICE_S, now)
    return ticket


def run_next(queue):
    ticket = queue.pop(0.0)
    queue.begin(ticket, SERVICE_S)
    queue.finish(ticket, SERVICE_S)
    return ticket.account


def test_flood_of_one_account_does_not_delay_another():
    """One account sends far more requests than its share at once.

    In one queue the request of another account would wait behind all of them.
    """
    queue = limits.FairQueue(100, random_state=0)
    for _ in range(60):
        offer(queue, 'large')
    offer(queue, 'small')
    assert 'small' in [run_next(queue) for _ in range(2)]


def test_weights_share_the_time():
    queue = limits.FairQueue(100, random_state=0)
    for _ in range(40):
        offer(queue, 'a', weight=3.0)
        offer(queue, 'b', weight=1.0)
    taken = collections.Counter(run_next(queue) for _ in range(40))
    assert taken['a'] == pytest.approx(30, abs=2)


def test_idle_account_accumulates_no_credit():
    queue = limits.FairQueue(100, random_state=0)
    for _ in range(50):
        offer(queue, 'a')
        run_next(queue)
    for _ in range(20):
        offer(queue, 'a')
        offer(queue, 'b')
    taken = collections.Counter(run_next(queue) for _ in range(20))
    assert taken['b'] <= 12


def test_request_that_would_be_late_is_rejected_at_once():
    """More requests wait than can be served before the deadline.

    A queued request would be rejected in any case, but later.
    """
    queue = limits.FairQueue(100, random_state=0)
    for _ in range(10):
        offer(queue, 'a', deadline=1.15)
    with pytest.raises(errors.OverloadedError) as caught:
        offer(queue, 'a', deadline=1.05)
    assert caught.value.ran == 'no'
    assert caught.value.retry_after_s > 0
    assert len(queue) == 10
    offer(queue, 'b', deadline=1.05)


def test_full_queue_evicts_the_newest_of_the_longest_queue():
    """The queue is full of requests of one account when another sends one.

    The newest request of the large account is rejected as not run, and the
    request of the small account is queued.
    """
    queue = limits.FairQueue(4, random_state=0)
    tickets = [offer(queue, 'large') for _ in range(4)]
    offer(queue, 'small')
    rejection = tickets[-1].fut.exception(0)
    assert isinstance(rejection, errors.OverloadedError)
    assert rejection.ran == 'no'
    assert not any(ticket.fut.done() for ticket in tickets[:-1])
    with pytest.raises(errors.OverloadedError):
        offer(queue, 'large')


def test_idle_accounts_are_evicted():
    """A client uses a new account name for each request.

    If all were kept, memory would grow until the process is killed.
    """
    queue = limits.FairQueue(random_state=0)
    for i in range(5000):
        offer(queue, f'a{i}')
        run_next(queue)
    assert len(queue._accounts) <= 1025


@settings(derandomize=True, database=None, max_examples=60)
@given(st.lists(st.sampled_from(['a', 'b', 'c', 'take', 'drop'])))
def test_no_request_is_lost(steps):
    queue = limits.FairQueue(5, random_state=0)
    waiting, taken = [], []
    for step in steps:
        if step == 'take':
            ticket = queue.pop(0.0)
            if ticket is not None:
                taken.append(ticket)
        elif step == 'drop' and waiting:
            queue.remove(waiting.pop())
        elif step in ('a', 'b', 'c'):
            ticket = limits.Ticket('', step, 100.0)
            try:
                queue.push(ticket, RATE, SERVICE_S, 0.0)
                waiting.append(ticket)
            except errors.OverloadedError:
                continue
        waiting = [
            each
            for each in waiting
            if each not in taken and not each.fut.done()
        ]
        assert len(queue) == len(waiting) <= 5
