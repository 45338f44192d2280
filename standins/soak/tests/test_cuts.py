import asyncio

import pytest

from standins.soak import _cuts
from standins.soak import _platform
from standins.soak import _records


def answer(request='a-1', status=200, body=None, **changes):
    fields = {'sent_at': 10.0, 'ended_at': 12.0, 'entry': 'h1', **changes}
    return _records.Answer(
        request, 'chat', 'k0', status=status, body=body, **fields
    )


def attempt(upstream='e0', at=10.0, request='a-1', **changes):
    fields = {'replied_at': at, 'ended_at': 12.0, **changes}
    return _cuts.Attempt(request, upstream, at, **fields)


def broken(answers, attempts, silences=(), **changes):
    found = _records.Records(version_s=4.0, revoke_s=2.0, drain_s=1.0)
    found.answers += answers
    found.attempts += attempts
    found.silences += silences
    found.runs += [_records.Run(each.request, 'e0', 0.0) for each in answers]
    for name, value in changes.items():
        getattr(found, name).update(value)
    return found.find_broken()


#: An upstream that breaks off while its stream runs.
BREAK_OFF = {'e0': [(11.0, 11.0)]}
RESUMED = attempt('e1', 11.1, replied_at=None)


@pytest.mark.parametrize('status', [200, None])
@pytest.mark.parametrize(
    ('attempts', 'break_offs'),
    [
        ([attempt()], {}),
        # The entry gave it up for one that rejected the request.
        ([attempt(), attempt('e1', 10.8, was_rejected=True)], {}),
        # One that broke off before it replied was no reason to give it up.
        ([attempt('e1', 10.0), attempt('e0', 10.8, replied_at=None)],
         BREAK_OFF),
        # Another one was to resume what one broke off.
        ([attempt(), RESUMED], BREAK_OFF),
        # It broke off before or after the request.
        ([attempt()], {'e0': [(8.0, 9.9), (12.1, 13.0)]}),
        ([attempt()], {'e1': [(11.0, 11.0)]}),
    ],
)  # fmt: skip
def test_a_cut_answer_of_a_sound_upstream_is_found(
    attempts, break_offs, status
):
    """An entry that takes silence for an end breaks answers off."""
    found = broken([answer(status=status)], attempts, break_offs=break_offs)
    assert len(found) == 1
    assert f'a-1 was cut after status {status}, 2.00 s after' in found[0]


def test_a_silence_is_no_excuse_for_a_cut():
    """A silence that ends would excuse what it is there to show."""
    silences = [('e0', 10.5, 12.1)]
    assert len(broken([answer()], [attempt()], silences)) == 1


@pytest.mark.parametrize(
    ('answers', 'attempts', 'changes'),
    [
        ([answer(gave_up=True)], [attempt()], {}),
        ([answer(ended_at=15.6)], [attempt()], {}),
        ([answer(status=502)], [attempt()], {}),
        # It crosses the close of its connection.
        ([answer(status=None)], [], {}),
        ([answer(status=None)], [attempt(was_rejected=True)], {}),
        ([answer()], [attempt()], {'break_offs': BREAK_OFF}),
        ([answer()], [attempt()], {'interruptions': {'h1': [(7.5, 8.0)]}}),
        ([answer()], [attempt()], {'disruptions': {'h1': [(11.0, 11.5)]}}),
        ([answer()], [attempt()], {'disruptions': {'e0': [(7.5, 8.0)]}}),
        # The one that broke off had begun to reply in place of the other.
        (
            [answer()],
            [attempt('e1', 10.0), attempt('e0', 10.8)],
            {'break_offs': BREAK_OFF},
        ),
    ],
)
def test_a_cut_answer_with_an_excuse_is_allowed(answers, attempts, changes):
    assert broken(answers, attempts, **changes) == []


def test_a_request_on_a_connection_that_is_being_closed_is_allowed():
    """An upstream that has just ended may still read what arrived before."""

    async def main():
        upstream = _platform.Upstream('e0', 'engines', found, lambda: 11.0)
        upstream.on_crash = lambda: None
        await upstream.start('127.0.0.1', 0)
        upstream.crash('x-1')

    found = _records.Records(version_s=4.0, revoke_s=2.0, drain_s=1.0)
    asyncio.run(main())
    assert found._is_sound(attempt('e0', 10.5), 10.9)
    assert not found._is_sound(attempt('e0', 10.5), 11.1)
    assert not found._is_sound(attempt('e0', 11.01), 11.1)
    assert found._is_sound(attempt('e0', 11.1), 11.2)


def late_arrivals(count, late_s, **changes):
    answers, attempts = [], []
    for number in range(count):
        request = f'a-{number}'
        answers.append(answer(request, gave_up=True))
        at = 12.0 + late_s
        attempts.append(attempt('e0', at, request, ended_at=at))
    return broken(answers, attempts, **changes)


def test_requests_that_arrive_after_their_callers_left_are_found():
    """Upstreams would run what nobody waits for."""
    found = late_arrivals(4, 1.1)
    assert len(found) == 1
    assert 'reached upstreams after their callers had left' in found[0]
    assert late_arrivals(3, 1.1) == []
    assert late_arrivals(4, 0.9) == []
    assert late_arrivals(4, 1.1, interruptions={'h1': [(11.0, 11.1)]}) == []


def ends(late, in_time, **changes):
    """Return what is broken where some attempts end late after a leave."""
    answers, attempts = [], []
    for number in range(late + in_time):
        request = f'a-{number}'
        answers.append(answer(request, gave_up=True))
        ended_at = 13.2 if number < late else 12.1
        attempts.append(
            attempt('e0', 10.0, request, ended_at=ended_at, was_reset=True)
        )
    return broken(answers, attempts, **changes)


def test_work_for_callers_that_left_is_found():
    """The run at a silent upstream is kept while another one is tried."""
    found = ends(4, 4)
    assert len(found) == 1
    assert 'ran on after their callers had left' in found[0]
    assert ends(3, 0) == []
    assert ends(0, 9) == []
    assert ends(4, 0, interruptions={'h1': [(11.0, 11.1)]}) == []


def test_late_ends_count_against_those_that_would_have_lasted():
    """Without silent upstreams hardly any work would last so long."""
    assert ends(4, 16, silences=[('e0', 11.0, 12.6)]) == []
    assert len(ends(4, 16, silences=[('e0', 11.0, 12.4)])) == 1
    assert len(ends(4, 16, silences=[('e1', 11.0, 12.6)])) == 1
