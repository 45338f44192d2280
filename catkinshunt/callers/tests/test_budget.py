import pytest

from catkinshunt import callers

ROOM = 10 * callers.CONNECTION_BYTES


class Holder(callers.BaseHolder):
    """A connection whose holdings a test sets."""

    holding = callers.Holding()
    peer = '10.0.0.1'
    is_unused = True
    may_close = True
    was_aborted = False
    measured = 0
    was_reclaimed = False

    def hold(self, budget, size, since=0.0, active=0):
        self.holding = callers.Holding(size - active, active)
        self.holding_since = since
        self.is_unused = False
        budget.update(self, now=10.0)

    def measure(self):
        self.measured += 1
        return self.holding

    def reclaim(self):
        self.was_reclaimed = True
        self.holding = callers.Holding(0, self.holding.active_bytes)

    def abort(self):
        self.was_aborted = True


def open_all(budget, count):
    holders = [Holder() for _ in range(count)]
    assert all(budget.open(holder) for holder in holders)
    return holders


def test_connection_that_holds_most_for_longest_gives_back():
    """A body that stops short of its end keeps room from other requests."""
    budget = callers.CallerBudget(ROOM)
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
    budget = callers.CallerBudget(ROOM)
    active, incomplete = open_all(budget, 2)
    active.hold(budget, ROOM // 2, active=ROOM // 2)
    incomplete.hold(budget, ROOM // 2, since=9.9)
    assert incomplete.was_reclaimed
    assert not active.was_reclaimed


def test_large_requests_leave_room_for_small_ones():
    """Long bodies in progress would fill the memory."""
    room = 100 * callers.SMALL_BYTES
    budget = callers.CallerBudget(room)
    (active,) = open_all(budget, 1)
    assert budget.has_room(active, room // 2)
    active.hold(budget, room // 2, active=room // 2)
    assert not budget.has_room(active, room // 2)
    assert budget.has_room(active, callers.SMALL_BYTES)


def test_small_requests_in_progress_have_a_bound_too():
    """Thousands of them would take more than the machine has."""
    room = 100 * callers.SMALL_BYTES
    budget = callers.CallerBudget(room)
    (active,) = open_all(budget, 1)
    size = room - callers.SMALL_BYTES // 2
    active.hold(budget, size, active=size)
    assert not budget.has_room(active, callers.SMALL_BYTES)


def test_memory_in_progress_is_not_searched_for_each_report():
    """A look at all connections for each read would stop the event loop."""
    budget = callers.CallerBudget(ROOM)
    holders = open_all(budget, 2)
    for holder in holders:
        holder.hold(budget, ROOM, active=ROOM)
    holders[0].measured = 0
    for _ in range(100):
        budget.update(holders[1], now=10.0)
    assert holders[0].measured == 0
    budget.update(holders[1], now=11.0)
    assert holders[0].measured == 1


def test_idle_connection_makes_place_for_a_new_one():
    """Idle connections would take all sockets of a process."""
    reasons = []
    budget = callers.CallerBudget(
        connections=3, on_refused=lambda *args: reasons.append(args)
    )
    new, oldest, busy = open_all(budget, 3)
    new.idle_since, oldest.idle_since, busy.idle_since = 9.0, 1.0, 0.0
    busy.is_unused = busy.may_close = False
    assert budget.open(Holder())
    assert [h.was_aborted for h in (new, oldest, busy)] == [False, True, False]
    assert reasons == [('connections', '10.0.0.1')]


def test_new_connection_is_refused_if_all_others_are_in_progress():
    """A connection that is closed for it would lose its request."""
    budget = callers.CallerBudget(connections=2)
    holders = open_all(budget, 2)
    for holder in holders:
        holder.may_close = False
    assert not budget.open(Holder())
    assert not any(holder.was_aborted for holder in holders)


def test_closed_connection_takes_no_room():
    """Room of connections that have ended would be lost for good."""
    budget = callers.CallerBudget(ROOM)
    (holder,) = open_all(budget, 1)
    holder.hold(budget, 1000, active=500)
    budget.close(holder)
    budget.update(holder, now=10.0)
    found = (budget.used_bytes, budget.active_bytes, budget.open_connections)
    assert found == (0, 0, 0)


@pytest.mark.parametrize(
    ('memory_bytes', 'descriptors'),
    [(300_000_000, 4200), (168_000_000, 1124), (20_000_000, 100)],
)
def test_budget_follows_from_the_machine(memory_bytes, descriptors):
    """A bound that is not that of the machine bounds nothing."""
    budget = callers.make_caller_budget(memory_bytes, descriptors)
    assert 0 < budget.memory_bytes <= memory_bytes / 2
    assert 1 <= budget.connections <= max(1, descriptors / 2)
