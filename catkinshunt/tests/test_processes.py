"""Failures of real processes at named steps of a booking."""

from concurrent import futures
import signal

import pytest

from catkinshunt import errors
from catkinshunt.tests import deployments


@pytest.fixture
def running():
    with deployments.Deployment(entries=2, processes=True) as deployment:
        yield deployment
        for service in deployment.plains:
            service.before.set()
            service.after.set()


@pytest.fixture
def pool():
    with futures.ThreadPoolExecutor(4) as executor:
        yield executor


def _kill(launched):
    launched.popen.kill()
    launched.popen.wait()


def test_sidecar_killed_after_the_upstream_ran_the_booking(running, pool):
    """The process beside the order desk dies with the answer in its hands.

    The member must not be told "not run", and a repeat must not book the
    regrind a second time.
    """
    front, other = running.entries
    desk = running.plains[0]
    desk.after.clear()
    asked = pool.submit(deployments.book, front, 'o1', 'k1')
    assert desk.ran.wait(deployments.WAIT_S)
    _kill(running.sidecars[0])
    answer = asked.result()
    assert answer.ran == 'unknown'
    side = running.start_sidecar(1, running.upstreams[0])
    running.list_sidecars([side])
    for entry in (front, other):
        repeat = deployments.book(entry, 'o1', 'k1')
        assert repeat.ran == 'unknown'
    assert running.runs('o1') == 1


def test_sidecar_killed_before_the_upstream_answered_a_keyless_booking(pool):
    """As before, without a key, and another order desk would take it.

    The entry itself must not send it again.
    """
    with deployments.Deployment(sidecars=2, processes=True) as running:
        first, second = running.plains
        for desk in running.plains:
            desk.after.clear()
        asked = pool.submit(deployments.book, running.entries[0], 'o1')
        deployments.wait_until(
            lambda: first.ran.is_set() or second.ran.is_set(), 'the booking'
        )
        ran, other = (0, second) if first.ran.is_set() else (1, first)
        other.after.set()
        _kill(running.sidecars[ran])
        assert asked.result().ran == 'unknown'
        assert running.runs('o1') == 1
        running.plains[ran].after.set()


def test_entry_killed_after_the_upstream_ran_the_booking(running, pool):
    """The entry dies before it passed the answer on.

    The caller's connection breaks; it repeats at the other entry, which
    must not book again.
    """
    front, other = running.entries
    desk = running.plains[0]
    desk.after.clear()
    asked = pool.submit(deployments.book, front, 'o1', 'k1')
    assert desk.ran.wait(deployments.WAIT_S)
    _kill(front)
    with pytest.raises(errors.OutcomeUnknownError):
        asked.result()
    desk.after.set()
    repeat = deployments.book(other, 'o1', 'k1')
    assert (repeat.status, repeat.ran) == (409, 'unknown')
    assert running.runs('o1') == 1


def test_entry_frozen_past_the_deadline_of_its_booking(running, pool):
    """An entry is paused while its booking runs, and wakes too late.

    Its caller has gone to the other entry, which must neither run the
    booking while the first is paused nor after it woke.
    """
    front, other = running.entries
    desk = running.plains[0]
    desk.before.clear()
    asked = pool.submit(deployments.book, front, 'o1', 'k1', deadline_ms=1500)
    assert desk.arrived.wait(deployments.WAIT_S)
    front.popen.send_signal(signal.SIGSTOP)
    try:
        deployments.wait_until(
            lambda: _code(other, 'o1', 'k1') == 'outcome-unknown',
            'the end of the deadline',
        )
        desk.before.set()
        assert desk.ran.wait(deployments.WAIT_S)
    finally:
        front.popen.send_signal(signal.SIGCONT)
    assert asked.result().status in (201, 502, 504)
    deployments.book(other, 'o1', 'k1')
    assert running.runs('o1') == 1


def _code(front, order, key):
    return deployments.book(front, order, key).code


def test_booking_answered_before_a_restart_is_replayed_after_it(running):
    """Every process of the system is replaced between try and repeat."""
    front = running.entries[0]
    first = deployments.book(front, 'o1', 'k1')
    assert first.status == 201
    for launched in (*running.entries, *running.sidecars):
        launched.popen.terminate()
        assert launched.popen.wait(deployments.WAIT_S) == 0
    side = running.start_sidecar(1, running.upstreams[0])
    running.list_sidecars([side])
    repeat = deployments.book(running.start_entry(2), 'o1', 'k1')
    assert (repeat.status, repeat.value) == (201, first.value)
    assert running.runs('o1') == 1


@pytest.mark.parametrize('role', ['entry', 'sidecar'])
def test_planned_stop_cuts_no_booking_in_progress(running, pool, role):
    """An operator stops a process with SIGTERM while a booking runs."""
    front = running.entries[0]
    desk = running.plains[0]
    desk.after.clear()
    asked = pool.submit(deployments.book, front, 'o1', 'k1')
    assert desk.ran.wait(deployments.WAIT_S)
    stopped = front if role == 'entry' else running.sidecars[0]
    stopped.popen.terminate()
    deployments.wait_until(
        lambda: _stock(front).code == 'leaving', 'the refusal of new work'
    )
    desk.after.set()
    assert asked.result().status == 201
    assert stopped.popen.wait(deployments.WAIT_S) == 0


def test_killed_entry_leaves_the_other_serving(running):
    """One of two entries dies; the balancer sends its callers to the other."""
    _kill(running.entries[0])
    answer = deployments.book(running.entries[1], 'o1', 'k1')
    assert answer.status == 201


def test_frozen_sidecar_does_not_let_a_booking_run_late(running, pool):
    """The process beside the desk is paused with a booking in its socket.

    The entry gives up and says that the outcome is not known. When the
    process wakes, the booking's deadline is over and it must not run.
    """
    front = running.entries[0]
    side = running.sidecars[0]
    side.popen.send_signal(signal.SIGSTOP)
    try:
        answer = deployments.book(front, 'o1', 'k1', deadline_ms=800)
    finally:
        side.popen.send_signal(signal.SIGCONT)
    assert answer.ran == 'unknown'
    # The sidecar serves again, and with it all that waited before.
    deployments.wait_until(
        lambda: _stock(front).status == 200, 'the sidecar to serve again'
    )
    assert running.runs('o1') == 0


def _stock(front):
    return deployments.ask(front, 'GET', '/order-desk/stock')
