import asyncio

from catkinshunt import permits
from catkinshunt.permits import _messages
from catkinshunt.platform import _clocks
from catkinshunt.platform import _sidecar


class _Transport:
    def __init__(self):
        self.sent = []

    def sendto(self, data, addr):
        self.sent.append(_messages.load(data))


def test_no_permit_is_granted_if_the_version_expired_in_a_suspend(monkeypatch):
    """The first requests after it are read before the expiry is set anew.

    The monotonic clock stands still during a suspend.
    """

    async def main():
        clock = asyncio.get_running_loop().time
        suspended_s = [0.0]
        monkeypatch.setattr(_clocks, 'monotonic', clock)
        monkeypatch.setattr(
            _clocks, 'boottime', lambda: clock() + suspended_s[0]
        )
        server = _sidecar.make_permit_server()
        transport = _Transport()
        server._transport = transport
        server.set_expiry(1.0)
        suspended_s[0] = 2.5
        req = permits.PermitRequest(1, 0.2, 1.0, 0.05, slots=4)
        server.datagram_received(_messages.dump(req), ('10.0.0.1', 1))
        (reply,) = transport.sent
        return reply

    assert isinstance(asyncio.run(main()), permits.PermitRejected)
