from catkinshunt import quarantine
from catkinshunt.quarantine import _quarantine

SETTLED = quarantine.SETTLE_S + 0.01


def crash(held, *crashes, at=0.0):
    """Note crashes, each a text with a letter for each request there.

    The letter p stands for a request that crashes its upstream.
    """
    for number, requests in enumerate(crashes):
        held.note_crash(f'{at}-{number}', list(requests), at)


def judge(*crashes):
    held = quarantine.Quarantine()
    crash(held, *crashes)
    return held.judge(SETTLED)


def test_a_request_is_barred_after_three_crashes():
    assert judge('pa', 'pb') == []
    assert judge('pa', 'pb', 'pc') == ['p']


def test_reports_of_one_crash_count_once():
    """Each entry that had requests at an upstream reports its crash."""
    held = quarantine.Quarantine()
    for requests in ('p', 'pa', 'pb'):
        held.note_crash('one', list(requests), 0.0)
    assert held.judge(SETTLED) == []


def test_what_was_only_beside_the_crashes_is_not_barred():
    """Retries of the same caller can be beside the offender again."""
    assert judge('pa', 'pab', 'pab', 'pab', 'pb') == ['p']


def test_two_that_were_at_the_same_crashes_run_by_turns():
    """With few upstreams all retries are beside the offender each time.

    Sound requests would be barred with it, or it would not be barred.
    """
    held = quarantine.Quarantine()
    crash(held, 'pa', 'pa', 'pa')
    assert held.judge(SETTLED) == []
    turn = _quarantine.TURN_S
    seen = [
        tuple(held.turn_s(request, at * turn) == 0 for request in 'ap')
        for at in (0.1, 0.9, 1.1, 1.9, 2.1)
    ]
    assert seen == [(True, False)] * 2 + [(False, True)] * 2 + [(True, False)]
    assert held.turn_s('p', 0.25 * turn) == 0.75 * turn
    assert held.turn_s('a', 1.25 * turn) == 0.75 * turn
    crash(held, 'p', at=1.5 * turn)
    assert held.judge(1.5 * turn + SETTLED) == ['p']
    assert held.turn_s('a', 1.5 * turn + SETTLED) == 0


def test_the_last_of_those_that_run_by_turns_is_barred():
    """The others have run to their ends when it was their turn."""
    held = quarantine.Quarantine()
    crash(held, 'pab', 'pab', 'pab')
    for request in 'ab':
        assert held.judge(SETTLED) == []
        held.note_completion(request)
    assert held.judge(SETTLED) == ['p']


def test_two_that_are_always_together_are_barred_in_the_end():
    assert judge(*['pa'] * 4) == []
    assert sorted(judge(*['pa'] * 5)) == ['a', 'p']


def test_a_request_that_ran_to_its_end_is_cleared():
    """A popular request is there whenever an upstream crashes."""
    held = quarantine.Quarantine()
    crash(held, 'a', 'a')
    assert held.note_completion('a')
    crash(held, 'a', at=1.0)
    assert held.judge(1.0 + SETTLED) == []


def test_a_crash_that_is_explained_is_held_against_nobody():
    held = quarantine.Quarantine()
    crash(held, 'pa', 'pa', 'pb')
    assert held.judge(SETTLED) == ['p']
    crash(held, 'pa', 'pb', at=1.0)
    crash(held, 'b', at=2.0)
    assert held.judge(2.0 + SETTLED) == []


def test_an_explained_request_that_goes_on_crashing_is_barred():
    """Else one that crashes upstreams could hide behind another one."""
    assert 'q' in judge('pq', 'pq', 'pq', 'pq', 'p', 'q')


def test_a_request_that_crashes_often_is_judged_all_the_same():
    """News that come faster than the time to settle put nothing off."""
    held = quarantine.Quarantine()
    for number in range(8):
        held.note_crash(str(number), ['p'], number * SETTLED / 2)
    assert held.judge(7 * SETTLED / 2) == ['p']


def test_a_bar_ends_and_what_was_held_is_forgotten():
    held = quarantine.Quarantine()
    crash(held, 'p', 'p', 'p', 'a')
    held.judge(SETTLED)
    end = SETTLED + quarantine.QUARANTINE_S
    assert held.remaining_s('p', end - 1.0) == 1.0
    assert held.remaining_s('p', end) == 0.0
    held.forget(end)
    assert held.is_idle


def test_memory_is_bounded(monkeypatch):
    """Crashes of many upstreams come with thousands of requests."""
    for name in ('MOST_SUSPECTS', 'MOST_REMEMBERED', 'MOST_BARRED'):
        monkeypatch.setattr(_quarantine, name, 10)
    monkeypatch.setattr(_quarantine, 'MOST_IN_CRASH', 5)
    held = quarantine.Quarantine()
    for number in range(50):
        held.note_crash(str(number), [f'{number}-{n}' for n in range(9)], 0.0)
        held.add(str(number), 5.0, 0.0)
    assert len(held._suspects) == len(held._crashes) == 10
    assert len(held._barred) == 10
    assert max(map(len, held._crashes.values())) == 5
