import pytest

from catkinshunt import http1
from catkinshunt.http1 import _budget
from catkinshunt.http1 import base

ROOM = 10 * _budget.CONNECTION_BYTES


class Holder(base.BaseHolder):
    """A connection whose holdings a test sets."""

    holding = base.Holding()
    since = 0.0
    was_aborted = False
    was_reclaimed = False

    def hold(self, budget, size, since=0.0, active=0):
        self.holding = base.Holding(size - active, active)
        self.since = since
        budget.update(self)

    def measure(self):
        return self.holding

    def reclaim(self):
        self.was_reclaimed = True
        self.holding = base.Holding(0, self.holding.active_bytes)

    def abort(self):
        self.was_aborted = True


def open_all(budget, count):
    holders = [Holder() for _ in range(count)]
    for holder in holders:
        budget.open(holder)
    return holders


def test_connection_that_holds_most_for_longest_gives_back():
    """A body that stops short of its end keeps room from other requests."""
    budget = http1.CallerBudget(ROOM, clock=lambda: 10.0)
    stalled, young, small = open_all(budget, 3)
    stalled.hold(budget, ROOM // 2, since=0.0)
    small.hold(budget, 100, since=0.0)
    young.hold(budget, ROOM // 2, since=9.9)
    assert stalled.was_reclaimed
    assert not young.was_reclaimed
    assert not small.was_reclaimed
    assert budget.used_bytes <= ROOM


def test_requests_in_progress_keep_their_memory():
    """A request that an upstream runs would be lost."""
    budget = http1.CallerBudget(ROOM, clock=lambda: 10.0)
    active, incomplete = open_all(budget, 2)
    active.hold(budget, ROOM // 2, active=ROOM // 2)
    incomplete.hold(budget, ROOM // 2, since=9.9)
    assert incomplete.was_reclaimed
    assert not active.was_reclaimed


def test_large_requests_leave_room_for_small_ones():
    """Long bodies in progress would fill the memory."""
    room = 100 * _budget.SMALL_BYTES
    budget = http1.CallerBudget(room, clock=lambda: 10.0)
    (active,) = open_all(budget, 1)
    assert budget.has_room(room // 2)
    active.hold(budget, room // 2, active=room // 2)
    assert not budget.has_room(room // 2)
    assert budget.has_room(_budget.SMALL_BYTES)


def test_closed_connection_takes_no_room():
    """Room of connections that have ended would be lost for good."""
    budget = http1.CallerBudget(ROOM, clock=lambda: 10.0)
    (holder,) = open_all(budget, 1)
    holder.hold(budget, 1000, active=500)
    budget.close(holder)
    budget.update(holder)
    assert (budget.used_bytes, budget.active_bytes) == (0, 0)


@pytest.mark.parametrize('memory_bytes', [300_000_000, 20_000_000])
def test_budget_follows_from_the_machine(memory_bytes):
    """A bound that is not that of the machine bounds nothing."""
    budget = http1.make_caller_budget(memory_bytes, lambda: 0.0)
    assert 0 < budget.memory_bytes <= memory_bytes / 2
