import hypothesis
from hypothesis import strategies as st
import pytest

from catkinshunt import places


@pytest.mark.parametrize(
    'message',
    [
        places.PermitRequest(3, 0.25, 1.5, 0.05, 16, late=True),
        places.PermitRequest(3, 0.25, 1.5, 0.05, 16, resumed=True),
        places.PermitRelease(3),
        places.PermitGranted(3, in_use=4),
        places.PermitQueued(3),
        places.PermitRejected(3, places.NO_ROOM, 1.5),
    ],
)
def test_a_message_is_read_as_it_was_written(message):
    assert places.load(places.dump(message)) == message


@pytest.mark.parametrize(
    'data',
    [
        b'',
        b'\xff',
        b'{}',
        b'[]',
        b'["granted"]',
        b'["granted",1,"2"]',
        b'["granted",-1,2]',
        b'["ask",1,NaN,1.0,0.1,16,false,false,false]',
        b'["ask",1,0.1,1.0,0.1,16,false,0,false]',
        b'["other",1]',
        b'[["granted"],1,2]',
        b'["done",' + b'1' * 2000 + b']',
    ],
)
def test_what_is_no_message_is_told_so(data):
    with pytest.raises(places.DecodeError):
        places.load(data)


@hypothesis.given(st.binary(max_size=200))
def test_any_bytes_are_a_message_or_unreadable(data):
    try:
        message = places.load(data)
    except places.DecodeError:
        return
    assert places.load(places.dump(message)) == message
