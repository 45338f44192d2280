"""The log line of a request tells whose answer its client got."""

import asyncio

import loguru

from catkinshunt.gateway.tests import harness

LATE = harness.reply('Request-Id: a1', body=b'late')


def log_of_second_request(late, own, is_idle=False):
    """Return the notes on the second of two requests to an upstream.

    Args:
        late: bytes that follow the reply to the first request.
        own: function of a head that returns the bytes of the second reply.
        is_idle: whether the late bytes come before the second request.
    """

    async def answer(head, writer, upstream):
        if harness.header(head, 'Request-Id') == 'a1':
            writer.write(harness.reply(head, body=b'first'))
            if is_idle:
                await asyncio.sleep(0.01)
                writer.write(late)
            return
        writer.write((b'' if is_idle else late) + own(head))

    async def main():
        upstream = harness.FakeUpstream('u1', answer)
        async with harness.running_gateway(upstream) as gateway:
            await gateway.request('/read/1')
            await asyncio.sleep(0.03)
            await gateway.request('/read/2', Request_Id='a2')

    found = []
    sink = loguru.logger.add(lambda text: found.append(text.record))
    try:
        asyncio.run(main())
    finally:
        loguru.logger.remove(sink)
    (line,) = [
        each['extra'] for each in found if each['extra'].get('request') == 'a2'
    ]
    return '; '.join(line['tries'])


def failing(head):
    return harness.reply(head, 500, b'failed')


def without_id(head):
    return failing(head).replace(b'Request-Id', b'Xequest-Id')


def test_log_shows_the_reply_that_was_taken():
    """An operator could not tell a foreign answer from the true one."""
    tries = log_of_second_request(b'', failing)
    assert "500 'Internal Server Error', own id, request 2 of" in tries
    assert ' of a connection of 0.0' in tries
    assert ' s, 0 skipped' in tries


def test_log_shows_that_a_late_reply_was_skipped():
    """It is the only trace of an upstream that answers twice."""
    tries = log_of_second_request(LATE, failing)
    assert "500 'Internal Server Error', own id, request 2 of" in tries
    assert ' s, 1 skipped' in tries


def test_log_shows_joined_heads():
    """The status line of one reply and the fields of another made a head."""
    tries = log_of_second_request(LATE[:14], failing)
    assert 'a head within a head' in tries
    assert ' own id' not in tries


def test_log_shows_a_reply_without_id():
    """It may be the answer to any request."""
    tries = log_of_second_request(b'', without_id)
    assert "500 'Internal Server Error', no id, request 2 of" in tries
    assert 'a reply that states no request' in tries


def test_log_shows_that_a_connection_was_replaced():
    """Bytes that came while it was idle reach no reply."""
    for late in (LATE, LATE[:14]):
        tries = log_of_second_request(late, failing, is_idle=True)
        assert 'own id, request 1 of' in tries
        assert ' s, 0 skipped' in tries


def test_log_shows_a_reply_within_the_body_of_another():
    """An upstream that answers twice may mix both answers."""

    def mixed(head):
        own = harness.reply(head, body=b'x' * len(LATE))
        return own[: -len(LATE)] + LATE

    assert 'a reply within the body' in log_of_second_request(b'', mixed)


def test_log_shows_two_attempts():
    """One answer could be made of two attempts."""
    tries = []

    async def main():
        first = harness.FakeUpstream('u1', harness.replying(503))
        second = harness.FakeUpstream('u2', harness.replying())
        async with harness.running_gateway(first, second) as gateway:
            gateway.pause(second, 0.3)
            await gateway.request('/read/1', Request_Id='a2')

    sink = loguru.logger.add(
        lambda text: tries.extend(text.record['extra'].get('tries', ()))
    )
    try:
        asyncio.run(main())
    finally:
        loguru.logger.remove(sink)
    heads = [text for text in tries if 'own id' in text]
    assert [text[:7] for text in heads] == ['u1: 503', 'u2: 200']
