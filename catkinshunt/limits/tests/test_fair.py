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
    queue.offer(ticket, RATE, SERVICE_S, now)
    return ticket


def take(queue):
    ticket = queue.choose(0.0)
    queue.begin(ticket, SERVICE_S)
    queue.observe(ticket, SERVICE_S)
    return ticket.account


def test_small_account_is_not_held_up_by_a_flood():
    """A large account sends far more than its share at once.

    Without fair queues a member's one request would wait behind all of them.
    """
    queue = limits.FairQueue(100, random_state=0)
    for _ in range(60):
        offer(queue, 'large')
    offer(queue, 'small')
    assert 'small' in [take(queue) for _ in range(2)]


def test_weights_share_the_time():
    queue = limits.FairQueue(100, random_state=0)
    for _ in range(40):
        offer(queue, 'a', weight=3.0)
        offer(queue, 'b', weight=1.0)
    taken = collections.Counter(take(queue) for _ in range(40))
    assert taken['a'] == pytest.approx(30, abs=2)


def test_idle_account_saves_nothing_up():
    queue = limits.FairQueue(100, random_state=0)
    for _ in range(50):
        offer(queue, 'a')
        take(queue)
    for _ in range(20):
        offer(queue, 'a')
        offer(queue, 'b')
    taken = collections.Counter(take(queue) for _ in range(20))
    assert taken['b'] <= 12


def test_refused_at_once_when_too_late():
    """More requests wait than can be done before the deadline.

    Taking the request in would let the caller wait for a certain refusal.
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


def test_full_queue_refuses_the_heaviest_newest():
    """The queue is full of one account's requests and another asks.

    The newest of the large account gets its refusal at once, as not run, and
    the small account's caller is served in turn.
    """
    queue = limits.FairQueue(4, random_state=0)
    tickets = [offer(queue, 'large') for _ in range(4)]
    offer(queue, 'small')
    refusal = tickets[-1].fut.exception(0)
    assert isinstance(refusal, errors.OverloadedError)
    assert refusal.ran == 'no'
    assert not any(ticket.fut.done() for ticket in tickets[:-1])
    with pytest.raises(errors.OverloadedError):
        offer(queue, 'large')


def test_many_account_names_do_not_stay():
    """A caller makes up an account name for each request.

    Each name kept for ever would make the process grow until it is killed.
    """
    queue = limits.FairQueue(random_state=0)
    for i in range(5000):
        offer(queue, f'a{i}')
        take(queue)
    assert len(queue._accounts) <= 1025


@settings(derandomize=True, database=None, max_examples=60)
@given(st.lists(st.sampled_from(['a', 'b', 'c', 'take', 'drop'])))
def test_nothing_is_lost(steps):
    queue = limits.FairQueue(5, random_state=0)
    waiting, taken = [], []
    for step in steps:
        if step == 'take':
            ticket = queue.choose(0.0)
            if ticket is not None:
                taken.append(ticket)
        elif step == 'drop' and waiting:
            queue.remove(waiting.pop())
        elif step in ('a', 'b', 'c'):
            ticket = limits.Ticket('', step, 100.0)
            try:
                queue.offer(ticket, RATE, SERVICE_S, 0.0)
                waiting.append(ticket)
            except errors.OverloadedError:
                continue
        waiting = [
            each
            for each in waiting
            if each not in taken and not each.fut.done()
        ]
        assert len(queue) == len(waiting) <= 5
