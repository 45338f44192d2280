"""Tests of the watch of a source."""

import threading

import pytest

from catkinshunt import dissemination
from catkinshunt.dissemination.tests import fakes
from catkinshunt import errors

WAIT_S = 10


class Source(dissemination.BaseSource):
    """Fails as often as told, then tells that it was asked."""

    topic = 'configuration'

    def __init__(self, exc=None, failures=0):
        self.exc = exc
        self.failures = failures
        self.waits = []
        self.asked = threading.Event()

    def fetch(self, wait_s):
        self.waits.append(wait_s)
        if self.failures:
            self.failures -= 1
            raise self.exc
        self.asked.set()


def _make_watcher(source, members, name='i0'):
    peer_health = dissemination.PeerHealth()
    election = dissemination.WatchElection(
        source.topic, name, 'dc0', peer_health
    )
    return dissemination.Watcher(
        source,
        election,
        lambda: members,
        wait_s=3,
        idle_s=0.01,
        random_state=0,
    )


@pytest.mark.parametrize(
    'exc', [errors.StoreUnavailableError('down'), ValueError('fault of ours')]
)
def test_a_watch_goes_on_after_a_failure(exc):
    """The service is down for a while, or answers what nobody expects.

    If the thread ended, the process would still answer its deputies and
    none of them would take over.
    """
    source = Source(exc, failures=1)
    with _make_watcher(source, fakes.Fleet(1).members):
        assert source.asked.wait(WAIT_S)
    assert source.waits[:2] == [3, 3]


def test_a_process_that_knows_no_other_one_does_not_hold_a_watch():
    """The instance list cannot be read when many processes start."""
    source = Source()
    with _make_watcher(source, ()):
        assert source.asked.wait(WAIT_S)
    assert source.waits[0] == 0


def test_a_process_without_the_duty_does_not_ask():
    source = Source()
    members = fakes.Fleet(30).members
    elections = {}
    for member in members:
        watcher = _make_watcher(source, members, member.name)
        elections[member.name] = watcher.election.check(members)
    idle = next(name for name, on_duty in elections.items() if not on_duty)
    watcher = _make_watcher(source, members, idle)
    looks = threading.Semaphore(0)
    check = watcher.election.check

    def count(members):
        looks.release()
        return check(members)

    watcher.election.check = count
    with watcher:
        for _ in range(3):
            assert looks.acquire(timeout=WAIT_S)
    assert source.waits == []
