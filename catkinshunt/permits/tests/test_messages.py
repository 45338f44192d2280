import hypothesis
from hypothesis import strategies as st
import pytest

from catkinshunt import permits


@pytest.mark.parametrize(
    'message',
    [
        permits.PermitRequest(3, 0.25, 1.5, 0.05, 16, late=True),
        permits.PermitRequest(3, 0.25, 1.5, 0.05, 16, resumed=True),
        permits.PermitRelease(3),
        permits.PermitGranted(3, in_use=4),
        permits.PermitQueued(3),
        permits.PermitRejected(3, permits.NO_ROOM, 1.5),
    ],
)
def test_message_round_trip(message):
    assert permits.load(permits.dump(message)) == message


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
def test_malformed_messages_are_rejected(data):
    with pytest.raises(permits.DecodeError):
        permits.load(data)


@hypothesis.given(st.binary(max_size=200))
def test_random_bytes_decode_or_are_rejected(data):
    try:
        message = permits.load(data)
    except permits.DecodeError:
        return
    assert permits.load(permits.dump(message)) == message
