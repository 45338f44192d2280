"""Bytes of an upstream that do not belong to the request that waits."""

import asyncio

import pytest

from catkinshunt.gateway.tests import harness
from catkinshunt import http1

#: Replies that are late: the upstream answers its first request once more.
LATE_SUCCESS = harness.reply(
    'Request-Id: a1', body=b'late', items=[('Content-Type', 'text/plain')]
)


def answering_late(late, is_idle):
    """Return an answer function that repeats a part of its first reply.

    The second request on a connection is answered with a failure.

    Args:
        late: bytes that follow the first reply later.
        is_idle: whether they arrive before the second request is sent, and
            not just before its reply.
    """

    async def answer(head, writer, upstream):
        if harness.header(head, 'Request-Id') == 'a1':
            writer.write(harness.reply(head, body=b'first'))
            if is_idle:
                await asyncio.sleep(0.01)
                writer.write(late)
            return
        if not is_idle:
            writer.write(late)
            await writer.drain()
            await asyncio.sleep(0.01)
        writer.write(harness.reply(head, 500, b'failed'))

    return answer


async def request_twice(late, is_idle):
    """Return the reply to the second of two requests to one upstream."""
    upstream = harness.FakeUpstream('u1', answering_late(late, is_idle))
    async with harness.running_gateway(upstream) as gateway:
        await gateway.request('/read/1')
        if is_idle:
            await asyncio.sleep(0.03)
        return await gateway.request('/read/2', Request_Id='a2', Left_Ms='900')


@pytest.mark.parametrize('is_idle', [True, False])
def test_head_of_a_late_reply_is_not_joined_with_the_next_one(is_idle):
    """A caller would get a success where its upstream answered a failure."""
    head_size = LATE_SUCCESS.index(b'\r\n\r\n') + 4

    async def main():
        cuts = range(1, head_size)
        return await asyncio.gather(
            *(request_twice(LATE_SUCCESS[:cut], is_idle) for cut in cuts)
        )

    replies = asyncio.run(main())
    joined = [
        (cut, reply)
        for cut, reply in enumerate(replies, 1)
        if reply[0] not in (500, 502)
    ]
    assert joined == []


@pytest.mark.parametrize('is_idle', [True, False])
def test_body_of_a_late_reply_does_not_hold_the_next_one(is_idle):
    """A caller would wait until its deadline for a reply that was swallowed.

    The reply that is cut off is skipped, and takes the next one for its rest.
    """
    body = b'late' * 100
    late = harness.reply('Request-Id: a1', body=body)

    async def main():
        cuts = range(-len(body), 0, 7)
        return await asyncio.gather(
            *(request_twice(late[:cut], is_idle) for cut in cuts)
        )

    assert {status for status, _, _ in asyncio.run(main())} <= {500, 502}


def test_whole_late_reply_is_skipped():
    """The awaited reply follows it, so the caller need not ask again."""

    async def main():
        late = await request_twice(LATE_SUCCESS, False)
        idle = await request_twice(LATE_SUCCESS, True)
        return late, idle

    for status, _, body in asyncio.run(main()):
        assert (status, body) == (500, b'failed')


def test_peer_that_answers_twice_gets_one_request_a_connection():
    """Bytes that are late can only reach the next request of a connection."""

    async def answer(head, writer, upstream):
        if harness.header(head, 'Request-Id') == 'a2':
            writer.write(LATE_SUCCESS)
        writer.write(harness.reply(head))

    async def main():
        upstream = harness.FakeUpstream('u1', answer)
        async with harness.running_gateway(upstream) as gateway:
            opened = []
            for number in range(1, 6):
                await gateway.request('/read/1', Request_Id=f'a{number}')
                pool = gateway.context.pool(upstream.listed())
                opened.append(pool.opened)
            return opened

    assert asyncio.run(main()) == [1, 1, 2, 3, 4]


def send_without(name, status=200):
    """Return an answer function whose replies lack a header."""

    async def answer(head, writer, upstream):
        data = harness.reply(head, status, b'whose')
        at = data.index(name)
        writer.write(data[:at] + b'X' + data[at + 1 :])

    return answer


async def read_twice(answer):
    """Return two replies of an upstream, and one with another beside it."""
    upstream = harness.FakeUpstream('u1', answer)
    other = harness.FakeUpstream('u2', harness.replying(body=b'sound'))
    async with harness.running_gateway(upstream) as gateway:
        replies = [
            await gateway.request('/read/1'),
            await gateway.request('/read/1', Request_Id='a2'),
        ]
        await other.start()
        gateway.context.catalog.put_upstream(other.listed())
        gateway.pause(other, 0.3)
        replies.append(await gateway.request('/read/1', Request_Id='a3'))
        return replies


@pytest.mark.parametrize('status', [200, 500, 503])
def test_reply_without_id_is_not_taken_for_the_awaited_one(status):
    """A caller would get the answer to the request of another caller."""
    *alone, beside = asyncio.run(
        read_twice(send_without(b'Request-Id', status))
    )
    assert [reply[0] for reply in alone] == [502, 502]
    assert beside[::2] == (200, b'sound')


def test_reply_without_id_does_not_state_that_the_request_was_not_run():
    """A booking would run twice if another one's rejection counted for it."""

    async def answer(head, writer, upstream):
        data = harness.reply(head, 503, b'', [('Not-Run', '1')])
        writer.write(data.replace(b'Request-Id', b'Xequest-Id'))

    async def main():
        upstream = harness.FakeUpstream('u1', answer)
        other = harness.FakeUpstream('u2', harness.replying())
        async with harness.running_gateway(upstream, other) as gateway:
            gateway.pause(other, 0.3)
            reply = await gateway.request('/book/1', 'POST', b'one')
            return reply[0], other.heads

    assert asyncio.run(main()) == (502, [])


def test_rejection_behind_a_reply_with_a_wrong_id_does_not_count():
    """A booking that has run would be refused as not run, and run again."""

    async def answer(head, writer, upstream):
        spoilt = harness.reply(head).replace(b'Id: a1', b'Id: a3')
        writer.write(
            spoilt + harness.reply(head, 503, b'', [('Not-Run', '1')])
        )

    async def main():
        upstream = harness.FakeUpstream('u1', answer)
        other = harness.FakeUpstream('u2', harness.replying())
        async with harness.running_gateway(upstream, other) as gateway:
            gateway.pause(other, 0.3)
            reply = await gateway.request('/book/1', 'POST', b'one')
            return reply[0], other.heads

    assert asyncio.run(main()) == (502, [])


@pytest.mark.parametrize('path, status', [('/read/1', 200), ('/book/1', 503)])
def test_other_upstream_at_an_address_has_not_run_the_request(path, status):
    """A booking would end as unknown, as the rejection states no request."""

    async def answer(head, writer, upstream):
        writer.write(http1.dump_reply(421, [('Not-Run', '1')]))

    async def main():
        stranger = harness.FakeUpstream('u1', answer)
        other = harness.FakeUpstream('u2', harness.replying(body=b'sound'))
        async with harness.running_gateway(stranger, other) as gateway:
            gateway.pause(other, 0.3)
            return await gateway.request(path, 'POST', b'one')

    assert asyncio.run(main())[0] == status


def test_load_of_another_upstream_at_an_address_is_ignored():
    """Requests would avoid, or overload, the upstream that was meant."""

    async def answer(head, writer, upstream):
        items = [('Request-Id', 'a1'), ('Not-Run', '1'), ('Load', '9,9,9')]
        writer.write(http1.dump_reply(421, items))

    async def main():
        upstream = harness.FakeUpstream('u1', answer)
        async with harness.running_gateway(upstream) as gateway:
            await gateway.request('/read/1')
            return gateway.context.tracker.state(upstream.listed()).load

    assert asyncio.run(main()) is None


def test_rejection_on_a_used_connection_states_its_request():
    """It may be a late one, and the request may run."""

    async def answer(head, writer, upstream):
        if len(upstream.heads) == 1:
            writer.write(harness.reply(head))
            return
        writer.write(http1.dump_reply(421, [('Not-Run', '1')]))

    async def main():
        upstream = harness.FakeUpstream('u1', answer)
        async with harness.running_gateway(upstream) as gateway:
            await gateway.request('/read/1')
            return await gateway.request('/read/1', Request_Id='a2')

    assert asyncio.run(main())[0] == 502


def test_success_without_a_signature_is_sent_elsewhere():
    """It does not count, and may be what no upstream has answered."""
    *alone, beside = asyncio.run(read_twice(send_without(b'Stamp')))
    assert [reply[0] for reply in alone] == [502, 502]
    assert beside[::2] == (200, b'sound')


def test_failure_without_a_signature_is_relayed():
    """Only a success has to be signed."""
    *alone, _ = asyncio.run(read_twice(send_without(b'Stamp', 500)))
    assert [reply[0] for reply in alone] == [500, 500]


def test_reply_that_is_longer_than_it_says_is_not_relayed():
    """One wrong digit of the length would cut a whole answer short."""

    async def answer(head, writer, upstream):
        data = harness.reply(head, body=b'eight by')
        writer.write(data.replace(b'Length: 8', b'Length: 0'))

    *alone, beside = asyncio.run(read_twice(answer))
    assert [reply[0] for reply in alone] == [502, 502]
    assert beside[::2] == (200, b'sound')


def test_reply_before_a_second_one_is_relayed():
    """The second one shows that the first one is whole."""

    async def answer(head, writer, upstream):
        data = harness.reply(head, body=b'whole')
        writer.write(data + data)

    *alone, _ = asyncio.run(read_twice(answer))
    assert [reply[2] for reply in alone] == [b'whole', b'whole']
