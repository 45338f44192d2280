"""Bookings through entries and sidecars run at most once."""

from concurrent import futures
import random
import threading

import pytest

from catkinshunt.tests import deployments
from catkinshunt.tests import histories

SEED = 20


@pytest.fixture
def pair():
    with deployments.Deployment(entries=2, sidecars=2) as deployment:
        yield deployment


def test_repeat_gets_the_first_answer_and_runs_nothing(pair):
    first = deployments.book(pair.entries[0], 'o1', key='k1')
    repeat = deployments.book(pair.entries[0], 'o1', key='k1')
    assert (first.status, repeat.status) == (201, 201)
    assert repeat.value == first.value
    assert pair.runs('o1') == 1


def test_key_at_both_entries_at_once_runs_once(pair):
    """A client sends a booking to both entries as it waits too little.

    The member's regrind would be booked, and billed, twice.
    """
    for service in pair.plains:
        service.after.clear()
    with futures.ThreadPoolExecutor(8) as pool:
        asked = [
            pool.submit(deployments.book, pair.entries[i % 2], 'o1', 'k1')
            for i in range(8)
        ]
        deployments.wait_until(lambda: _done(asked) >= 7, 'seven answers')
        for service in pair.plains:
            service.after.set()
        answers = [fut.result() for fut in asked]
    assert sorted(answer.status for answer in answers) == [201] + [409] * 7
    assert {a.code for a in answers if a.status == 409} == {'in-progress'}
    assert pair.runs('o1') == 1


def _done(asked):
    return sum(fut.done() for fut in asked)


def test_other_request_with_a_used_key_is_refused(pair):
    deployments.book(pair.entries[0], 'o1', key='k1')
    answer = deployments.book(pair.entries[0], 'o2', key='k1')
    assert (answer.status, answer.ran) == (422, 'no')
    assert pair.runs('o2') == 0


def test_key_value_outage_refuses_bookings_at_once(pair):
    """The key-value service is down while bookings and reads come in.

    Bookings with a key are refused at once, with when to come back, and
    nothing reaches the desk; reads go on. They are not told "not run", since
    an earlier try that another entry dispatched cannot be seen. Afterwards
    the same key runs.
    """
    pair.store.faults.down = True
    answer = deployments.book(pair.entries[0], 'o1', key='k1')
    assert (answer.status, answer.ran) == (503, 'unknown')
    assert answer.value['error']['retry_after_s'] > 0
    assert pair.runs('o1') == 0
    stock = deployments.ask(pair.entries[0], 'GET', '/order-desk/stock')
    assert stock.status == 200
    pair.store.faults.down = False
    deployments.wait_until(
        lambda: deployments.book(pair.entries[1], 'o1', 'k1').status == 201,
        'the booking',
    )
    assert pair.runs('o1') == 1


def test_lost_answer_of_the_claim_still_runs_once(pair):
    """The service wrote the claim but its answer was lost on the way."""
    deployments.book(pair.entries[0], 'warm', key='warm')
    pair.store.faults.lose_answers = 1
    assert deployments.book(pair.entries[0], 'o1', 'k1').status == 201
    deployments.book(pair.entries[1], 'o1', 'k1')
    assert pair.runs('o1') == 1


def test_concurrent_bookings_over_faults_have_a_sequential_order(pair):
    """Answers of the service get lost and it goes down while many book.

    The whole run must look as if the bookings had come one by one: told
    "not run" only if it did not run, one answer for each key, one run.
    """
    recorder = histories.Recorder()
    rng = random.Random(SEED)
    plans = [
        [(f'k{rng.randrange(12)}', rng.randrange(2)) for _ in range(12)]
        for _ in range(6)
    ]
    stop = threading.Event()
    faults = threading.Thread(target=_bring_faults, args=(pair, stop))
    faults.start()
    with futures.ThreadPoolExecutor(len(plans)) as pool:
        callers = [
            pool.submit(_book_all, recorder, pair, f'caller-{number}', plan)
            for number, plan in enumerate(plans)
        ]
        for fut in callers:
            fut.result()
    stop.set()
    faults.join()
    for key in sorted({key for plan in plans for key, _ in plan}):
        with recorder.call('desk', 'count', key) as operation:
            recorder.complete(operation, pair.runs(key))
        assert pair.runs(key) == 1
    histories.check(recorder.operations, histories.Bookings())


def _bring_faults(pair, stop):
    rng = random.Random(SEED)
    while not stop.wait(0.05):
        kind = rng.randrange(3)
        pair.store.faults.down = kind == 0
        pair.store.faults.lose_answers = 2 if kind == 1 else 0
    pair.store.faults.down = False


def _book_all(recorder, pair, name, plan):
    for key, number in plan:
        deployments.wait_until(
            lambda: _book_once(recorder, pair.entries[number], name, key),
            f'booking {key}',
        )


def _book_once(recorder, front, name, key):
    """Book and record; return whether the caller need not come back."""
    with recorder.call(name, 'book', key) as operation:
        answer = deployments.book(front, key, key)
        if answer.status == 201:
            recorder.complete(operation, ('booked', answer.status))
        elif answer.ran == 'no':
            recorder.complete(operation, ('refused',))
        elif answer.ran == 'yes':
            recorder.complete(operation, ('ran',))
    return answer.ran == 'yes' or answer.code == 'outcome-unknown'
