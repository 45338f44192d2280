import pytest

from standins.soak import _cuts
from standins.soak import _records

#: When the store acknowledged that p0 leaves, and the end of a drill in which
#: it went back afterwards.
LEFT_AT, BACK_AT = 10.0, 13.0


def broken(
    at, store=(), interruptions=(), disruptions=(), link=(), sent_at=None
):
    """Return what is broken where one request reaches p0, which has left."""
    found = _records.Records(version_s=4.0, revoke_s=2.0, drain_s=1.0)
    found.left['p0'] = LEFT_AT
    sent_at = at if sent_at is None else sent_at
    found.add_answer(
        _records.Answer('a-1', 'book', 'k0', sent_at, status=502, entry='h1')
    )
    found.attempts.append(_cuts.Attempt('a-1', 'p0', at, ended_at=at))
    for begin, end in store:
        found.note_store_fault(begin, end)
    found.interruptions['h1'] += interruptions
    found.disruptions['h1'] += disruptions
    found.disruptions['p0'] += link
    return found.find_broken()


#: The store goes back when the leave was due, and before that.
LATER, SOONER = [(12.5, BACK_AT)], [(10.5, BACK_AT)]


@pytest.mark.parametrize(
    ('at', 'faults'),
    [
        (11.6, {}),
        # The entry knew of the leave, and has run since.
        (13.1, {'store': LATER}),
        (13.1, {'store': LATER, 'disruptions': [(12.5, 13.0)]}),
        (13.1, {'store': [*LATER, (13.05, 13.5)]}),
        # The store has been back for long enough.
        (16.1, {'store': SOONER}),
        (16.1, {'store': SOONER, 'interruptions': [(12.0, 12.9)]}),
        (16.1, {'store': LATER, 'link': [(12.0, 13.0)]}),
        # A fault that ended long before the leave.
        (13.1, {'store': [(5.0, 6.9), *LATER]}),
    ],
)
def test_a_request_to_an_upstream_that_left_is_found(at, faults):
    """An entry forgets a leave that the store has lost."""
    found = broken(at, **faults)
    assert len(found) == 1
    assert 'a-1 of h1 reached p0' in found[0]
    assert 'after it had to be left alone' in found[0]


@pytest.mark.parametrize(
    ('at', 'faults'),
    [
        (11.4, {}),
        (11.6, {'link': [(10.0, 11.0)]}),
        (11.6, {'interruptions': [(8.0, 9.0)]}),
        # It went back before the entry had to know, and is back for less than
        # `CONTACT_S`.
        (15.9, {'store': SOONER}),
        (16.1, {'store': SOONER, 'sent_at': 15.9}),
        # The entry started anew and read a store that had lost the leave.
        (15.9, {'store': LATER, 'interruptions': [(13.1, 14.0)]}),
        # It was cut off as the upstream left.
        (15.9, {'store': LATER, 'disruptions': [(10.5, 11.0)]}),
        # The store was not stable when it acknowledged the leave.
        (20.0, {'store': [(6.0, 7.1)]}),
        (20.0, {'store': [(9.9, 10.1)]}),
    ],
)
def test_a_request_to_an_upstream_that_left_may_be_excused(at, faults):
    assert broken(at, **faults) == []


def test_an_upstream_that_did_not_leave_gets_requests():
    found = _records.Records(version_s=4.0, revoke_s=2.0, drain_s=1.0)
    found.left['p0'] = LEFT_AT
    found.attempts.append(_cuts.Attempt('a-1', 'p100', 20.0))
    assert found.find_broken() == []


def test_an_old_version_counts_after_the_last_fault():
    """A store that went back would excuse a version for ever."""
    found = _records.Records(version_s=4.0, revoke_s=2.0, drain_s=1.0)
    found.named.append((2, 1.0))
    found.note_store_fault(1.5, 2.0)
    found.runs.append(_records.Run('a-1', 'e0', 9.4, version=1))
    assert found.find_broken() == []
    found.runs.append(_records.Run('a-2', 'e0', 9.6, version=1))
    assert len(found.find_broken()) == 1
