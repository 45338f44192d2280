"""Replies of upstreams that are spoilt, or followed by another one."""

import pytest

from catkinshunt.gateway.tests import reply_player
from catkinshunt.gateway.tests import reply_verdicts
from catkinshunt.gateway.tests import spoilt_replies
from catkinshunt.tests import virtual_loop


@pytest.fixture
def player():
    """Return a `reply_player.Player`."""
    loop = virtual_loop.VirtualClockLoop()
    made = reply_player.Player(loop)
    yield made
    made.close()
    loop.close()


def play(player, **fields):
    """Return the reply to one request, or None, and the verdict on it."""
    outcomes = player.play([reply_player.Plan(**fields)])
    verdict = reply_verdicts.judge(outcomes[0], outcomes)
    return reply_verdicts.read(outcomes[0].data), verdict


def find_part(shape, part):
    """Return which stretch of a reply is the first one of a part."""
    answer = spoilt_replies.Answer('WWWW', b'W', 0, shape)
    marked = answer.marked()
    return next(
        number
        for number, run in enumerate(marked.runs())
        if marked.parts(*run) == {part}
    )


@pytest.mark.parametrize('kind', ['plain', 'failure', 'stream'])
@pytest.mark.parametrize('framing', ['length', 'chunked', 'last', 'close'])
def test_sound_reply_is_relayed(player, kind, framing):
    """The other tests would show nothing if none were."""
    shape = spoilt_replies.Shape(kind, framing)
    end = 'eof' if framing == 'close' else 'keep'
    reply, verdict = play(player, shape=shape, end=end)
    assert (reply.status, verdict) == (shape.status, 'own')


@pytest.mark.parametrize('digit', range(3))
def test_status_that_is_none_is_not_relayed(player, digit):
    """A spoilt digit made 000 or 600 of a 200, and callers got that status."""
    shape = spoilt_replies.Shape()
    status = find_part(shape, spoilt_replies.STATUS)
    for bit in range(1, 9):
        spoil = spoilt_replies.Spoil('bit', status, digit, bit)
        reply, verdict = play(player, shape=shape, spoils=(spoil,))
        assert verdict in ('own', 'failed', 'apart: status'), bit
        assert 200 <= reply.status < 600, bit


@pytest.mark.parametrize('kind', ['plain', 'failure', 'stream'])
@pytest.mark.parametrize('place', ['follows', 'after'])
def test_unframed_reply_does_not_hold_a_second_one(player, kind, place):
    """Callers got head and body of the second one as the rest of a body."""
    shape = spoilt_replies.Shape(kind, 'close')
    extra = reply_player.Extra(place)
    for split in range(0, 1000, 50):
        _, verdict = play(
            player, shape=shape, extra=extra, end='eof', splits=(split,)
        )
        assert verdict in ('failed', 'cut'), split


@pytest.mark.parametrize('place', ['after', 'idle', 'follows'])
def test_event_that_is_cut_does_not_end_in_another_reply(player, place):
    """Callers got an event whose data were the head of a second reply."""
    shape = spoilt_replies.Shape('stream', interim=1)
    last = len(spoilt_replies.Answer('WWWW', b'W', 0, shape).marked().runs())
    extra = reply_player.Extra(place)
    for run in range(last - 12, last):
        for at in range(14):
            cut = spoilt_replies.Spoil('cut', run, at)
            _, verdict = play(player, shape=shape, spoils=(cut,), extra=extra)
            assert verdict in ('own', 'failed', 'cut'), (run, at)
