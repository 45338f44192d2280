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
    """Retry, as a client does, until the state is `wanted`."""
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
    """A client sends one booking to two entries at the same time.

    It would be executed twice if both entries dispatched it.
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


def test_retry_gets_the_stored_response_at_another_entry():
    store = fakes.FakeStore()
    with make_ledger(store) as first:
        first.finish(try_claim(first, 'a1'), OUTCOME, NOW)
    with make_ledger(store) as second:
        claim = try_claim(second, 'a2', now=NOW + 60, deadline=NOW + 90)
    assert claim.state == claims.State.FINISHED
    assert claim.outcome == OUTCOME


def test_large_response_is_stored_without_its_body():
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
def test_retry_of_an_unfinished_claim(digest, now, state):
    """The entry that holds the claim crashes without recording an outcome.

    A retry is never executed; after the deadline its outcome is unknown.
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
    """A paused entry resumes and releases a claim it no longer holds."""
    store = fakes.FakeStore()
    with make_ledger(store) as ledger:
        stale = try_claim(ledger, 'a1')
        ledger.release(stale, NOW)
        current = claim_until(ledger, 'a2', claims.State.GRANTED)
        ledger.release(stale, NOW)
        ledger.finish(stale, claims.Outcome(500), NOW)
        ledger.finish(current, OUTCOME, NOW)
        done = claim_until(ledger, 'a3', claims.State.FINISHED)
    assert done.outcome == OUTCOME


def test_lost_write_response_is_resolved_by_reading_back():
    """The store wrote the claim, but the response was lost.

    Rejecting the attempt would leave a claim that is never executed, while
    each retry would be reported as in progress.
    """
    store = fakes.FakeStore()
    with make_ledger(store) as ledger:
        try_claim(ledger, 'warm', key='other')
        store.lose_answers = 1
        assert try_claim(ledger, 'a1').state == claims.State.GRANTED
    assert store.calls['put'] == 3  # Layout, other key, this key.


def test_write_applied_after_the_rejection_is_released():
    """A claim's write is delayed in the network during an outage.

    The attempt is rejected. The write takes effect after the outage; the
    client's retry must be granted nevertheless.
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


def test_write_in_flight_cannot_take_effect_after_its_release():
    """As before, but the write arrives after the ledger read the document."""
    store = fakes.FakeStore()
    with make_ledger(store) as ledger:
        try_claim(ledger, 'warm', key='other')
        store.delayed = 8  # All attempts at the write are delayed.
        with pytest.raises(errors.RefusedError):
            try_claim(ledger, 'a1')
        in_flight = list(store.in_flight)
        settled = store.calls['put'] + 1
        while store.calls['put'] < settled:
            threading.Event().wait(0.005)
        store.in_flight = in_flight
        store.apply_in_flight()
        claim_until(ledger, 'a2', claims.State.GRANTED, NOW + 1)


def test_outage_rejects_at_once_with_a_retry_time():
    """The store is down for a long time while bookings arrive.

    Each is rejected at once, most of them without a call. No error says "not
    run", as the store cannot show whether an earlier attempt ran.
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


def test_retry_in_an_outage_is_not_reported_as_not_run():
    """An entry crashes after dispatching a booking; the store is down.

    The client retries its key at another entry. After an error "not run" it
    would use a new key, and the booking would be executed twice.
    """
    store = fakes.FakeStore()
    with make_ledger(store) as first, make_ledger(store) as second:
        try_claim(second, 'warm', key='other')
        assert try_claim(first, 'a').state == claims.State.GRANTED
        store.down = True
        with pytest.raises(errors.RefusedError) as caught:
            try_claim(second, 'b')
        assert caught.value.ran != 'no'


def test_claim_that_times_out_during_a_slow_write_is_released():
    """The store is so slow that the claim times out."""
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
    """The store goes down while a booking runs.

    Its outcome stays queued, so that a retry gets the response.
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


def test_full_shard_rejects_claims_and_loses_none():
    """More keys arrive within the retention time than fit in a shard."""
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
def test_retry_hours_later(finished, after_s, state):
    """A client sends a booking again hours later, after its own outage.

    Within the retention time it is not executed again, although its response
    is no longer stored.
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


def test_entries_with_different_shard_counts_use_the_stored_count():
    """An operator changes the number of shards at one entry only.

    Each entry would look up a key in another document and grant it.
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
def test_damaged_document_rejects_claims_and_is_not_overwritten(value):
    """A document is overwritten by hand; its claims must not be lost."""
    store = fakes.FakeStore()
    store.put('claims/0', value, 0)
    with make_ledger(store) as ledger:
        with pytest.raises(errors.RefusedError):
            try_claim(ledger, 'a1')
    assert store.get('claims/0').value == value


def test_concurrent_claims_share_writes():
    store = fakes.FakeStore()
    gate, writing = threading.Event(), threading.Event()
    real_put = store.put
    with make_ledger(store, commit_timeout_s=10.0) as ledger:
        try_claim(ledger, 'warm', key='other')
        before = store.calls['put']

        def put(*args, **kwargs):
            writing.set()
            gate.wait(10)
            return real_put(*args, **kwargs)

        store.put = put
        with futures.ThreadPoolExecutor(64) as pool:
            futs = [pool.submit(try_claim, ledger, 'a0', key='k0')]
            # The first write has one claim, and all others wait for its end.
            assert writing.wait(10)
            futs += [
                pool.submit(try_claim, ledger, f'a{number}', key=f'k{number}')
                for number in range(1, 64)
            ]
            while ledger.report()['pending'] < 63:
                threading.Event().wait(0.005)
            gate.set()
        states = {fut.result().state for fut in futs}
    assert states == {claims.State.GRANTED}
    assert store.calls['put'] - before <= 5
