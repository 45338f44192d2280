import pytest

from catkinshunt import datagrams
from catkinshunt import quarantine
from catkinshunt.quarantine import _messages

REQUEST = 'f' * 32


def test_the_longest_message_fits_into_a_datagram():
    requests = (REQUEST,) * _messages.MOST_REQUESTS
    message = quarantine.CrashReport('c' * 16, requests)
    data = quarantine.dump(message)
    assert len(data) <= _messages.MOST_BYTES
    assert quarantine.load(data) == message


@pytest.mark.parametrize(
    'data',
    [
        b'',
        b'[]',
        b'["crash","c"]',
        b'["crash","c",[1]]',
        b'["crash","c","abc"]',
        b'["quarantined","r",-1]',
        b'["quarantined","r",1e999]',
        b'["other","r"]',
        b'[' * 1100,
        b'["completion","' + b'f' * 2000 + b'"]',
    ],
)
def test_anything_else_is_left_aside(data):
    with pytest.raises(datagrams.DecodeError):
        quarantine.load(data)
