from catkinshunt import quarantine
from catkinshunt.quarantine import _quarantine

SETTLED = quarantine.EVALUATION_DELAY_S + 0.01


def crash(subject, *crashes, at=0.0):
    """Record crashes, each given as a string with a letter per request.

    The letter p stands for a request that crashes its upstream.
    """
    for number, requests in enumerate(crashes):
        subject.record_crash(f'{at}-{number}', list(requests), at)


def evaluate(*crashes):
    subject = quarantine.Quarantine()
    crash(subject, *crashes)
    return subject.evaluate(SETTLED)


def test_request_is_quarantined_after_three_crashes():
    assert evaluate('pa', 'pb') == []
    assert evaluate('pa', 'pb', 'pc') == ['p']


def test_reports_of_one_crash_count_once():
    """Each entry with requests at an upstream reports its crash."""
    subject = quarantine.Quarantine()
    for requests in ('p', 'pa', 'pb'):
        subject.record_crash('one', list(requests), 0.0)
    assert subject.evaluate(SETTLED) == []


def test_request_beside_the_cause_is_not_quarantined():
    """Retries can run at the same upstreams as the cause again."""
    assert evaluate('pa', 'pab', 'pab', 'pab', 'pb') == ['p']


def test_suspects_with_the_same_crashes_run_in_turn():
    """With few upstreams, retries run beside the cause at each crash.

    Without turns, either sound requests would be quarantined with it, or
    none would be.
    """
    subject = quarantine.Quarantine()
    crash(subject, 'pa', 'pa', 'pa')
    assert subject.evaluate(SETTLED) == []
    turn = _quarantine.TURN_S
    seen = [
        tuple(subject.turn_wait_s(request, at * turn) == 0 for request in 'ap')
        for at in (0.1, 0.9, 1.1, 1.9, 2.1)
    ]
    assert seen == [(True, False)] * 2 + [(False, True)] * 2 + [(True, False)]
    assert subject.turn_wait_s('p', 0.25 * turn) == 0.75 * turn
    assert subject.turn_wait_s('a', 1.25 * turn) == 0.75 * turn
    crash(subject, 'p', at=1.5 * turn)
    assert subject.evaluate(1.5 * turn + SETTLED) == ['p']
    assert subject.turn_wait_s('a', 1.5 * turn + SETTLED) == 0


def test_last_suspect_that_does_not_complete_is_quarantined():
    """The others completed during their turns."""
    subject = quarantine.Quarantine()
    crash(subject, 'pab', 'pab', 'pab')
    for request in 'ab':
        assert subject.evaluate(SETTLED) == []
        subject.record_completion(request)
    assert subject.evaluate(SETTLED) == ['p']


def test_inseparable_suspects_are_quarantined_after_five_crashes():
    assert evaluate(*['pa'] * 4) == []
    assert sorted(evaluate(*['pa'] * 5)) == ['a', 'p']


def test_completion_clears_a_suspect():
    """A frequent request is running at almost every crash."""
    subject = quarantine.Quarantine()
    crash(subject, 'a', 'a')
    assert subject.record_completion('a')
    crash(subject, 'a', at=1.0)
    assert subject.evaluate(1.0 + SETTLED) == []


def test_attributed_crash_does_not_count_for_other_suspects():
    subject = quarantine.Quarantine()
    crash(subject, 'pa', 'pa', 'pb')
    assert subject.evaluate(SETTLED) == ['p']
    crash(subject, 'pa', 'pb', at=1.0)
    crash(subject, 'b', at=2.0)
    assert subject.evaluate(2.0 + SETTLED) == []


def test_second_cause_is_quarantined_after_the_first():
    """Otherwise one that causes crashes could hide behind another one."""
    assert 'q' in evaluate('pq', 'pq', 'pq', 'pq', 'p', 'q')


def test_frequent_crashes_do_not_defer_the_evaluation():
    """Crashes more frequent than `EVALUATION_DELAY_S` must not defer evaluation."""
    subject = quarantine.Quarantine()
    for number in range(8):
        subject.record_crash(str(number), ['p'], number * SETTLED / 2)
    assert subject.evaluate(7 * SETTLED / 2) == ['p']


def test_quarantine_and_suspects_expire():
    subject = quarantine.Quarantine()
    crash(subject, 'p', 'p', 'p', 'a')
    subject.evaluate(SETTLED)
    end = SETTLED + quarantine.QUARANTINE_S
    assert subject.remaining_s('p', end - 1.0) == 1.0
    assert subject.remaining_s('p', end) == 0.0
    subject.expire(end)
    assert subject.is_idle


def test_memory_is_bounded(monkeypatch):
    """Many upstreams can crash with thousands of requests."""
    for name in ('MAX_SUSPECTS', 'MAX_CRASH_RECORDS', 'MAX_QUARANTINED'):
        monkeypatch.setattr(_quarantine, name, 10)
    monkeypatch.setattr(_quarantine, 'MAX_CRASH_REQUESTS', 5)
    subject = quarantine.Quarantine()
    for number in range(50):
        subject.record_crash(
            str(number), [f'{number}-{n}' for n in range(9)], 0.0
        )
        subject.add(str(number), 5.0, 0.0)
    assert len(subject._suspects) == len(subject._crashes) == 10
    assert len(subject._quarantined) == 10
    assert max(map(len, subject._crashes.values())) == 5
