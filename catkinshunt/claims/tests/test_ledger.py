"""Tests of the at-most-once ledger under faults of its store."""

from concurrent import futures
import threading

import pytest

from catkinshunt import claims
from catkinshunt.claims.tests import fakes
from catkinshunt import errors

NOW = 1_000_000.0
DEADLINE = NOW + 30
OUTCOME = claims.Outcome(200, 'application/json', b'{"booking": 7}')


def make_ledger(store, **params):
    params = {
        'shards': 1,
        'finish_delay_s': 0.001,
        'outage_pause_s': 0.01,
        'writes_per_s': 10000,
        'committers': 1,
        **params,
    }
    return claims.Ledger(store, **params)


def try_claim(
    ledger, attempt, key='k', digest='d', now=NOW, deadline=DEADLINE
):
    return ledger.claim('acme', key, digest, attempt, now, deadline)


def claim_until(ledger, attempt, wanted, now=NOW):
    """Ask again, as a caller would, until the state is `wanted`."""
    for number in range(500):
        try:
            claim = try_claim(ledger, f'{attempt}-{number}', now=now)
        except errors.RefusedError:
            now += 0.1
            threading.Event().wait(0.01)
            continue
        if claim.state == wanted:
            return claim
        threading.Event().wait(0.01)
    raise AssertionError(f'never {wanted}')


def test_one_of_many_attempts_at_two_entries_is_granted():
    """A caller's client sends one booking to both entries at once.

    The member would be booked twice if both entries ran it.
    """
    store = fakes.FakeStore()
    with make_ledger(store) as first, make_ledger(store) as second:
        with futures.ThreadPoolExecutor(16) as pool:
            futs = [
                pool.submit(try_claim, ledger, f'{name}{number}')
                for number in range(8)
                for name, ledger in (('x', first), ('y', second))
            ]
        states = [fut.result().state for fut in futs]
    assert states.count(claims.State.GRANTED) == 1
    assert states.count(claims.State.IN_PROGRESS) == 15


def test_repeat_gets_the_kept_answer_at_another_entry():
    store = fakes.FakeStore()
    with make_ledger(store) as first:
        first.finish(try_claim(first, 'a1'), OUTCOME, NOW)
    with make_ledger(store) as second:
        claim = try_claim(second, 'a2', now=NOW + 60, deadline=NOW + 90)
    assert claim.state == claims.State.FINISHED
    assert claim.outcome == OUTCOME


def test_large_answer_is_remembered_without_its_body():
    store = fakes.FakeStore()
    large = claims.Outcome(200, 'text/plain', b'x' * 5000)
    with make_ledger(store) as ledger:
        ledger.finish(try_claim(ledger, 'a1'), large, NOW)
        claim = claim_until(ledger, 'a2', claims.State.FINISHED)
    assert claim.outcome == claims.Outcome(200)


@pytest.mark.parametrize(
    ('digest', 'now', 'state'),
    [
        ('other', NOW, claims.State.MISMATCH),
        ('d', NOW + 29, claims.State.IN_PROGRESS),
        ('d', NOW + 31, claims.State.UNKNOWN),
    ],
)
def test_repeat_of_an_unfinished_claim(digest, now, state):
    """The entry that was granted dies without recording an outcome.

    A repeat is never run; the caller is told that the outcome is unknown.
    """
    store = fakes.FakeStore()
    with make_ledger(store) as first:
        try_claim(first, 'a1')
    with make_ledger(store) as second:
        claim = try_claim(second, 'a2', 'k', digest, now, now + 30)
    assert claim.state == state


def test_released_claim_is_granted_again():
    with make_ledger(fakes.FakeStore()) as ledger:
        ledger.release(try_claim(ledger, 'a1'), NOW)
        claim_until(ledger, 'a2', claims.State.GRANTED)


def test_release_of_another_attempt_changes_nothing():
    """A paused entry comes back and gives up a claim it no longer holds."""
    store = fakes.FakeStore()
    with make_ledger(store) as ledger:
        stale = try_claim(ledger, 'a1')
        ledger.release(stale, NOW)
        held = claim_until(ledger, 'a2', claims.State.GRANTED)
        ledger.release(stale, NOW)
        ledger.finish(stale, claims.Outcome(500), NOW)
        ledger.finish(held, OUTCOME, NOW)
        done = claim_until(ledger, 'a3', claims.State.FINISHED)
    assert done.outcome == OUTCOME


def test_lost_answer_of_the_write_is_resolved_by_reading_back():
    """The service wrote the claim, but its answer was lost.

    Refusing here would leave a claim that nobody runs, and the caller's
    repeat would be told for ever that the request is in progress.
    """
    store = fakes.FakeStore()
    with make_ledger(store) as ledger:
        try_claim(ledger, 'warm', key='other')
        store.lose_answers = 1
        assert try_claim(ledger, 'a1').state == claims.State.GRANTED
    assert store.calls['put'] == 3  # Layout, other key, this key.


def test_write_that_lands_after_the_refusal_is_taken_back():
    """A claim's write is stuck in the network while the service goes down.

    The caller is told "not run". The write arrives when the service is
    back; the caller's repeat must be granted all the same.
    """
    store = fakes.FakeStore()
    with make_ledger(store) as ledger:
        try_claim(ledger, 'warm', key='other')
        real_get = store.get

        def get(key):
            store.down = True
            return real_get(key)

        store.delayed = 1
        store.get = get
        with pytest.raises(errors.RefusedError) as caught:
            try_claim(ledger, 'a1')
        assert caught.value.ran == 'unknown'
        store.get = real_get
        store.down = False
        assert store.apply_in_flight() == 1
        claim_until(ledger, 'a2', claims.State.GRANTED, NOW + 1)


def test_write_still_on_its_way_cannot_land_after_it_was_taken_back():
    """As before, but the write arrives after the ledger looked for it."""
    store = fakes.FakeStore()
    with make_ledger(store) as ledger:
        try_claim(ledger, 'warm', key='other')
        store.delayed = 8  # All tries of the claim are stuck.
        with pytest.raises(errors.RefusedError):
            try_claim(ledger, 'a1')
        in_flight = list(store.in_flight)
        settled = store.calls['put'] + 1
        while store.calls['put'] < settled:
            threading.Event().wait(0.005)
        store.in_flight = in_flight
        store.apply_in_flight()
        claim_until(ledger, 'a2', claims.State.GRANTED, NOW + 1)


def test_outage_refuses_at_once_and_says_when_to_come_back():
    """The service is down for long while bookings come in.

    Each is refused at once, most of them without a call. None says "not
    run": whether an earlier try of its key ran cannot be seen then.
    """
    store = fakes.FakeStore()
    with make_ledger(store, outage_pause_s=5.0) as ledger:
        try_claim(ledger, 'warm', key='other')
        store.down = True
        before = sum(store.calls.values())
        for number in range(20):
            with pytest.raises(errors.RefusedError) as caught:
                try_claim(ledger, f'a{number}')
            assert caught.value.ran == 'unknown'
            assert caught.value.retry_after_s == 5.0
        assert sum(store.calls.values()) - before == 1
        store.down = False
        claim = try_claim(ledger, 'b', now=NOW + 6)
    assert claim.state == claims.State.GRANTED


def test_a_second_try_in_an_outage_does_not_say_that_nothing_ran():
    """An entry dies with a booking dispatched, and the service is away.

    The caller comes back with its key to another entry. Told "not run", it
    would book under a new key, and the booking that ran would stand twice.
    """
    store = fakes.FakeStore()
    with make_ledger(store) as first, make_ledger(store) as second:
        try_claim(second, 'warm', key='other')
        assert try_claim(first, 'a').state == claims.State.GRANTED
        store.down = True
        with pytest.raises(errors.RefusedError) as caught:
            try_claim(second, 'b')
        assert caught.value.ran != 'no'


def test_claim_given_up_while_its_write_is_slow_is_taken_back():
    """The service is so slow that the claim outlasts its time."""
    store = fakes.FakeStore()
    gate = threading.Event()
    real_put = store.put
    with make_ledger(store, commit_timeout_s=0.05) as ledger:
        try_claim(ledger, 'warm', key='other')

        def put(*args, **kwargs):
            gate.wait(10)
            return real_put(*args, **kwargs)

        store.put = put
        with pytest.raises(errors.RefusedError):
            try_claim(ledger, 'a1')
        store.put = real_put
        gate.set()
        claim_until(ledger, 'a2', claims.State.GRANTED)


def test_outcome_is_written_after_an_outage():
    """The service goes down while a booking runs.

    Its outcome waits for the service, so that a repeat gets the answer.
    """
    store = fakes.FakeStore()
    with make_ledger(store) as ledger:
        claim = try_claim(ledger, 'a1')
        store.down = True
        ledger.finish(claim, OUTCOME, NOW)
        failed = store.calls['put'] + store.calls['get'] + 2
        while store.calls['put'] + store.calls['get'] < failed:
            threading.Event().wait(0.005)
        store.down = False
        again = claim_until(ledger, 'a2', claims.State.FINISHED, NOW + 1)
    assert again.outcome == OUTCOME


def test_full_shard_refuses_and_forgets_nothing():
    """More keys come within the retention time than a shard holds."""
    store = fakes.FakeStore()
    with make_ledger(store, shard_limit_bytes=1000) as ledger:
        granted = []
        with pytest.raises(errors.OverloadedError) as caught:
            for number in range(100):
                granted.append(
                    try_claim(ledger, f'a{number}', key=f'k{number}')
                )
        assert caught.value.retry_after_s > 0
        for claim in granted:
            ledger.finish(claim, OUTCOME, NOW)
        repeat = try_claim(ledger, 'b', key='k0')
        assert repeat.state != claims.State.GRANTED
        late = NOW + 601
        fresh = try_claim(ledger, 'c', key='new', now=late, deadline=late + 30)
        assert fresh.state == claims.State.GRANTED
    assert len(store.get('claims/0').value) <= 1000


@pytest.mark.parametrize(
    ('finished', 'after_s', 'state'),
    [
        (True, 601, claims.State.FINISHED),
        (False, 601, claims.State.UNKNOWN),
        (True, 6 * 3600, claims.State.FINISHED),
        (False, 6 * 3600, claims.State.UNKNOWN),
        (True, 8 * 3600, claims.State.GRANTED),
    ],
)
def test_repeat_hours_later(finished, after_s, state):
    """A caller's outbox sends a booking again after its own long outage.

    Within the time that claims are kept it is not run again; the answer
    itself has been dropped by then.
    """
    with make_ledger(fakes.FakeStore()) as ledger:
        claim = try_claim(ledger, 'a1')
        if finished:
            ledger.finish(claim, OUTCOME, NOW)
        try_claim(ledger, 'b1', key='other', now=NOW + 605, deadline=NOW + 635)
        now = NOW + after_s
        repeat = try_claim(ledger, 'a2', now=now, deadline=now + 30)
    assert repeat.state == state
    assert repeat.outcome is None


def test_entries_with_other_shard_counts_share_the_written_layout():
    """An operator changes the count of shards at one entry only.

    Each entry would look for a key in another document and run it.
    """
    store = fakes.FakeStore()
    with make_ledger(store, shards=4) as first:
        granted = try_claim(first, 'a1')
    with make_ledger(store, shards=64) as second:
        repeat = try_claim(second, 'a2')
    assert granted.state == claims.State.GRANTED
    assert repeat.state == claims.State.IN_PROGRESS


@pytest.mark.parametrize(
    'value',
    [b'', b'null', b'{"version":2,"claims":{}}', b'[' * 100000]
    + [b'{"version":1,"claims":{"i":[1,2,3,4]},"old":{}}']
    + [b'{"version":1,"claims":{},"old":{"1r":"short"}}'],
)
def test_damaged_document_refuses_and_is_left_as_it_is(value):
    """Somebody overwrites a document by hand; its claims must not be lost."""
    store = fakes.FakeStore()
    store.put('claims/0', value, 0)
    with make_ledger(store) as ledger:
        with pytest.raises(errors.RefusedError):
            try_claim(ledger, 'a1')
    assert store.get('claims/0').value == value


def test_concurrent_claims_share_writes():
    store = fakes.FakeStore()
    gate = threading.Event()
    real_put = store.put
    with make_ledger(store) as ledger:
        try_claim(ledger, 'warm', key='other')
        before = store.calls['put']

        def put(*args, **kwargs):
            gate.wait(10)
            return real_put(*args, **kwargs)

        store.put = put
        with futures.ThreadPoolExecutor(64) as pool:
            futs = [
                pool.submit(try_claim, ledger, f'a{number}', key=f'k{number}')
                for number in range(64)
            ]
            while ledger.report()['pending'] < 60:
                threading.Event().wait(0.005)
            gate.set()
        states = {fut.result().state for fut in futs}
    assert states == {claims.State.GRANTED}
    assert store.calls['put'] - before <= 5
