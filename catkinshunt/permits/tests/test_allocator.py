import pytest

from catkinshunt import permits

SLOTS = 2


def request(number, wait_s=0.3, occupancy_s=1.0, prefill_s=0.0, **changes):
    return permits.PermitRequest(
        number, wait_s, occupancy_s, prefill_s, SLOTS, **changes
    )


def full_allocator():
    """Return an allocator whose two permits are in use by entry 'a'."""
    allocator = permits.PermitAllocator(spare=0)
    for number in (1, 2):
        allocator.request('a', request(number), now=0.0)
    return allocator


def kinds(replies):
    return [(peer, reply.kind, reply.number) for peer, reply in replies]


def test_grants_are_limited_to_slots_and_spare_permits():
    """Several entries send requests to one engine at the same time.

    Requests beyond its slots would wait in its queue for seconds and be late
    when they start.
    """
    allocator = permits.PermitAllocator(spare=1)
    replies = [
        allocator.request(f'e{n}', request(n), now=0.0) for n in range(5)
    ]
    got = [reply.kind for ((_, reply),) in replies]
    assert got == ['granted'] * 3 + ['queued'] * 2


def test_newest_request_gets_a_released_permit():
    """Past capacity the requests that waited longest are nearly late.

    Served first, each of them starts too late, and so does the next; no
    request is in time.
    """
    allocator = full_allocator()
    allocator.request('b', request(10), now=0.1)
    allocator.request('c', request(11), now=0.2)
    assert kinds(allocator.release('a', 1, now=0.3)) == [('c', 'granted', 11)]


def test_queued_request_is_rejected_when_its_wait_ends():
    allocator = full_allocator()
    allocator.request('b', request(10, wait_s=0.2), now=0.1)
    assert allocator.next_due_at() == pytest.approx(0.3)
    assert allocator.run_due(now=0.25) == []
    ((peer, rejected),) = allocator.run_due(now=0.31)
    assert (peer, rejected.reason) == ('b', permits.NO_ROOM)
    assert rejected.retry_after_s >= 1.0


def test_late_request_does_not_overtake_one_in_time():
    allocator = full_allocator()
    allocator.request('b', request(10), now=0.1)
    ((_, reply),) = allocator.request(
        'c', request(11, wait_s=0.0, late=True), now=0.1
    )
    assert reply.kind == 'refused'
    assert kinds(allocator.release('a', 1, now=0.2)) == [('b', 'granted', 10)]


def test_late_request_gets_an_unneeded_permit():
    allocator = permits.PermitAllocator(spare=0)
    replies = allocator.request(
        'c', request(11, wait_s=0.0, late=True), now=0.1
    )
    assert kinds(replies) == [('c', 'granted', 11)]


def test_late_requests_queue_while_late_ones_are_granted():
    """A short gap in the load leaves permits for requests that are late."""
    allocator = permits.PermitAllocator(spare=0)
    for number in range(8):
        allocator.request('c', request(number, wait_s=0.0, late=True), now=0.1)
        allocator.release('c', number, now=0.1)
    for number in (10, 11):
        allocator.request('a', request(number), now=0.2)
    replies = allocator.request(
        'c', request(20, wait_s=0.0, late=True), now=0.2
    )
    assert kinds(replies) == [('c', 'queued', 20)]
    assert kinds(allocator.release('a', 10, now=0.3)) == [('c', 'granted', 20)]


def test_resumed_stream_goes_first():
    """Its client is reading the answer and disconnects after a short pause."""
    allocator = full_allocator()
    allocator.request('b', request(10, resumed=True), now=0.1)
    allocator.request('c', request(11), now=0.2)
    assert kinds(allocator.release('a', 1, now=0.3)) == [('b', 'granted', 10)]


def test_retry_times_of_rejected_requests_are_spread():
    """With one retry time for all, hundreds of clients retry at once."""
    allocator = permits.PermitAllocator(spare=0)
    late = request(1, wait_s=0.0, late=True)
    for peer in 'abcde':
        allocator.request(peer, late, now=0.0)
        allocator.release(peer, 1, now=0.0)
    for number in (2, 3):
        allocator.request('a', request(number), now=0.1)
    retry_times = [
        reply.retry_after_s
        for peer in 'bcdefgh'
        for _, reply in allocator.request(peer, late, now=0.1)
        if reply.kind == 'refused'
    ]
    assert len(retry_times) >= 3
    assert retry_times == sorted(set(retry_times))


def test_repeated_request_gets_the_same_reply():
    """The reply to the first request was lost."""
    allocator = full_allocator()
    assert kinds(allocator.request('a', request(1), now=0.1)) == [
        ('a', 'granted', 1)
    ]
    assert allocator.in_use == SLOTS
    allocator.request('b', request(10), now=0.1)
    assert kinds(allocator.request('b', request(10), now=0.2)) == [
        ('b', 'queued', 10)
    ]
    assert allocator.waiting == 1


def test_permits_of_a_dead_entry_are_released():
    """A crashed entry releases no permits, and the engine would stay idle.

    The engine drops requests whose connection closes, which shows in its
    count. A request may not have arrived at the first count, so permits are
    released at the second one.
    """
    allocator = full_allocator()
    allocator.request('b', request(10, wait_s=5.0), now=0.1)
    assert allocator.reconcile(present=1, now=1.0) == []
    replies = allocator.reconcile(present=1, now=1.25)
    assert kinds(replies) == [('b', 'granted', 10)]


def test_request_in_transit_keeps_its_permit():
    """The engine does not count a request before it arrives."""
    allocator = full_allocator()
    for now in (0.1, 0.2):
        allocator.reconcile(present=0, now=now)
    assert allocator.in_use == SLOTS


def test_requests_without_a_permit_are_counted():
    """A restarted sidecar has no state of running requests."""
    allocator = permits.PermitAllocator(spare=0)
    allocator.reconcile(present=2, now=0.0)
    replies = allocator.request('a', request(1), now=0.1)
    assert kinds(replies) == [('a', 'queued', 1)]


def test_long_requests_are_rejected_before_a_reload():
    """Before it loads, an engine finishes its answers and takes no requests.

    One long answer that has just started keeps it idle for seconds.
    """
    allocator = permits.PermitAllocator(spare=0)
    allocator.schedule_reload(closes_at=2.0, opens_at=2.4)
    ((_, short),) = allocator.request(
        'a', request(1, occupancy_s=0.5), now=1.0
    )
    ((_, long),) = allocator.request('a', request(2, occupancy_s=1.5), now=1.0)
    assert short.kind == 'granted'
    assert (long.kind, long.reason) == ('refused', permits.RELOADING)
    allocator.end_reload(now=2.3)
    assert kinds(
        allocator.request('a', request(3, occupancy_s=1.5), now=2.3)
    ) == [('a', 'granted', 3)]


def test_queued_request_is_rejected_before_a_reload():
    allocator = full_allocator()
    allocator.request('b', request(10, wait_s=0.9), now=0.1)
    allocator.schedule_reload(closes_at=0.5, opens_at=1.0)
    ((_, reply),) = allocator.release('a', 1, now=0.4)
    assert (reply.kind, reply.reason) == ('refused', permits.RELOADING)


def test_request_waits_for_a_long_prefill_backlog():
    """An engine with a free permit has several long prompts to prefill.

    They are prefilled one after the other; a new request would get its first
    token after all of them, while other engines have no prefill backlog.
    """
    allocator = permits.PermitAllocator(spare=1)
    allocator.request('a', request(1, prefill_s=0.2), now=0.0)
    assert kinds(allocator.request('b', request(2), now=0.05)) == [
        ('b', 'queued', 2)
    ]
    due_at = allocator.next_due_at()
    assert 0.05 < due_at < 0.2
    assert kinds(allocator.run_due(due_at)) == [('b', 'granted', 2)]


def test_request_without_waiting_is_rejected_at_once():
    allocator = full_allocator()
    ((_, reply),) = allocator.request('b', request(10, no_wait=True), now=0.1)
    assert (reply.kind, reply.reason) == ('refused', permits.NO_ROOM)
    assert allocator.waiting == 0


def test_late_requests_leave_permits_for_those_in_time():
    """A permit is released while no request in time is queued.

    Granted to a late request it is in use for seconds, and the next request
    that could be in time arrives shortly after and finds none.
    """
    allocator = full_allocator()
    late = request(20, wait_s=0.0, late=True, no_wait=True)
    assert (
        allocator.request('b', request(10, no_wait=True), now=0.1)[0][1].kind
        == 'refused'
    )
    allocator.release('a', 1, now=0.2)
    assert allocator.request('c', late, now=0.3)[0][1].kind == 'refused'
    assert allocator.request('c', late, now=0.7)[0][1].kind == 'granted'


def test_closed_engine_is_reopened_after_a_timeout():
    """Loading failed, or the call of `end_reload` was missed."""
    allocator = permits.PermitAllocator(spare=0)
    allocator.schedule_reload(closes_at=1.0, opens_at=1.5)
    assert kinds(allocator.request('a', request(1), now=2.0)) == [
        ('a', 'refused', 1)
    ]
    assert kinds(allocator.request('a', request(1), now=6.0)) == [
        ('a', 'granted', 1)
    ]


def test_no_request_starts_on_an_expired_version():
    """An entry receives a new version late, after a large configuration.

    It still requests permits of engines with the expired version, and a
    client would get an answer from withdrawn weights.
    """
    allocator = permits.PermitAllocator(spare=0)
    allocator.set_expiry(1.0)
    assert kinds(allocator.request('a', request(1), now=0.9)) == [
        ('a', 'granted', 1)
    ]
    ((_, reply),) = allocator.request('b', request(2), now=1.0)
    assert reply.reason == permits.RELOADING
    ((_, reply),) = allocator.request('b', request(3, resumed=True), now=9.0)
    assert reply.reason == permits.RELOADING


def test_prefill_does_not_outlast_the_version():
    allocator = permits.PermitAllocator(spare=0)
    allocator.set_expiry(1.0)
    ((_, reply),) = allocator.request('b', request(2, prefill_s=0.2), now=0.9)
    assert reply.reason == permits.RELOADING


def test_queued_requests_are_rejected_when_the_version_expires():
    allocator = full_allocator()
    allocator.set_expiry(0.2)
    allocator.request('b', request(10), now=0.1)
    ((peer, rejected),) = allocator.release('a', 1, now=0.25)
    assert (peer, rejected.reason) == ('b', permits.RELOADING)


def test_requests_start_again_after_a_version_is_loaded():
    allocator = permits.PermitAllocator(spare=0)
    allocator.set_expiry(1.0)
    allocator.set_expiry(float('inf'))
    assert kinds(allocator.request('a', request(1), now=2.0)) == [
        ('a', 'granted', 1)
    ]


def test_leaving_engine_gets_no_more_requests():
    """Entries that were not told by an answer would go on sending there."""
    allocator = full_allocator()
    allocator.request('b', request(1), now=0.1)
    allocator.request('c', request(1, wait_s=0.0, late=True), now=0.1)
    leaving = permits.EngineLeaving(1, 7)
    assert ('b', leaving) in allocator.begin_leaving(7)
    assert allocator.waiting == 0
    assert allocator.begin_leaving(7) == []
    assert allocator.request('b', request(1), now=0.2) == [('b', leaving)]
    allocator.release('a', 1, now=0.3)
    assert allocator.request('b', request(1), now=0.3) == [('b', leaving)]
    allocator.end_leaving()
    ((_, reply),) = allocator.request('b', request(1), now=0.4)
    assert reply.kind == 'granted'


def isolated_request(number, **changes):
    return permits.IsolatedPermitRequest(
        number, 0.3, 1.0, 0.0, SLOTS, **changes
    )


def test_requests_that_may_crash_the_engine_run_apart():
    """A crash under two of them would not show which one is the cause."""
    allocator = permits.PermitAllocator(spare=0)
    allocator.request('a', isolated_request(1), now=0.0)
    queued = allocator.request('b', isolated_request(2), now=0.0)
    assert kinds(queued) == [('b', 'queued', 2)]
    assert kinds(allocator.release('a', 1, now=0.1)) == [('b', 'granted', 2)]


def test_isolated_request_does_not_hold_up_others():
    allocator = permits.PermitAllocator(spare=0)
    allocator.request('a', isolated_request(1), now=0.0)
    allocator.request('b', request(2), now=0.0)
    allocator.request('c', request(3), now=0.1)
    allocator.request('d', isolated_request(4), now=0.2)
    assert kinds(allocator.release('b', 2, now=0.2)) == [('c', 'granted', 3)]
    late = isolated_request(5, late=True)
    allocator.request('e', late, now=0.25)
    assert kinds(allocator.release('a', 1, now=0.3)) == [('d', 'granted', 4)]


def test_isolated_request_whose_entry_is_gone_holds_up_no_other():
    """An entry that crashes releases no permits."""
    allocator = permits.PermitAllocator(spare=0)
    allocator.request('a', isolated_request(1), now=0.0)
    allocator.reconcile(0, now=1.0)
    allocator.reconcile(0, now=1.5)
    granted = allocator.request('b', isolated_request(2), now=1.6)
    assert kinds(granted) == [('b', 'granted', 2)]


def test_requests_that_wait_have_a_limit():
    """Datagrams from any sender could fill the memory of a sidecar."""
    allocator = full_allocator()
    for number in range(5000):
        replies = allocator.request('b', request(number, 1e9), now=0.1)
    assert allocator.waiting == 4096
    ((_, rejected),) = replies
    assert rejected.reason == permits.NO_ROOM
    allocator.run_due(now=61.0)
    assert allocator.waiting == 0
