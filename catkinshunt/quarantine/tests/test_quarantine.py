import loguru

from catkinshunt import quarantine
from catkinshunt.quarantine import _quarantine

SETTLED = quarantine.EVALUATION_DELAY_S + 0.01
#: Upstreams of the service.
SIZE = 9
#: Seconds from the begin of its run to the crash, of a request that causes
#: it and of others.
CAUSE_RUN_S, OTHER_RUN_S = 0.1, 0.8
LATER = 20.0


def crash(subject, *crashes, at=0.0, size=SIZE):
    """Record crashes, each given as a string with a letter per request.

    The letters p, q and r stand for requests that crash their upstreams.
    """
    for number, requests in enumerate(crashes):
        run_s = {
            request: CAUSE_RUN_S if request in 'pqr' else OTHER_RUN_S
            for request in requests
        }
        subject.record_crash(f'{at}-{number}', run_s, size, at, at)


def complete(subject, requests):
    for request in requests:
        subject.record_completion(request)


def evaluate(*crashes, completed='', size=SIZE):
    subject = quarantine.Quarantine()
    crash(subject, *crashes, size=size)
    complete(subject, completed)
    return subject.evaluate(SETTLED)


def test_request_is_quarantined_after_three_crashes():
    assert evaluate('pa', 'pb', completed='ab') == []
    assert evaluate('pa', 'pb', 'pc', completed='abc') == ['p']


def test_request_is_stopped_until_others_beside_it_have_completed():
    """Any of the requests at a crash may be the cause until it completes."""
    subject = quarantine.Quarantine()
    crash(subject, 'pa', 'pb', 'pc')
    assert subject.evaluate(SETTLED) == []
    for request in 'abc':
        assert subject.pause_s(request, SETTLED) == 0
    for at in (0.0, 3.0, 9.0, _quarantine.MAX_PAUSE_S):
        assert 0 < subject.pause_s('p', at) <= _quarantine.MAX_WAIT_S
    complete(subject, 'ab')
    assert subject.evaluate(SETTLED) == []
    complete(subject, 'c')
    assert subject.evaluate(SETTLED) == ['p']


def test_others_that_never_return_do_not_excuse_a_request():
    """Their callers have left, so they complete no more."""
    subject = quarantine.Quarantine()
    crash(subject, 'pa', 'pb', 'pc')
    end = _quarantine.MAX_PAUSE_S
    assert subject.has_pending(end)
    assert subject.evaluate(end - 0.01) == []
    assert subject.evaluate(end) == ['p']


def test_crashes_without_a_paused_request_are_no_evidence_against_it():
    """Several causes at once: one was each time beside another of them."""
    subject = quarantine.Quarantine()
    crash(subject, 'pa', 'qa', 'ra')
    crash(subject, 'p', at=4.0)
    assert subject.evaluate(LATER) == []
    assert subject.pause_s('a', LATER) == 0


def test_request_at_crashes_with_several_causes_is_not_quarantined():
    """With two upstreams, retries run beside each other at every crash."""
    subject = quarantine.Quarantine()
    for number in range(6):
        crash(subject, 'pqabc', 'pqabc', at=2.0 * number)
    assert subject.evaluate(2.0 * 5 + SETTLED) == []
    for number in range(4):
        crash(subject, 'p', at=30.0 + 4.0 * number)
        complete(subject, 'abc')
    assert subject.evaluate(50.0) == ['p']


def test_crashes_late_in_long_runs_are_weaker_evidence():
    """Upstreams that lose power end requests at any point of their runs."""
    assert evaluate('p', 'p', 'p') == ['p']
    subject = quarantine.Quarantine()
    for number in range(4):
        subject.record_crash(f'u{number}', {'a': 2.5}, 2, 0.0, 0.0)
    assert subject.evaluate(SETTLED) == []


def test_request_that_crashes_upstreams_after_a_long_time_is_found():
    subject = quarantine.Quarantine()
    found = []
    for number in range(8):
        at = 10.0 * number
        subject.record_crash('u', {'p': 9.0}, SIZE, at, at)
        found += subject.evaluate(at + SETTLED)
    assert found == ['p']


def test_one_more_crash_is_needed_with_few_upstreams():
    """All of them may lose power within the retries of one request."""
    for run_s in (0.3, 0.6):
        subject = quarantine.Quarantine()
        for number in range(3):
            subject.record_crash(f'u{number}', {'p': run_s}, 2, 0.0, 0.0)
        assert subject.evaluate(SETTLED) == []
        subject.record_crash('u3', {'p': run_s}, 2, 0.0, 0.0)
        assert subject.evaluate(SETTLED) == ['p']


def test_one_more_crash_is_needed_after_crashes_for_other_reasons():
    subject = quarantine.Quarantine()
    crash(subject, 'ab')
    complete(subject, 'ab')
    crash(subject, 'p', 'p', 'p', at=1.0)
    assert subject.evaluate(1.0 + SETTLED) == []
    crash(subject, 'p', at=5.0)
    assert subject.evaluate(5.0 + SETTLED) == ['p']


def test_reports_of_one_crash_count_once():
    """Each entry with requests at an upstream reports its crash."""
    subject = quarantine.Quarantine()
    for number, requests in enumerate(('p', 'pa', 'pb')):
        run_s = dict.fromkeys(requests, CAUSE_RUN_S)
        at = 0.4 * number
        subject.record_crash('one', run_s, SIZE, at, at)
    complete(subject, 'ab')
    assert subject.evaluate(LATER) == []
    assert not subject.is_isolated('p')


def test_crashes_of_an_upstream_that_starts_again_count_each():
    subject = quarantine.Quarantine()
    for number in range(3):
        at = 2.0 * number
        subject.record_crash('one', {'p': CAUSE_RUN_S}, SIZE, at, at)
    assert subject.evaluate(4.0 + SETTLED) == ['p']


def test_request_beside_the_cause_is_not_quarantined():
    """Retries can run at the same upstreams as the cause again."""
    crashes = ('pa', 'pab', 'pab', 'pab', 'pb')
    assert evaluate(*crashes) == []
    assert evaluate(*crashes, completed='ab') == ['p']
    subject = quarantine.Quarantine()
    crash(subject, *crashes)
    assert subject.evaluate(LATER) == ['p']


def test_most_suspected_requests_are_paused():
    """The others run first; a completion clears them."""
    subject = quarantine.Quarantine()
    crash(subject, 'pab', 'pab', 'pab')
    assert subject.pause_s('p', SETTLED) > 0
    assert subject.pause_s('a', SETTLED) == 0
    assert subject.pause_s('p', _quarantine.PAUSE_S) == 0


def test_suspects_with_the_same_crashes_run_in_turn():
    """Without sidecars that keep them apart, they crash together again."""
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
    complete(subject, 'a')
    assert subject.evaluate(1.5 * turn) == ['p']


def test_last_suspect_that_does_not_complete_is_quarantined():
    """The others completed while it was paused."""
    subject = quarantine.Quarantine()
    crash(subject, 'pab', 'pab', 'pab')
    for request in 'ab':
        assert subject.evaluate(SETTLED) == []
        subject.record_completion(request)
    assert subject.evaluate(SETTLED) == ['p']


def test_inseparable_suspects_are_not_quarantined():
    """Coincidence is no proof: only one of them may be the cause."""
    assert evaluate(*['pa'] * 9) == []
    subject = quarantine.Quarantine()
    crash(subject, *['pa'] * 9)
    assert subject.evaluate(LATER) == []


def test_suspects_run_apart_from_the_second_crash_on():
    subject = quarantine.Quarantine()
    crash(subject, 'pa', 'p')
    assert subject.is_isolated('p')
    assert subject.is_suspect('a')
    assert not subject.is_isolated('a')


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
    complete(subject, 'ab')
    assert subject.evaluate(SETTLED) == ['p']
    crash(subject, 'pa', 'pb', at=1.0)
    crash(subject, 'b', 'b', at=2.0)
    assert subject.evaluate(2.0 + SETTLED) == []


def test_second_cause_is_quarantined_after_the_first():
    """Otherwise one that causes crashes could hide behind another one."""
    subject = quarantine.Quarantine()
    crash(subject, 'pq', 'pq', 'pq', 'pq')
    crash(subject, 'p', 'p', 'p', at=1.0)
    crash(subject, 'q', 'q', 'q', at=1.5)
    assert sorted(subject.evaluate(1.5 + SETTLED)) == ['p', 'q']


def test_frequent_crashes_do_not_defer_the_evaluation():
    """Crashes at shorter intervals than the delay must not defer it."""
    subject = quarantine.Quarantine()
    for number in range(8):
        at = number * SETTLED / 2
        subject.record_crash(str(number), {'p': CAUSE_RUN_S}, SIZE, at, at)
    assert subject.evaluate(7 * SETTLED / 2) == ['p']


def test_cleared_requests_are_known_by_their_crash():
    """An entry that missed a completion is told of it."""
    subject = quarantine.Quarantine()
    crash(subject, 'pa')
    assert subject.find_cleared('0.0-0', 'pa', 0.5) == []
    complete(subject, 'a')
    assert subject.find_cleared('0.0-0', 'pa', 0.5) == ['a']
    assert subject.find_cleared('0.0-0', 'pa', 5.0) == []
    crash(subject, 'a', at=1.0)
    assert subject.find_cleared('0.0-0', 'pa', 0.5) == []


def test_only_crashes_with_isolated_suspects_are_unresolved():
    subject = quarantine.Quarantine()
    crash(subject, 'a', 'pb')
    assert subject.unresolved_crashes() == []
    crash(subject, 'p', at=1.0)
    complete(subject, 'b')
    found = [
        (each.upstream, sorted(run_s))
        for each, run_s in subject.unresolved_crashes()
    ]
    assert found == [('0.0-1', ['p']), ('1.0-0', ['p'])]


def test_quarantine_and_suspects_expire():
    subject = quarantine.Quarantine()
    crash(subject, 'p', 'p', 'p', 'a')
    complete(subject, 'a')
    crash(subject, 'p', 'a', at=1.0)
    subject.evaluate(1.0 + SETTLED)
    end = 1.0 + SETTLED + quarantine.QUARANTINE_S
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
        run_s = {f'{number}-{n}': 0.1 for n in range(9)}
        subject.record_crash(str(number), {**run_s, 'p': 0.1}, 2, 0.0, 0.0)
        subject.add(str(number), 5.0, 0.0)
    assert len(subject._suspects) == len(subject._crashes) == 10
    assert len(subject._quarantined) == 10
    assert max(len(each.run_s) for each in subject._crashes) == 5
    assert all(len(s.crashes) <= 10 for s in subject._suspects.values())


def crash_prompts(subject, *crashes, at=0.0, run_s=CAUSE_RUN_S):
    """Record crashes, each given as strings of a request and its parts.

    The first letter stands for the request, the others for its parts.
    """
    for number, requests in enumerate(crashes):
        found = requests.split()
        subject.record_crash(
            f'{at}-{number}',
            {request[0]: run_s for request in found},
            SIZE,
            at,
            at,
            {request[0]: tuple(request[1:]) for request in found},
        )


def traits(text):
    return quarantine.Traits(text[0], tuple(text[1:]))


def test_part_of_requests_that_are_never_alike_is_quarantined():
    """Each of them was at one crash, and excused their common part."""
    subject = quarantine.Quarantine()
    crash_prompts(subject, '1ax', '2ax', '3ax', '4ax')
    complete(subject, 'a')
    crash_prompts(subject, '5x', at=3.0)
    assert subject.evaluate(3.0 + SETTLED) == []
    assert subject.find_held(traits('6x')) == ['x']
    crash_prompts(subject, '6x', at=12.0)
    assert subject.evaluate(12.0 + SETTLED) == ['x']


def test_part_is_quarantined_only_after_crashes_on_trial():
    """Engines that lost power together were all running a common part."""
    subject = quarantine.Quarantine()
    crash_prompts(subject, *(f'{number}x' for number in range(8)))
    assert subject.evaluate(SETTLED) == []
    assert subject.find_held(traits('9x')) == ['x']
    complete(subject, 'x')
    assert subject.find_held(traits('9x')) == []
    assert subject.evaluate(LATER) == []


def test_one_request_at_a_time_runs_on_trial_of_a_part():
    """All that waited ran at once, and each ended an engine."""
    subject = quarantine.Quarantine()
    crash_prompts(subject, '1x', '2x', '3x')
    assert subject.trial_wait_s(traits('4x'), ['x'], 0.5) > 0
    now = _quarantine.TRIAL_DELAY_S
    assert subject.trial_wait_s(traits('4x'), ['x'], now) == 0
    assert subject.begin_trial('4', ['x'], now)
    assert not subject.begin_trial('5', ['x'], now)
    assert subject.trial_wait_s(traits('4x'), ['x'], now + 0.1) == 0
    assert subject.trial_wait_s(traits('5x'), ['x'], now + 0.1) > 0
    crash_prompts(subject, '4x', at=2.0, run_s=0.5)
    later = 2.0 + 2 * _quarantine.TRIAL_S
    assert subject.trial_wait_s(traits('4x'), ['x'], later - 0.1) > 0
    assert subject.trial_wait_s(traits('5x'), ['x'], later) == 0


def test_requests_with_a_part_that_others_explain_are_served():
    """A first part that all share was at each crash with the cause."""
    subject = quarantine.Quarantine()
    crash_prompts(subject, '1ax', '2ax 6ab', '3ax', '4ax 7ac')
    assert subject.find_held(traits('8ab')) == []
    assert not subject.must_run_apart(traits('8ab'))
    assert subject.find_held(traits('9ax')) == ['a', 'x']


def test_parts_that_are_always_together_are_stopped_undecided():
    """Neither was blamed, as each excused the other."""
    subject = quarantine.Quarantine()
    crash_prompts(subject, '1xy', '2xy', '3xy', '4xy')
    assert subject.evaluate(SETTLED) == []
    held = subject.find_held(traits('5xy'))
    assert held == ['x', 'y']
    assert subject.trial_wait_s(traits('5xy'), held, SETTLED) > 0
    assert subject.find_held(traits('6x')) == []
    complete(subject, '6x')
    crash_prompts(subject, '7y', at=3.0)
    crash_prompts(subject, '8y', at=12.0)
    assert subject.evaluate(12.0 + SETTLED) == ['y']


def test_request_that_repeats_alike_is_blamed_before_its_parts():
    """A part of which no other request came was at the same crashes."""
    subject = quarantine.Quarantine()
    crash_prompts(subject, '1ab', '1ab', '1ab', '1ab')
    assert subject.evaluate(SETTLED) == ['1']


def test_part_that_several_causes_share_is_not_quarantined():
    """It was at more crashes than each of them."""
    subject = quarantine.Quarantine()
    crash_prompts(subject, '1ax', '2ay', '3ax', '4ay', '5ax', '6ay')
    crash_prompts(subject, '7ax', at=3.0)
    crash_prompts(subject, '8ay', at=12.0)
    assert subject.evaluate(12.0 + SETTLED) == []
    assert subject.evaluate(12.0 + LATER) == []


def test_undecided_part_is_kept_while_requests_with_it_come():
    """It ran again after its time, and ended three engines more."""
    subject = quarantine.Quarantine()
    crash_prompts(subject, '1xy', '2xy', '3xy')
    held = ['x', 'y']
    assert subject.trial_wait_s(traits('4xy'), held, 0.5) > 0
    subject._suspects['x'].refused_at = 200.0
    subject.expire(_quarantine.SUSPECT_TTL_S + 50.0)
    assert subject.find_held(traits('4x')) == ['x']


def test_suspects_with_several_crashes_are_kept_longest(monkeypatch):
    """Requests that are never alike drove out the part that they share."""
    monkeypatch.setattr(_quarantine, 'MAX_SUSPECTS', 10)
    subject = quarantine.Quarantine()
    for number in range(50):
        at = 0.1 * number
        requests = {f'{number}-{n}': CAUSE_RUN_S for n in range(5)}
        parts = dict.fromkeys(requests, ('x',))
        subject.record_crash(str(number), requests, SIZE, at, at, parts)
    assert len(subject._suspects) == 10
    assert len(subject._suspects['x'].crashes) == 50


def test_part_is_not_blamed_where_others_with_it_are_suspects():
    """An entry that is cut off saw the part at crashes of a hidden cause."""
    subject = quarantine.Quarantine()
    crash_prompts(subject, '1a', '2a', '3a', '4a')
    crash_prompts(subject, '1a 5ax', at=3.0)
    crash_prompts(subject, '6ax', at=12.0)
    assert subject.evaluate(12.0 + SETTLED) == []
    complete(subject, 'a')
    assert subject.find_held(traits('7a')) == []


def test_doubt_is_logged_once_for_each_crash():
    """The log did not tell why nothing was decided after many crashes."""
    found = []
    sink = loguru.logger.add(lambda text: found.append(text.record))
    subject = quarantine.Quarantine()
    crash(subject, 'pa', 'pa', 'pa')
    for _ in range(3):
        assert subject.evaluate(SETTLED) == []
    loguru.logger.remove(sink)
    assert [(r['message'], r['extra']['others']) for r in found] == [
        (
            f'Request {suspect} is not quarantined after 3 crashes:'
            ' others may explain all but 0.',
            [f'{other} 3'],
        )
        for suspect, other in ('ap', 'pa')
    ]


def crash_beside_others(subject, refused_at):
    """Refuse a part, and record crashes of two others that were beside it."""
    crash_prompts(subject, '1x 2a', '3x 4b', '5x 6a 7b')
    assert subject.trial_wait_s(traits('8x'), ['x'], refused_at) > 0
    crash_prompts(subject, '1a', '2a', '3b', '4b', at=3.0)


def test_refused_part_is_not_released_by_later_crashes_of_others():
    """Two others crashed on while it was refused, and explained it then."""
    subject = quarantine.Quarantine()
    crash_beside_others(subject, refused_at=0.5)
    assert subject.find_held(traits('9x')) == ['x']
    assert subject.must_run_apart(traits('9x'))
    complete(subject, 'x')
    assert subject.find_held(traits('9x')) == []


def test_part_refused_before_all_reports_of_a_crash_is_released():
    """A first part that sound requests share was refused until a trial."""
    subject = quarantine.Quarantine()
    crash_beside_others(subject, refused_at=0.1)
    assert subject.find_held(traits('9x')) == []


def test_request_with_three_crashes_may_be_the_cause_of_those_of_its_part():
    """Several bad requests had a sound part in common."""
    subject = quarantine.Quarantine()
    crash_prompts(subject, '1x', '2x', '3x')
    for at in (3.0, 4.5, 6.0):
        crash_prompts(subject, '4x', at=at)
    assert subject.evaluate(6.0 + SETTLED) == []


def test_part_is_not_blamed_for_a_bad_request_that_ran_on_its_trial():
    """It was the second crash of that request, and all shared the part."""
    subject = quarantine.Quarantine()
    crash_prompts(subject, '1x', '2x', '3x 4x')
    crash_prompts(subject, '4x', at=3.0)
    crash_prompts(subject, '5x', at=12.0)
    assert subject.evaluate(12.0 + SETTLED) == []


def test_pause_doubles_with_each_crash_that_others_may_explain():
    """A request crashed an engine every few seconds, beside other causes."""
    subject = quarantine.Quarantine()
    crash(subject, 'pab', 'pcd', 'pef')
    crash(subject, 'g', at=0.1)
    pause_s = _quarantine.PAUSE_S
    assert subject.pause_s('p', pause_s - 0.1) > 0
    assert subject.pause_s('p', pause_s) == 0
    crash(subject, 'pgh', at=4.0)
    crash(subject, 'g', at=4.1)
    assert subject.pause_s('p', 4.0 + 2 * pause_s - 0.1) > 0
    assert subject.pause_s('p', 4.0 + 2 * pause_s) == 0


def test_less_suspected_request_is_paused_from_its_fourth_crash_on():
    """One whose last runs were long crashed engines without any pause."""
    subject = quarantine.Quarantine()
    crash(subject, 'pqa', 'pqa', 'pqa')
    assert subject.pause_s('a', 0.1) == 0
    crash(subject, 'pqa', at=4.0)
    assert subject.pause_s('a', 4.1) > 0
    assert subject.pause_s('a', 4.0 + _quarantine.PAUSE_S) == 0
    assert subject.pause_s('p', 4.0 + _quarantine.PAUSE_S) > 0


def test_trial_that_another_suspect_explains_does_not_delay_the_next():
    """A sound part waited twice as long after each trial of a bad one."""
    subject = quarantine.Quarantine()
    crash_prompts(subject, '1ax 2bx', '3ax 4bx', '5ax 6bx')
    crash_prompts(subject, '7ax', at=3.0)
    now = 3.0 + _quarantine.TRIAL_DELAY_S
    assert subject.find_held(traits('9ac')) == ['a']
    assert subject.trial_wait_s(traits('9ac'), ['a'], now) == 0
    assert subject.trial_wait_s(traits('9ax'), ['a', 'x'], now) > 0


def test_trial_beside_a_bad_whole_request_does_not_delay_the_next():
    """A sound part was refused for 8 s, then 16, as it ran beside a cause."""
    subject = quarantine.Quarantine()
    crash_prompts(subject, 'p 1f', 'p 2f', 'p 3f')
    crash_prompts(subject, 'p 4f', at=4.0)
    assert subject.find_held(traits('5f')) == ['f']
    now = 4.0 + _quarantine.TRIAL_DELAY_S
    assert subject.trial_wait_s(traits('5f'), ['f'], now - 0.1) > 0
    assert subject.trial_wait_s(traits('5f'), ['f'], now) == 0


def test_requests_that_only_together_explain_a_part_do_not_release_it():
    """Callers sent three requests again, and others with the part ran on."""
    subject = quarantine.Quarantine()
    crash_prompts(subject, *('1x', '2x', '3x') * 3)
    assert subject.find_held(traits('4x')) == ['x']
    subject = quarantine.Quarantine()
    crash_prompts(subject, *('1x',) * 3)
    assert subject.find_held(traits('4x')) == []
