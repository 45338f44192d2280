import asyncio
import json

import pytest

from catkinshunt import catalog as catalogs
from catkinshunt import errors
from catkinshunt import http1
from catkinshunt.platform import _engine


class FakeServer:
    """Answers calls with a given reply, and counts them."""

    def __init__(self, reply):
        self.reply = reply
        self.calls = 0

    async def answer(self, req):
        self.calls += 1
        return self.reply

    async def start(self, clock):
        listener = http1.Listener(http1.make_session(self.answer), clock)
        await listener.start('127.0.0.1', 0)
        return listener


def run_calls(reply, times, call):
    """Make a call at each of the times; return the errors and the count."""

    async def main():
        loop = asyncio.get_running_loop()
        server = FakeServer(reply)
        listener = await server.start(loop.time)
        now = [0.0]
        engine = _engine.PlatformEngine(
            ('127.0.0.1', listener.port), loop.time, lambda: now[0]
        )
        found = []
        for time in times:
            now[0] = time
            try:
                found.append(await call(engine))
            except errors.CatkinshuntError as exc:
                found.append(exc)
        listener.close()
        return found, server.calls

    return asyncio.run(main())


@pytest.mark.parametrize(
    'call',
    [
        lambda engine: engine.load('drafts', 2),
        lambda engine: engine.report(),
        lambda engine: engine.put_chunk('drafts', 0, b'x'),
        lambda engine: engine.list_staged('drafts'),
    ],
)
def test_engine_gets_no_calls_in_its_back_off(call):
    """Orders, reports and chunks would press on an engine in need."""
    reply = http1.Reply(503, b'{}', (('Retry-After', '2.5'),))
    found, calls = run_calls(reply, (0.0, 0.4, 2.4, 2.6), call)
    assert calls == 2
    assert [isinstance(exc, _engine.BackOffError) for exc in found[1:3]] == [
        True,
        True,
    ]


def test_order_that_is_not_sent_is_not_unknown():
    """An order whose outcome is unknown is not repeated at once."""
    reply = http1.Reply(503, b'{}', (('Retry-After', '2'),))
    found, _ = run_calls(
        reply, (0.0, 1.0), lambda engine: engine.load('drafts', 2)
    )
    assert type(found[1]) is _engine.BackOffError


def test_report_tells_that_the_engine_leaves():
    body = json.dumps({'born': 7, 'active': 1}).encode()
    reply = http1.Reply(200, body, (('Server-Leaving', '1'),))
    (report,), _ = run_calls(reply, (0.0,), lambda engine: engine.report())
    assert report.is_leaving
    assert report.started_at_ms == 7


def test_version_that_the_origin_withdrew_is_told_apart():
    """A transfer that can no longer end must make room for a newer one."""

    async def main():
        loop = asyncio.get_running_loop()
        listener = await FakeServer(http1.Reply(410)).start(loop.time)
        known = catalogs.Origin(('127.0.0.1', listener.port))

        async def get_origin():
            return known

        origin = _engine.PlatformOrigin(get_origin, loop.time, loop.time)
        with pytest.raises(errors.VersionWithdrawnError):
            await origin.chunk('drafts', 1, 0)
        listener.close()

    asyncio.run(main())
