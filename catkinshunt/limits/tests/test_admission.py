"""Tests of admission: concurrency, deadlines and leaving."""

import threading

import pytest

from catkinshunt import errors
from catkinshunt import limits


def make_admission(concurrency=1, limit=64):
    queue = limits.FairQueue(limit, random_state=0)
    return limits.Admission(queue, concurrency)


def offer(admission, now=0.0, deadline=100.0, account='a'):
    return admission.offer(limits.Ticket('', account, deadline), now)


def test_concurrency_is_bounded():
    admission = make_admission(2)
    tickets = [offer(admission) for _ in range(5)]
    assert [ticket.fut.done() for ticket in tickets] == [True] * 2 + [
        False
    ] * 3
    assert admission.load == 5
    admission.finish(tickets[0], 1.0)
    assert tickets[2].fut.done()
    assert admission.report()['running'] == 2


def test_wait_blocks_until_the_request_may_run():
    admission = make_admission()
    first = offer(admission)
    second = offer(admission)
    waited = threading.Event()

    def work():
        admission.wait(second, 0.0)
        waited.set()

    thread = threading.Thread(target=work)
    thread.start()
    assert not waited.is_set()
    admission.finish(first, 1.0)
    assert waited.wait(10)
    thread.join(10)


def test_request_that_cannot_finish_in_time_is_rejected():
    """The upstream has become slow, and requests take a second each.

    A request with less time left is rejected at once as not run, so that it
    can be retried elsewhere.
    """
    admission = make_admission()
    admission.finish(offer(admission), 1.0)
    with pytest.raises(errors.OverloadedError) as caught:
        offer(admission, now=2.0, deadline=2.5)
    assert caught.value.retry_after_s == pytest.approx(0.5)
    assert admission.load == 0


def test_queued_request_is_rejected_before_its_deadline():
    """A queued request is overtaken until it can no longer finish in time.

    It is rejected before its deadline and never run afterwards.
    """
    admission = make_admission()
    first = offer(admission)
    second = offer(admission, deadline=0.0)
    with pytest.raises(errors.OverloadedError):
        admission.wait(second, 0.0)
    admission.finish(first, 1.0)
    assert admission.load == 0


def test_queued_request_that_became_late_is_skipped():
    admission = make_admission()
    first = offer(admission)
    late = offer(admission, deadline=1.5)
    good = offer(admission, deadline=50.0)
    admission.finish(first, 1.0)
    assert isinstance(late.fut.exception(0), errors.OverloadedError)
    assert good.fut.done()


def test_leaving_rejects_new_and_finishes_accepted_requests():
    """The instance is stopped while requests run and wait.

    Those are finished; a new one is rejected as not run.
    """
    admission = make_admission()
    first, second = offer(admission), offer(admission)
    admission.leave()
    with pytest.raises(errors.LeavingError) as caught:
        offer(admission)
    assert caught.value.ran == 'no'
    assert not admission.join(0)
    admission.finish(first, 1.0)
    assert second.fut.done()
    admission.finish(second, 2.0)
    assert admission.join(0)
