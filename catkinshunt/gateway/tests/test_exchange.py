import asyncio

import loguru
import pytest

from catkinshunt.gateway.tests import harness

header = harness.header


def run(main):
    return asyncio.run(main())


def test_reply_is_relayed_unchanged():
    async def main():
        upstream = harness.FakeUpstream(
            'u1', harness.replying(201, b'booked', [('X-Own', 'kept')])
        )
        async with harness.running_gateway(upstream) as gateway:
            reply = await gateway.request('/book/9', 'POST', b'die 4')
            return reply, upstream.heads

    (status, head, body), heads = run(main)
    assert (status, body) == (201, b'booked')
    assert header(head, 'Stamp') == 'stamp'
    assert header(head, 'X-Own') == 'kept'
    assert len(heads) == 1


def test_upstream_gets_the_account_and_never_the_key():
    """An upstream that got the API key could act as the account.

    An account header sent by the client must not reach the upstream either,
    or any client could act as any account.
    """

    async def main():
        upstream = harness.FakeUpstream('u1', harness.replying())
        async with harness.running_gateway(upstream) as gateway:
            await gateway.request('/read/1', Account='somebody-else')
        return upstream.heads[0]

    head = run(main)
    assert header(head, 'Account') == 'workshop'
    assert 'k1' not in head
    assert 'somebody-else' not in head


def test_upstream_deadline_is_shorter_than_the_clients():
    """An upstream must not work on beyond the deadline of its client."""

    async def main():
        upstream = harness.FakeUpstream('u1', harness.replying())
        async with harness.running_gateway(upstream) as gateway:
            await gateway.request('/book/1', Left_Ms='700')
            await gateway.request('/book/1', Left_Ms='60000')
        return [int(header(h, 'Left-Ms')) for h in upstream.heads]

    short, long = run(main)
    assert 600 <= short <= 700
    assert long <= 2000


@pytest.mark.parametrize(
    ('path', 'key', 'status'),
    [
        ('/nowhere/', 'k1', 404),
        ('/read', 'k1', 404),
        ('/read/1', 'k9', 401),
        ('/read/1', '', 401),
        ('/open/1', '', 200),
    ],
)
def test_admission_by_rule_and_key(path, key, status):
    async def main():
        upstream = harness.FakeUpstream('u1', harness.replying())
        async with harness.running_gateway(upstream) as gateway:
            found = await gateway.request(path, Api_Key=key)
            return found[0], len(upstream.heads)

    assert run(main) == (status, 1 if status == 200 else 0)


def test_stale_keys_are_not_accepted():
    """A key can be revoked while the store is unreachable.

    Once the configuration is stale, requests with keys are rejected with
    `Retry-After` and the connection is closed, so that the client reaches
    another process. Public paths are still served.
    """

    async def main():
        upstream = harness.FakeUpstream('u1', harness.replying())
        async with harness.running_gateway(upstream) as gateway:
            base = gateway.context.boot_clock
            gateway.context.boot_clock = lambda: base() + 3.5
            ready = gateway.server.is_ready()
            return (
                ready,
                await gateway.request('/read/1'),
                await gateway.request('/open/1', Api_Key=''),
            )

    ready, (status, head, _), public = run(main)
    assert not ready
    assert status == 503
    assert float(header(head, 'Retry-After')) > 0
    assert header(head, 'Connection') == 'close'
    assert public[0] == 200


def test_log_line_of_a_rejected_request_has_the_revision():
    """It shows whether a 404 is due to an outdated configuration."""
    records = []
    sink = loguru.logger.add(lambda line: records.append(line.record))

    async def main():
        async with harness.running_gateway() as gateway:
            return await gateway.request('/unknown/1')

    try:
        status = run(main)[0]
    finally:
        loguru.logger.remove(sink)
    [extra] = [r['extra'] for r in records if 'outcome' in r['extra']]
    assert (status, extra['outcome']) == (404, 'no-route')
    assert extra['revision'] == 1
    assert extra['age_s'] < 1.0


@pytest.mark.parametrize(
    ('path', 'key'), [('/unknown/1', 'k1'), ('/read/1', 'k9')]
)
def test_stale_configuration_does_not_deny(path, key):
    """A newer one may have the path or key; clients do not retry denials."""

    async def main():
        async with harness.running_gateway() as gateway:
            base = gateway.context.boot_clock
            early = await gateway.request(path, Api_Key=key)
            gateway.context.boot_clock = lambda: base() + 2.5
            return early, await gateway.request(path, Api_Key=key)

    early, (status, head, _) = run(main)
    assert early[0] in (401, 404)
    assert status == 503
    assert float(header(head, 'Retry-After')) > 0


def test_missing_configuration_does_not_deny():
    """A process that has just started has no rules and keys yet.

    It must reject requests as retriable; a 404 or 401 would be final for
    clients with a valid path and key.
    """

    async def main():
        async with harness.running_gateway() as gateway:
            gateway.context.catalog.declaration = None
            return await gateway.request('/read/1')

    assert run(main)[0] == 503


def test_request_waits_for_the_first_configuration():
    """After a power failure all entries start without configuration."""

    async def main():
        upstream = harness.FakeUpstream('u1', harness.replying())
        async with harness.running_gateway(upstream) as gateway:
            catalog = gateway.context.catalog
            known, catalog.declaration = catalog.declaration, None
            sent = asyncio.ensure_future(gateway.request('/read/1'))
            await asyncio.sleep(0.1)
            early = sent.done()
            catalog.declare(known)
            return early, (await sent)[0]

    assert run(main) == (False, 200)


def test_rejected_request_is_retried_at_another_upstream():
    async def main():
        full = harness.FakeUpstream('u1', harness.rejecting())
        free = harness.FakeUpstream('u2', harness.replying())
        async with harness.running_gateway(full, free) as gateway:
            found = [await gateway.request('/read/1') for _ in range(4)]
            return [reply[0] for reply in found], len(full.heads)

    statuses, rejected = run(main)
    assert statuses == [200] * 4
    assert rejected <= 1


def test_non_idempotent_request_is_not_retried_after_a_lost_reply():
    """The connection is lost while an upstream runs a booking.

    Whether it ran is unknown, and a retry could book twice. The client must
    get an unknown outcome, not a rejection.
    """

    async def lose(head, writer, upstream):
        return 'close'

    async def main():
        first = harness.FakeUpstream('u1', lose)
        second = harness.FakeUpstream('u2', lose)
        async with harness.running_gateway(first, second) as gateway:
            found = await gateway.request('/book/1', 'POST', b'x')
        return found[0], len(first.heads) + len(second.heads)

    assert run(main) == (502, 1)


def test_non_idempotent_request_uses_a_new_connection():
    """An upstream can close an idle connection as a request arrives.

    Whether the request ran is then unknown, so requests that must not run
    twice never reuse a connection.
    """

    async def main():
        upstream = harness.FakeUpstream('u1', harness.replying())
        async with harness.running_gateway(upstream) as gateway:
            await gateway.request('/read/1')
            found = gateway.context.catalog.find('u1')
            pool = gateway.context.pool(found)
            before = pool.opened
            await gateway.request('/read/2')
            kept = pool.opened - before
            await gateway.request('/book/1', 'POST', b'x')
            return kept, pool.opened - before

    assert run(main) == (0, 1)


@pytest.mark.parametrize('status', [408, 429, 503])
def test_rejection_status_without_not_run_header_is_not_relayed(status):
    """Clients take these statuses as a statement that nothing was run.

    A faulty upstream can send one after it ran a booking. Without `Not-Run`
    the status is not relayed, or the client would book again.
    """

    async def main():
        upstream = harness.FakeUpstream('u1', harness.replying(status, b''))
        async with harness.running_gateway(upstream) as gateway:
            return await gateway.request('/book/1', 'POST', b'x')

    status, head, _ = run(main)
    assert status == 502
    assert not header(head, 'Retry-After')
    assert not header(head, 'Stamp')


def test_rejection_after_an_attempt_that_may_have_run():
    """The first attempt loses its connection; there is no other upstream.

    That attempt may have run, so the reply must not state that the request
    was not run.
    """

    async def lose(head, writer, upstream):
        return 'close'

    async def main():
        first = harness.FakeUpstream('u1', lose)
        async with harness.running_gateway(first) as gateway:
            return await gateway.request('/read/1')

    assert run(main)[0] == 502


def test_retries_stay_within_the_budget():
    """If all upstreams fail, retries would double the load.

    Once the retry budget is spent, a failed request ends at once.
    """

    async def lose(head, writer, upstream):
        return 'close'

    async def main():
        upstreams = [harness.FakeUpstream(f'u{i}', lose) for i in range(2)]
        async with harness.running_gateway(
            *upstreams, retry_burst=1.0
        ) as gateway:
            for _ in range(10):
                await gateway.request('/read/1')
        return sum(len(upstream.heads) for upstream in upstreams)

    assert run(main) <= 12


def test_late_reply_to_another_request_is_dropped():
    """An upstream sends a second, late reply to an earlier request.

    It arrives where the next reply is expected, and is skipped by its
    request id.
    """

    async def answer(head, writer, upstream):
        other = head.replace('Request-Id: a1', 'Request-Id: a0')
        writer.write(harness.reply(other, body=b'not yours'))
        writer.write(harness.reply(head, body=b'yours'))

    async def main():
        async with harness.running_gateway(
            harness.FakeUpstream('u1', answer)
        ) as gateway:
            return await gateway.request('/read/1')

    assert run(main)[2] == b'yours'


def test_client_disconnect_resets_the_upstream_connection():
    """The client disconnects before the reply.

    The upstream must not continue the request. The connection is reset at
    once, so that a request still buffered for a suspended instance is
    dropped, and not run when the instance resumes.
    """

    async def slow(head, writer, upstream):
        await asyncio.sleep(60)

    async def main():
        upstream = harness.FakeUpstream('u1', slow)
        async with harness.running_gateway(upstream) as gateway:
            _, writer = await gateway.connect()
            await harness.send_request(writer, '/read/1')
            while not upstream.heads:
                await asyncio.sleep(0.01)
            writer.close()
            await asyncio.wait_for(upstream.closed.wait(), 2)
        return upstream.was_reset

    assert run(main)


def test_request_ends_at_its_deadline():
    """An upstream that hangs must not delay the reply past the deadline."""

    async def slow(head, writer, upstream):
        await asyncio.sleep(60)

    async def main():
        upstream = harness.FakeUpstream('u1', slow)
        async with harness.running_gateway(upstream) as gateway:
            clock = asyncio.get_running_loop().time
            began = clock()
            found = await gateway.request('/book/1', Left_Ms='300')
            return found[0], clock() - began

    status, took_s = run(main)
    assert status == 504
    assert took_s < 0.8


def test_request_without_an_upstream_is_rejected():
    async def main():
        async with harness.running_gateway() as gateway:
            return await gateway.request('/book/1')

    status, head, _ = run(main)
    assert status == 429
    assert float(header(head, 'Retry-After')) > 0


def test_connection_ends_after_a_malformed_request():
    """Thousands of such requests may wait behind the first one."""

    async def main():
        async with harness.running_gateway() as gateway:
            reader, writer = await gateway.connect()
            for _ in range(5):
                await harness.send_request(writer, '/read/1', Left_Ms='soon')
            async with asyncio.timeout(10):
                found = await reader.read()
            writer.close()
            return found

    found = run(main)
    assert found.startswith(b'HTTP/1.1 400')
    assert b'\r\nConnection: close\r\n' in found
    assert found.count(b'HTTP/1.1') == 1
