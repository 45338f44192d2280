import pytest

from catkinshunt import places

SLOTS = 2


def request(number, wait_s=0.3, occupancy_s=1.0, prefill_s=0.0, **changes):
    return places.PermitRequest(
        number, wait_s, occupancy_s, prefill_s, SLOTS, **changes
    )


def full_ledger():
    """Return a ledger whose two places are held by entry 'a'."""
    ledger = places.PermitAllocator(spare=0)
    for number in (1, 2):
        ledger.request('a', request(number), now=0.0)
    return ledger


def kinds(replies):
    return [(peer, reply.kind, reply.number) for peer, reply in replies]


def test_no_more_places_are_given_than_the_engine_has():
    """Several entries send at once, each without knowing of the others.

    Requests past the engine's slots wait in its queue for seconds, and by
    the time they begin all of them are late.
    """
    ledger = places.PermitAllocator(spare=1)
    replies = [ledger.request(f'e{n}', request(n), now=0.0) for n in range(5)]
    got = [reply.kind for ((_, reply),) in replies]
    assert got == ['granted'] * 3 + ['queued'] * 2


def test_the_newest_ask_gets_the_place_that_becomes_free():
    """Past capacity those that waited longest are about to be late.

    Served first, each of them begins just too late, and so does the next;
    engines are busy, and nobody is in time.
    """
    ledger = full_ledger()
    ledger.request('b', request(10), now=0.1)
    ledger.request('c', request(11), now=0.2)
    assert kinds(ledger.release('a', 1, now=0.3)) == [('c', 'granted', 11)]


def test_an_ask_is_refused_when_its_time_is_over():
    ledger = full_ledger()
    ledger.request('b', request(10, wait_s=0.2), now=0.1)
    assert ledger.next_due_at() == pytest.approx(0.3)
    assert ledger.run_due(now=0.25) == []
    ((peer, refused),) = ledger.run_due(now=0.31)
    assert (peer, refused.reason) == ('b', places.NO_ROOM)
    assert refused.retry_after_s >= 1.0


def test_a_late_request_does_not_take_the_place_of_one_in_time():
    ledger = full_ledger()
    ledger.request('b', request(10), now=0.1)
    ((_, reply),) = ledger.request(
        'c', request(11, wait_s=0.0, late=True), now=0.1
    )
    assert reply.kind == 'refused'
    assert kinds(ledger.release('a', 1, now=0.2)) == [('b', 'granted', 10)]


def test_a_late_request_gets_a_place_that_nobody_wants():
    ledger = places.PermitAllocator(spare=0)
    replies = ledger.request('c', request(11, wait_s=0.0, late=True), now=0.1)
    assert kinds(replies) == [('c', 'granted', 11)]


def test_late_requests_wait_where_late_ones_get_places():
    """After a short gap there is room for some that are late by now."""
    ledger = places.PermitAllocator(spare=0)
    for number in range(8):
        ledger.request('c', request(number, wait_s=0.0, late=True), now=0.1)
        ledger.release('c', number, now=0.1)
    for number in (10, 11):
        ledger.request('a', request(number), now=0.2)
    replies = ledger.request('c', request(20, wait_s=0.0, late=True), now=0.2)
    assert kinds(replies) == [('c', 'queued', 20)]
    assert kinds(ledger.release('a', 10, now=0.3)) == [('c', 'granted', 20)]


def test_a_stream_that_broke_off_goes_first():
    """Its caller is reading and leaves after a short pause."""
    ledger = full_ledger()
    ledger.request('b', request(10, resumed=True), now=0.1)
    ledger.request('c', request(11), now=0.2)
    assert kinds(ledger.release('a', 1, now=0.3)) == [('b', 'granted', 10)]


def test_callers_that_are_refused_come_back_one_after_the_other():
    """Told the same, hundreds of callers come back in the same moment."""
    ledger = places.PermitAllocator(spare=0)
    late = request(1, wait_s=0.0, late=True)
    for peer in 'abcde':
        ledger.request(peer, late, now=0.0)
        ledger.release(peer, 1, now=0.0)
    for number in (2, 3):
        ledger.request('a', request(number), now=0.1)
    told = [
        reply.retry_after_s
        for peer in 'bcdefgh'
        for _, reply in ledger.request(peer, late, now=0.1)
        if reply.kind == 'refused'
    ]
    assert len(told) >= 3
    assert told == sorted(set(told))


def test_an_ask_that_is_sent_again_gets_the_same_reply():
    """The reply to the first one was lost on its way."""
    ledger = full_ledger()
    assert kinds(ledger.request('a', request(1), now=0.1)) == [
        ('a', 'granted', 1)
    ]
    assert ledger.in_use == SLOTS
    ledger.request('b', request(10), now=0.1)
    assert kinds(ledger.request('b', request(10), now=0.2)) == [
        ('b', 'queued', 10)
    ]
    assert ledger.waiting == 1


def test_places_of_an_entry_that_died_are_free_again():
    """Nobody gives them back, and the engine would stand idle for ever.

    The engine drops the requests when their connections close; its report
    shows them gone. One look may be early, so the second one counts.
    """
    ledger = full_ledger()
    ledger.request('b', request(10, wait_s=5.0), now=0.1)
    assert ledger.reconcile(present=1, now=1.0) == []
    replies = ledger.reconcile(present=1, now=1.25)
    assert kinds(replies) == [('b', 'granted', 10)]


def test_a_request_on_its_way_keeps_its_place():
    """The engine does not have it yet when it is asked."""
    ledger = full_ledger()
    for now in (0.1, 0.2):
        ledger.reconcile(present=0, now=now)
    assert ledger.in_use == SLOTS


def test_requests_that_came_without_a_place_take_one():
    """A sidecar that started again knows of none that run already."""
    ledger = places.PermitAllocator(spare=0)
    ledger.reconcile(present=2, now=0.0)
    replies = ledger.request('a', request(1), now=0.1)
    assert kinds(replies) == [('a', 'queued', 1)]


def test_nothing_long_begins_before_the_engine_loads_another_version():
    """An engine that loads ends its answers first, and takes nothing new.

    One long answer that has just begun keeps it from work for seconds.
    """
    ledger = places.PermitAllocator(spare=0)
    ledger.close(closes_at=2.0, opens_at=2.4)
    ((_, short),) = ledger.request('a', request(1, occupancy_s=0.5), now=1.0)
    ((_, long),) = ledger.request('a', request(2, occupancy_s=1.5), now=1.0)
    assert short.kind == 'granted'
    assert (long.kind, long.reason) == ('refused', places.RELOADING)
    ledger.open(now=2.3)
    assert kinds(
        ledger.request('a', request(3, occupancy_s=1.5), now=2.3)
    ) == [('a', 'granted', 3)]


def test_one_that_waits_is_told_when_the_engine_is_about_to_load():
    ledger = full_ledger()
    ledger.request('b', request(10, wait_s=0.9), now=0.1)
    ledger.close(closes_at=0.5, opens_at=1.0)
    ((_, reply),) = ledger.release('a', 1, now=0.4)
    assert (reply.kind, reply.reason) == ('refused', places.RELOADING)


def test_a_request_does_not_begin_behind_much_reading():
    """Several long prompts came to an engine that has places left.

    They are read one after the other; one that comes now gets its first
    token when all of them are read, while other engines have nothing to read.
    """
    ledger = places.PermitAllocator(spare=1)
    ledger.request('a', request(1, prefill_s=0.2), now=0.0)
    assert kinds(ledger.request('b', request(2), now=0.05)) == [
        ('b', 'queued', 2)
    ]
    when = ledger.next_due_at()
    assert 0.05 < when < 0.2
    assert kinds(ledger.run_due(when)) == [('b', 'granted', 2)]


def test_a_probe_is_answered_at_once():
    ledger = full_ledger()
    ((_, reply),) = ledger.request('b', request(10, no_wait=True), now=0.1)
    assert (reply.kind, reply.reason) == ('refused', places.NO_ROOM)
    assert ledger.waiting == 0


def test_late_requests_leave_room_for_those_in_time():
    """A place becomes free in the moment in which nobody in time waits.

    Given to a late request it is taken for seconds, and the next one that
    could be in time, a few hundredths of a second later, finds none.
    """
    ledger = full_ledger()
    late = request(20, wait_s=0.0, late=True, no_wait=True)
    assert (
        ledger.request('b', request(10, no_wait=True), now=0.1)[0][1].kind
        == 'refused'
    )
    ledger.release('a', 1, now=0.2)
    assert ledger.request('c', late, now=0.3)[0][1].kind == 'refused'
    assert ledger.request('c', late, now=0.7)[0][1].kind == 'granted'


def test_a_closed_engine_is_not_left_alone_for_ever():
    """The order to load failed, or the word that it serves was lost."""
    ledger = places.PermitAllocator(spare=0)
    ledger.close(closes_at=1.0, opens_at=1.5)
    assert kinds(ledger.request('a', request(1), now=2.0)) == [
        ('a', 'refused', 1)
    ]
    assert kinds(ledger.request('a', request(1), now=6.0)) == [
        ('a', 'granted', 1)
    ]


def test_nothing_begins_on_a_version_that_has_expired():
    """An entry hears late of a new version, behind a large configuration.

    It goes on to ask for places at engines with the old one after that is
    too old; a caller gets an answer from weights that were withdrawn.
    """
    ledger = places.PermitAllocator(spare=0)
    ledger.set_expiry(1.0)
    assert kinds(ledger.request('a', request(1), now=0.9)) == [
        ('a', 'granted', 1)
    ]
    ((_, reply),) = ledger.request('b', request(2), now=1.0)
    assert reply.reason == places.RELOADING
    ((_, reply),) = ledger.request('b', request(3, resumed=True), now=9.0)
    assert reply.reason == places.RELOADING


def test_a_request_is_not_read_past_the_end_of_a_version():
    ledger = places.PermitAllocator(spare=0)
    ledger.set_expiry(1.0)
    ((_, reply),) = ledger.request('b', request(2, prefill_s=0.2), now=0.9)
    assert reply.reason == places.RELOADING


def test_those_that_wait_are_refused_when_a_version_expires():
    ledger = full_ledger()
    ledger.set_expiry(0.2)
    ledger.request('b', request(10), now=0.1)
    ((peer, refused),) = ledger.release('a', 1, now=0.25)
    assert (peer, refused.reason) == ('b', places.RELOADING)


def test_a_version_that_was_loaded_lets_requests_begin_again():
    ledger = places.PermitAllocator(spare=0)
    ledger.set_expiry(1.0)
    ledger.set_expiry(float('inf'))
    assert kinds(ledger.request('a', request(1), now=2.0)) == [
        ('a', 'granted', 1)
    ]
