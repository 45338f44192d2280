import math

import pytest

from standins import rate_rule

CONTACT_S = 3.0


def history(statements, times, told_at=None, entries=('e1', 'e2')):
    """Return a history in which entries take turns and know the limit."""
    found = rate_rule.UpstreamHistory()
    found.statements = [rate_rule.Statement(*row) for row in statements]
    first = statements[0][0] if told_at is None else told_at
    found.told = [rate_rule.Arrival(first, entry) for entry in entries]
    found.arrivals = [
        rate_rule.Arrival(at, entries[number % len(entries)])
        for number, at in enumerate(times)
    ]
    return found


def steady(per_s, begin, end):
    """Return times of a steady stream of requests."""
    count = int((end - begin) * per_s)
    return [begin + (number + 0.5) / per_s for number in range(count)]


def test_requests_of_all_entries_are_counted_together():
    """Each entry alone keeps the limit; the sum does not."""
    found = history([(0.0, 1.0)], steady(3.0, 0.0, 20.0))
    excess = found.find_excess(CONTACT_S)
    assert len(excess) == 1
    assert (excess[0].count, excess[0].allowed) == (12, 11.0)
    alone = [a for a in found.arrivals if a.entry == 'e1']
    found.arrivals = alone
    assert found.find_excess(CONTACT_S) == []


def test_window_reaches_back_beyond_the_time_to_learn_of_it():
    """The users' record has an excess 3 s after the limit was stated."""
    times = steady(8.0, 0.5, 3.2)
    found = history([(0.0, 1.8)], times)
    assert found.find_excess(CONTACT_S)[0].at >= CONTACT_S


def test_entries_that_do_not_know_the_limit_are_not_counted():
    found = history([(0.0, 1.0)], steady(5.0, 0.0, 9.0), told_at=8.9)
    assert found.find_excess(CONTACT_S) == []


def test_excused_entries_are_not_counted():
    found = history([(0.0, 1.0)], steady(3.0, 0.0, 20.0))
    assert found.find_excess(CONTACT_S, lambda entry, at: entry == 'e1') == []


@pytest.mark.parametrize(
    ('statements', 'rate', 'is_kept'),
    [
        ([(0.0, 4.0), (10.0, 1.0)], [(4.0, 0, 10.5), (1.0, 10.5, 30)], True),
        ([(0.0, 4.0), (10.0, 1.0)], [(4.0, 0, 30)], False),
        ([(0.0, 1.0), (10.0, 4.0)], [(1.0, 0, 10), (5.0, 10, 30)], True),
        ([(0.0, 1.0), (10.0, math.inf)], [(1.0, 0, 10), (9.0, 10, 30)], True),
        (
            [(0.0, 1.0), (10.0, math.inf), (15.0, 1.0)],
            [(1.0, 0, 10), (9.0, 10, 30)],
            False,
        ),
        ([(0.0, 0.25)], [(0.25, 0, 30)], True),
        ([(0.0, 0.25)], [(2.0, 0, 30)], False),
    ],
)
def test_limits_that_fall_rise_and_end(statements, rate, is_kept):
    times = [t for row in rate for t in steady(*row)]
    found = history(statements, times)
    if len(statements) == 3:
        found.told += [rate_rule.Arrival(15.0, e) for e in ('e1', 'e2')]
    assert (found.find_excess(CONTACT_S) == []) == is_kept
