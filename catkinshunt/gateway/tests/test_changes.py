"""Requests at each stage beside each change; see
docs/design/requests-and-changes.md.
"""

import asyncio
import time

import loguru
import pytest

from catkinshunt.gateway import _relay
from catkinshunt.gateway.tests import changes
from catkinshunt.gateway.tests import harness
from catkinshunt.gateway.tests import test_streams
from catkinshunt import http1

Outcome = changes.Outcome
Stage = changes.Stage
REPEATABLE, ONCE = '/chat/1', '/once/1'
PATHS = (REPEATABLE, ONCE)
AFTER_READING = [s for s in Stage if s != Stage.READ]
#: Stages of a stream whose first upstream broke off.
BROKEN = (Stage.RESUMING, Stage.RESUMED)
KEPT = {Outcome.WHOLE}
#: Seconds between the starts of two trials.
START_S = 0.008
TURNED_AWAY = {Outcome.WHOLE, Outcome.REFUSED}
#: Stages at which the sidecars of the other engines have no permit left.
FULL = {Stage.ASKED, Stage.PERMIT, Stage.RESUMING}
#: Stages at which an engine has begun to run the request.
BEGUN = {Stage.HEAD, Stage.STREAMING}


def stages_of(path):
    """Return the stages that a request on `path` can have."""
    return [s for s in Stage if s not in BROKEN or path == REPEATABLE]


def cases_of(table, stages, versions=(1, 1, 1)):
    """Return the arguments of a `changes.Trial` by (path, stage, change)."""
    return {
        (path, stage, name): (stage, change, path, versions)
        for path in PATHS
        for stage in stages
        for name, change in table.items()
        if stage in stages_of(path)
    }


def without(stages, *others):
    return [stage for stage in stages if stage not in others]


#: Cases by the name of a table.
TABLES = {
    'failing': cases_of(changes.FAILING, Stage),
    'sound': cases_of(
        {**changes.EDITS, **changes.SILENCES, **changes.OTHERS}, AFTER_READING
    ),
    'read': cases_of(
        {
            **changes.EDITS,
            **changes.SILENCES,
            **changes.OTHERS,
            **changes.REMOVAL,
        },
        [Stage.READ],
    ),
    'removed': cases_of(changes.REMOVAL, AFTER_READING),
    'leaving': cases_of(changes.LEAVING, Stage),
    'due': cases_of(changes.DUE, Stage, versions=(1, 1, 2)),
    'due everywhere': cases_of(changes.DUE, Stage),
}


@pytest.fixture(scope='module')
def results():
    """Return the `changes.Trial` and outcome of each case, by table."""

    async def run_trial(trial, delay_s):
        await asyncio.sleep(delay_s)
        return trial, await trial.run()

    async def main():
        tasks = {}
        for table, cases in TABLES.items():
            for name, args in cases.items():
                work = run_trial(changes.Trial(*args), START_S * len(tasks))
                tasks[table, name] = asyncio.ensure_future(work)
        await asyncio.wait(tasks.values())
        found = {table: {} for table in TABLES}
        for (table, name), task in tasks.items():
            found[table][name] = task.result()
        return found

    # Writing their log lines would take longer than all trials.
    loguru.logger.disable('catkinshunt')
    try:
        return asyncio.run(main())
    finally:
        loguru.logger.enable('catkinshunt')


def select(found, stages):
    """Return the cases at some stages."""
    return {name: each for name, each in found.items() if name[1] in stages}


def find_wrong(found, allowed):
    """Return the outcomes that `allowed` does not permit, by case.

    Args:
        found: cases of `results`.
        allowed: function of the name of a case that returns a set.
    """
    return {
        (name[0], name[1].value, name[2]): outcome.value
        for name, (_, outcome) in found.items()
        if outcome not in allowed(name)
    }


def sent_to_left(found):
    """Return the cases in which an upstream got a request after it left."""
    return [
        name
        for name, (trial, _) in found.items()
        for left, left_at in trial.left
        for upstream, at in trial.sends
        if upstream == left and at > left_at
    ]


def begun_outdated(found):
    """Return the cases in which a run began on an outdated version.

    One that is sent just before the version is due may begin until the next
    check of the entry.
    """
    return [
        (name, upstream, round(at - trial.due_at, 2))
        for name, (trial, _) in found.items()
        for upstream, version, at in trial.runs
        if trial.due_at is not None
        and version < 2
        and at > trial.due_at + _relay.POLL_S
    ]


def run_twice(found):
    """Return the cases in which a request that may run once did not."""
    return [
        name
        for name, (trial, _) in found.items()
        if name[0] == ONCE and len(trial.sends) > 1
    ]


def test_change_beside_sound_upstreams_ends_no_answer(results):
    """A request that was admitted is lost by an edit, a roll or a silence."""
    found = results['sound']
    assert find_wrong(found, lambda name: KEPT) == {}
    assert run_twice(found) == []


def test_removed_service_ends_no_answer(results):
    """The requests of a service that is removed lose its profile."""
    stages = without(AFTER_READING, Stage.ASKED, Stage.RESUMING)
    found = select(results['removed'], stages)
    assert find_wrong(found, lambda name: TURNED_AWAY) == {}
    assert run_twice(found) == []


def test_service_removed_during_a_permit_search_ends_no_answer(results):
    """The next permit request cannot be made without the profile."""
    found = select(results['removed'], [Stage.ASKED, Stage.RESUMING])
    assert find_wrong(found, lambda name: TURNED_AWAY) == {}


def test_change_before_a_request_is_read_decides_it(results):
    """A request is admitted by the revision in force when it is read."""
    found = results['read']
    special = {
        # The time-out may be reached.
        'time-out shorter': TURNED_AWAY | {Outcome.UNKNOWN},
        'key removed': {Outcome.DENIED},
        'routes removed': {Outcome.DENIED},
        'routes and services removed': {Outcome.DENIED},
    }
    assert find_wrong(found, lambda name: special.get(name[2], KEPT)) == {}


def test_leaving_upstream_ends_its_answers_and_gets_no_others(results):
    """It gets a request that was chosen for it, or its answers are cut."""
    found = results['leaving']

    def allowed(name):
        if name[1] == Stage.RESUMING:
            # Its first upstream broke off, and no other one takes it.
            return {Outcome.WHOLE, Outcome.CUT}
        return TURNED_AWAY if name[1] in FULL else KEPT

    assert find_wrong(found, allowed) == {}
    assert sent_to_left(found) == []
    assert run_twice(found) == []


def find_wrong_beside_due(found):
    """Return the wrong outcomes where an engine has the due version."""

    def allowed(name):
        path, stage, change = name
        if stage in BEGUN:
            return KEPT
        if stage == Stage.RESUMING:
            return {Outcome.WHOLE, Outcome.CUT}
        if path == REPEATABLE:
            if stage not in FULL:
                return KEPT
            # The other engines have refused a permit before.
            is_sent = change in changes.DUE_LATER
            return TURNED_AWAY | ({Outcome.UNKNOWN} if is_sent else set())
        return TURNED_AWAY | {Outcome.UNKNOWN}

    return find_wrong(found, allowed)


def test_no_request_begins_on_a_version_that_became_outdated(results):
    """A request waits at an engine with the old version, or is sent there."""
    stages = without(Stage, Stage.CONNECTING, Stage.RESUMING)
    found = select(results['due'], stages)
    assert begun_outdated(found) == []
    assert find_wrong_beside_due(found) == {}
    assert run_twice(found) == []


@pytest.mark.parametrize('stage', [Stage.CONNECTING, Stage.RESUMING])
def test_no_request_is_sent_to_a_version_that_became_outdated(results, stage):
    """It became so while the request was about to be sent there."""
    found = select(results['due'], [stage])
    others = select(results['due everywhere'], [stage])
    assert begun_outdated(found) + begun_outdated(others) == []
    assert find_wrong_beside_due(found) == {}
    assert run_twice(found) == []


def test_no_request_begins_if_all_versions_became_outdated(results):
    """No engine has the version that became due, so all must wait."""
    stages = without(Stage, Stage.CONNECTING, Stage.RESUMING)
    found = select(results['due everywhere'], stages)

    def allowed(name):
        if name[1] in BEGUN:
            return KEPT
        if name[1] == Stage.RESUMED:
            # The first upstream broke off, and the next must not begin.
            return {Outcome.WHOLE, Outcome.CUT}
        if name[1] == Stage.QUEUED or name[2] in changes.DUE_LATER:
            # It may move to another engine before the version is due.
            return {Outcome.WHOLE, Outcome.REFUSED, Outcome.UNKNOWN}
        return {Outcome.REFUSED}

    assert begun_outdated(found) == []
    assert find_wrong(found, allowed) == {}


def test_failure_of_an_upstream_ends_only_what_cannot_be_repeated(results):
    """A request that another upstream may answer is lost with the first."""
    found = results['failing']

    def allowed(name):
        path, stage, _ = name
        if path == REPEATABLE and stage not in FULL:
            return KEPT
        # The first event has been relayed.
        if stage in (Stage.STREAMING, Stage.RESUMING):
            return {Outcome.CUT}
        return {Outcome.UNKNOWN}

    assert find_wrong(found, allowed) == {}
    assert run_twice(found) == []


def test_late_reply_does_not_hide_that_a_request_has_not_begun():
    """A late reply to another request precedes a request that is queued."""
    begun = []

    async def queued(head, writer, upstream):
        other = head.replace('Request-Id: a1', 'Request-Id: a0')
        writer.write(harness.reply(other))
        await asyncio.sleep(1.2)
        begun.append(upstream.name)
        await harness.streaming(2)(head, writer, upstream)

    async def main():
        engine = test_streams.make_engine('u1', queued)
        async with harness.running_gateway(engine) as gateway:
            context = gateway.context
            context.version_grace_s = 4.0
            context.catalog.add_announced_version(
                harness.MODEL, 2, context.boot_clock() - 3.4
            )
            return (await test_streams.chat(gateway))[0]

    status = asyncio.run(main())
    assert (status, begun) == (502, [])


def test_stall_of_the_entry_is_no_silence_of_its_upstreams():
    """An entry that stalls finds bytes of its upstreams when it goes on.

    Requests that it sends to others use up their tries and the retries.
    """
    pool = kept = None

    async def stalling(head, writer, upstream):
        if harness.header(head, 'Request-Id') == 'queued':
            await asyncio.sleep(1.5)
            return await harness.streaming(3)(head, writer, upstream)
        writer.write(harness.stream_head(head, upstream))
        writer.write(harness.chunk_of(1))
        await asyncio.sleep(0.3)
        writer.write(harness.chunk_of(2))
        pool.release(kept)
        # The entry is in the same event loop.
        time.sleep(0.8)
        for number in (3, 4, 5):
            writer.write(harness.chunk_of(number))
            await asyncio.sleep(0.2)
        writer.write(harness.LAST_CHUNK)

    async def main():
        nonlocal pool, kept
        first = test_streams.make_engine('u1', stalling)
        second = test_streams.make_engine('u2', harness.streaming(3))
        async with harness.running_gateway(first, second) as gateway:
            context = gateway.context
            state = context.tracker.state(second.listed())
            state.pause(context.clock(), 0.2)
            pool = context.pool(second.listed())
            kept = await pool.acquire()
            found = await asyncio.gather(
                test_streams.chat(gateway, Request_Id='queued'),
                test_streams.chat(gateway, Request_Id='streams'),
            )
            left = context.retry_budget('model').report()['tokens']
            return [reply[2] for reply in found], len(second.heads), left

    bodies = [test_streams.events(3), test_streams.events(5)]
    assert asyncio.run(main()) == (bodies, 0, 10.0)


def test_shorter_idle_limit_ends_no_request_of_a_kept_connection():
    """The limit of an idle connection is applied to one that is in use."""

    async def slow(head, writer, upstream):
        await asyncio.sleep(0.7)
        writer.write(harness.reply(head))

    async def request_twice(idle_s):
        upstream = harness.FakeUpstream('u1', slow)
        async with harness.running_gateway(upstream) as gateway:
            reader, writer = await gateway.connect()
            for _ in range(2):
                await harness.send_request(writer, '/read/1')
            await asyncio.sleep(0.1)
            gateway.declare(limits=http1.Limits(idle_s=idle_s))
            found = [await harness.read_reply(reader) for _ in range(2)]
            begun = time.monotonic()
            assert await reader.read() == b''
            idle_for_s = time.monotonic() - begun
            return [reply[0] for reply in found], idle_for_s > idle_s * 0.8

    async def main():
        return await asyncio.gather(*map(request_twice, (0.05, 0.5)))

    assert asyncio.run(main()) == [([200, 200], True)] * 2


def test_stopping_process_sends_the_rest_of_its_answers():
    """A client reads slowly, and the process ends with bytes unsent."""
    size = 1000 * 1000

    async def slow(head, writer, upstream):
        await asyncio.sleep(0.3)
        writer.write(harness.reply(head, body=b'x' * size))

    async def main():
        upstream = harness.FakeUpstream('u1', slow)
        async with harness.running_gateway(upstream) as gateway:
            sock = harness.connect_with_small_buffer(gateway.server.port)
            reader, writer = await asyncio.open_connection(sock=sock)
            await asyncio.sleep(0.05)
            [conn] = gateway.connections()
            harness.limit_send_buffer(conn.transport)
            await harness.send_request(writer, '/read/1')
            await asyncio.sleep(0.1)
            stopping = asyncio.ensure_future(gateway.server.stop(6.0))
            await asyncio.sleep(3.2)
            found = asyncio.ensure_future(harness.read_reply(reader))
            await stopping
            # The end of the process.
            if not conn.closed.done():
                conn.abort()
            status, _, body = await found
            return status, body is not None and len(body)

    assert asyncio.run(main()) == (200, size)
