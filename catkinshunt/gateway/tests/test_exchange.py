import asyncio

import loguru
import pytest

from catkinshunt.gateway.tests import scene as scenes

field = scenes.field


def run(main):
    return asyncio.run(main())


def test_an_answer_comes_back_unchanged():
    async def main():
        upstream = scenes.FakeUpstream(
            'u1', scenes.answering(201, b'booked', [('X-Own', 'kept')])
        )
        async with scenes.scene(upstream) as scene:
            reply = await scene.request('/book/9', 'POST', b'die 4')
            return reply, upstream.heads

    (status, head, body), heads = run(main)
    assert (status, body) == (201, b'booked')
    assert field(head, 'Stamp') == 'stamp'
    assert field(head, 'X-Own') == 'kept'
    assert len(heads) == 1


def test_an_upstream_gets_the_account_and_never_the_key():
    """The key of an account opens everything that the account may do.

    An upstream that got it could act as the account; and one that believed
    the account named by the caller would serve anybody as anybody.
    """

    async def main():
        upstream = scenes.FakeUpstream('u1', scenes.answering())
        async with scenes.scene(upstream) as scene:
            await scene.request('/read/1', Account='somebody-else')
        return upstream.heads[0]

    head = run(main)
    assert field(head, 'Account') == 'workshop'
    assert 'k1' not in head
    assert 'somebody-else' not in head


def test_an_upstream_is_told_less_time_than_the_caller_has():
    """An upstream with more time than the caller works for nobody."""

    async def main():
        upstream = scenes.FakeUpstream('u1', scenes.answering())
        async with scenes.scene(upstream) as scene:
            await scene.request('/book/1', Left_Ms='700')
            await scene.request('/book/1', Left_Ms='60000')
        return [int(field(h, 'Left-Ms')) for h in upstream.heads]

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
def test_rules_and_keys_decide_who_is_served(path, key, status):
    async def main():
        upstream = scenes.FakeUpstream('u1', scenes.answering())
        async with scenes.scene(upstream) as scene:
            found = await scene.request(path, Api_Key=key)
            return found[0], len(upstream.heads)

    assert run(main) == (status, 1 if status == 200 else 0)


def test_keys_are_not_trusted_once_they_are_old():
    """A key can be taken away while the store is out of reach.

    After a while without word from the store the process refuses requests
    with keys, says when to come back, and closes the connection, so that the
    caller reaches another process. Public paths go on.
    """

    async def main():
        upstream = scenes.FakeUpstream('u1', scenes.answering())
        async with scenes.scene(upstream) as scene:
            base = scene.context.wall
            scene.context.wall = lambda: base() + 3.5
            ready = scene.server.is_ready()
            return (
                ready,
                await scene.request('/read/1'),
                await scene.request('/open/1', Api_Key=''),
            )

    ready, (status, head, _), public = run(main)
    assert not ready
    assert status == 503
    assert float(field(head, 'Retry-After')) > 0
    assert field(head, 'Connection') == 'close'
    assert public[0] == 200


def test_the_line_of_a_refused_request_names_the_revision_in_force():
    """Without it a 404 by an old configuration looks like a wrong path."""
    records = []
    sink = loguru.logger.add(lambda line: records.append(line.record))

    async def main():
        async with scenes.scene() as scene:
            return await scene.request('/unknown/1')

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
def test_an_old_configuration_is_no_reason_to_deny(path, key):
    """A newer one may have the path or the key; a denied caller is lost."""

    async def main():
        async with scenes.scene() as scene:
            base = scene.context.wall
            early = await scene.request(path, Api_Key=key)
            scene.context.wall = lambda: base() + 2.5
            return early, await scene.request(path, Api_Key=key)

    early, (status, head, _) = run(main)
    assert early[0] in (401, 404)
    assert status == 503
    assert float(field(head, 'Retry-After')) > 0


def test_nothing_known_is_no_reason_to_deny():
    """A process that has just started knows no rule and no key.

    Denying for good would turn away callers that are in the right; it says
    that the request was not run, and when to come back.
    """

    async def main():
        async with scenes.scene() as scene:
            scene.context.catalog.declaration = None
            return await scene.request('/read/1')

    assert run(main)[0] == 503


def test_a_request_waits_for_the_first_configuration():
    """After a loss of power all come to entries that know nothing yet."""

    async def main():
        upstream = scenes.FakeUpstream('u1', scenes.answering())
        async with scenes.scene(upstream) as scene:
            catalog = scene.context.catalog
            known, catalog.declaration = catalog.declaration, None
            asked = asyncio.ensure_future(scene.request('/read/1'))
            await asyncio.sleep(0.1)
            early = asked.done()
            catalog.declare(known)
            return early, (await asked)[0]

    assert run(main) == (False, 200)


def test_a_refused_request_goes_to_another_upstream():
    async def main():
        full = scenes.FakeUpstream('u1', scenes.refusing())
        free = scenes.FakeUpstream('u2', scenes.answering())
        async with scenes.scene(full, free) as scene:
            found = [await scene.request('/read/1') for _ in range(4)]
            return [reply[0] for reply in found], len(full.heads)

    statuses, refused = run(main)
    assert statuses == [200] * 4
    assert refused <= 1


def test_a_booking_is_sent_once_when_its_answer_is_lost():
    """An upstream runs a booking and its connection breaks.

    Nobody can tell whether it ran. Sent again it could be booked twice, so
    the caller is told that the outcome is open, and not that it did not run.
    """

    async def lose(head, writer, upstream):
        return 'close'

    async def main():
        first = scenes.FakeUpstream('u1', lose)
        second = scenes.FakeUpstream('u2', lose)
        async with scenes.scene(first, second) as scene:
            found = await scene.request('/book/1', 'POST', b'x')
        return found[0], len(first.heads) + len(second.heads)

    assert run(main) == (502, 1)


def test_a_booking_takes_a_new_connection():
    """A kept connection can be closed by the upstream as a request arrives.

    Whether the request ran is then unknown; a new connection is known not
    to be idle.
    """

    async def main():
        upstream = scenes.FakeUpstream('u1', scenes.answering())
        async with scenes.scene(upstream) as scene:
            await scene.request('/read/1')
            entry = scene.context.catalog.find('u1')
            pool = scene.context.pool(entry)
            before = pool.opened
            await scene.request('/read/2')
            kept = pool.opened - before
            await scene.request('/book/1', 'POST', b'x')
            return kept, pool.opened - before

    assert run(main) == (0, 1)


@pytest.mark.parametrize('status', [408, 429, 503])
def test_a_refusal_is_passed_on_only_if_it_is_true(status):
    """Some statuses promise that a request did not run.

    A faulty upstream can send one after it ran a booking. Without its word
    that it was not run, the caller must not be told so: it would book again.
    """

    async def main():
        upstream = scenes.FakeUpstream('u1', scenes.answering(status, b''))
        async with scenes.scene(upstream) as scene:
            return await scene.request('/book/1', 'POST', b'x')

    status, head, _ = run(main)
    assert status == 502
    assert not field(head, 'Retry-After')
    assert not field(head, 'Stamp')


def test_a_refusal_after_a_try_that_may_have_run_does_not_promise():
    """The first upstream breaks off, the second refuses.

    The second did not run it, but the first may have; so the answer must
    not say that it did not run.
    """

    async def lose(head, writer, upstream):
        return 'close'

    async def main():
        first = scenes.FakeUpstream('u1', lose)
        async with scenes.scene(first) as scene:
            return await scene.request('/read/1')

    assert run(main)[0] == 502


def test_retries_stay_within_their_budget():
    """With all upstreams failing, each request could be sent twice.

    That doubles the load at the worst moment. With the budget spent, a
    failed request ends at once.
    """

    async def lose(head, writer, upstream):
        return 'close'

    async def main():
        upstreams = [scenes.FakeUpstream(f'u{i}', lose) for i in range(2)]
        async with scenes.scene(*upstreams, retry_burst=1.0) as scene:
            for _ in range(10):
                await scene.request('/read/1')
        return sum(len(upstream.heads) for upstream in upstreams)

    assert run(main) <= 12


def test_a_late_answer_to_another_request_is_dropped():
    """An upstream answers an earlier request twice, late.

    The extra answer stands where the next one is expected. Its id belongs
    to another request, so it is skipped, and the caller gets its own.
    """

    async def answer(head, writer, upstream):
        other = head.replace('Request-Id: a1', 'Request-Id: a0')
        writer.write(scenes.reply(other, body=b'not yours'))
        writer.write(scenes.reply(head, body=b'yours'))

    async def main():
        async with scenes.scene(scenes.FakeUpstream('u1', answer)) as scene:
            return await scene.request('/read/1')

    assert run(main)[2] == b'yours'


def test_a_caller_that_leaves_ends_the_work_at_the_upstream():
    """A caller gives up before its answer has come.

    The upstream would go on for nobody; its connection is closed at once,
    and by a reset: a request that is still on its way, such as to an instance
    that stands still, is dropped then and not run when it wakes.
    """

    async def slow(head, writer, upstream):
        await asyncio.sleep(60)

    async def main():
        upstream = scenes.FakeUpstream('u1', slow)
        async with scenes.scene(upstream) as scene:
            _, writer = await scene.open()
            await scenes.send(writer, '/read/1')
            while not upstream.heads:
                await asyncio.sleep(0.01)
            writer.close()
            await asyncio.wait_for(upstream.closed.wait(), 2)
        return upstream.was_reset

    assert run(main)


def test_a_request_gets_its_final_answer_when_its_time_is_over():
    """An upstream that hangs must not hold its caller beyond the limit."""

    async def slow(head, writer, upstream):
        await asyncio.sleep(60)

    async def main():
        upstream = scenes.FakeUpstream('u1', slow)
        async with scenes.scene(upstream) as scene:
            clock = asyncio.get_running_loop().time
            began = clock()
            found = await scene.request('/book/1', Left_Ms='300')
            return found[0], clock() - began

    status, took_s = run(main)
    assert status == 504
    assert took_s < 0.8


def test_a_request_nobody_can_take_is_refused_in_time():
    async def main():
        async with scenes.scene() as scene:
            return await scene.request('/book/1')

    status, head, _ = run(main)
    assert status == 429
    assert float(field(head, 'Retry-After')) > 0
