"""Tests of calls to servers that answer a call twice, the second time late."""

import asyncio
import base64
import json
import urllib.parse

import pytest

from catkinshunt import catalog as catalogs
from catkinshunt import errors
from catkinshunt.http1.tests import repeating
from catkinshunt import platform
from catkinshunt.platform import _engine
from catkinshunt.platform import _store

VALUE = base64.b64encode(b'x').decode()


def call(answer, main):
    """Return the result of `main`, called with a server's address."""

    async def inside():
        async with repeating.RepeatingServer(answer).running() as address:
            return await asyncio.wait_for(main(address), 20)

    return asyncio.run(inside())


def call_store(answer, main):
    """Return the result of `main`, called with a client of the store."""

    async def inside(address):
        clock = asyncio.get_running_loop().time
        return await main(platform.StoreClient(address, clock))

    return call(answer, inside)


def call_engine(answer, main):
    """Return the result of `main`, called with a client of the engine."""

    async def inside(address):
        clock = asyncio.get_running_loop().time
        return await main(_engine.PlatformEngine(address, clock, clock))

    return call(answer, inside)


def call_origin(answer, main):
    """Return the result of `main`, called with a client of the origin."""

    async def inside(address):
        clock = asyncio.get_running_loop().time

        async def get_origin():
            return catalogs.Origin(address)

        return await main(_engine.PlatformOrigin(get_origin, clock, clock))

    return call(answer, inside)


def query(target):
    """Return the path and the query of a target."""
    parts = urllib.parse.urlsplit(target)
    return parts.path, dict(urllib.parse.parse_qsl(parts.query))


def answering(*answers):
    """Return an answer function that gives these, in order."""
    left = list(answers)
    return lambda method, target: left.pop(0)


def document(**fields):
    """Return an answer of 200 with a document."""
    return 200, json.dumps(fields).encode()


def keys(page):
    """Return the keys of a page."""
    return [item.key for item in page.items]


def test_items_of_another_prefix_are_not_read():
    """All upstreams counted as gone, or a configuration as an upstream."""

    def answer(method, target):
        prefix = query(target)[1]['path_prefix']
        row = {'key': f'{prefix}x', 'data': VALUE, 'revision': 3}
        return document(entries=[row], at=5, has_more=False)

    async def main(client):
        prefixes = ('op/', 'servers/', 'status/')
        return [keys(await client.read_prefix(p)) for p in prefixes]

    assert call_store(answer, main) == [['op/x'], ['servers/x'], ['status/x']]


def test_pages_of_one_read_are_each_read_once():
    """Items of one page were taken twice, and those of another left out."""

    def answer(method, target):
        after = query(target)[1].get('after', 'op/0')
        number = int(after[3:]) + 1
        row = {'key': f'op/{number}', 'data': VALUE, 'revision': 3}
        return document(entries=[row], at=5, has_more=number < 4)

    found = call_store(answer, lambda client: client.read_prefix('op/'))
    assert keys(found) == ['op/1', 'op/2', 'op/3', 'op/4']


def test_lease_of_an_earlier_call_is_not_granted_again():
    """Keys were written with a lease that had ended or was revoked."""
    answer = answering(*(document(lease=n, ttl_ms=9) for n in (1, 2, 3)))

    async def main(client):
        return [(await client.grant_lease(9.0)).id for _ in range(3)]

    assert call_store(answer, main) == [1, 2, 3]


@pytest.mark.parametrize(
    'change',
    [
        lambda client, lease: client.renew_lease(lease),
        lambda client, lease: client.write('a', b'x', lease),
        lambda client, lease: client.revoke_lease(lease),
    ],
)
def test_change_is_not_confirmed_by_an_earlier_answer(change):
    """A process counted as registered although its lease had ended."""
    answer = answering(document(revision=7), (404, b'{}'))

    async def main(client):
        lease = _store.Lease(1)
        await change(client, lease)
        with pytest.raises(_store.LeaseNotFoundError):
            await change(client, lease)

    call_store(answer, main)


def test_watch_does_not_skip_changes_of_its_prefix():
    """An empty answer about another prefix moved the watch past changes."""

    def answer(method, target):
        fields = query(target)[1]
        prefix, after = fields['path_prefix'], int(fields['after'])
        if prefix == 'op/' or after >= 8:
            return document(events=[], at=9)
        row = {'key': 'servers/x', 'data': VALUE, 'revision': 8}
        return document(events=[row], at=8)

    async def main(client):
        await client.watch('op/', platform.Revision(0, 4), 0.1)
        page = await client.watch('servers/', platform.Revision(0, 4), 0.1)
        return keys(page)

    assert call_store(answer, main) == ['servers/x']


@pytest.mark.parametrize(
    ('key', 'revision', 'at'),
    [('op/x', 8, 9), ('servers/x', 4, 9), ('servers/x', 8, 3)],
    ids=['prefix', 'change', 'store'],
)
def test_watch_takes_no_answer_of_another_call(key, revision, at):
    """Older changes would replace newer ones, or the watch would go back."""
    row = {'key': key, 'data': VALUE, 'revision': revision}
    answer = answering(document(events=[row], at=at))

    async def main(client):
        with pytest.raises(errors.StoreUnavailableError):
            await client.watch('servers/', platform.Revision(0, 4), 0.1)

    call_store(answer, main)


def test_order_is_not_accepted_by_an_earlier_answer():
    """A load counted as begun that the engine had rejected."""
    answer = answering((202, b''), (409, b''))

    async def main(engine):
        await engine.load('drafts', 1)
        with pytest.raises(errors.OrderError):
            await engine.load('drafts', 2)

    call_engine(answer, main)


def test_list_of_staged_chunks_is_that_of_its_model():
    """The chunks of one model counted as staged for another."""

    def answer(method, target):
        return document(held=[1, 2] if 'drafts' in target else [])

    async def main(engine):
        await engine.list_staged('drafts')
        return await engine.list_staged('pages')

    assert call_engine(answer, main) == []


def test_report_after_an_order_is_not_one_of_before():
    """The engine counted as idle, and got its order again."""
    model = {'name': 'drafts', 'version': 1, 'adapters': []}
    answer = answering(
        document(models=[model], busy=False),
        (202, b''),
        document(models=[model], busy=True),
    )

    async def main(engine):
        before = await engine.report()
        await engine.load('drafts', 2)
        return before.is_loading, (await engine.report()).is_loading

    assert call_engine(answer, main) == (False, True)


def manifest(model, version):
    """Return an answer with a manifest."""
    return document(
        model=model, version=version, chunk_bytes=4, digests=['0' * 64]
    )


def test_newest_version_is_not_that_of_an_earlier_answer():
    """An engine was brought to a version that is not the newest."""
    answer = answering(manifest('drafts', 1), manifest('drafts', 2))

    async def main(origin):
        await origin.newest_version('drafts')
        return await origin.newest_version('drafts')

    assert call_origin(answer, main) == 2


def test_manifest_of_another_model_is_not_taken():
    """All chunks would be rejected by the digests of the other model."""
    answer = answering(manifest('pages', 1))

    async def main(origin):
        with pytest.raises(errors.ManifestError):
            await origin.manifest('drafts', 1)

    call_origin(answer, main)


def test_version_is_not_withdrawn_by_an_earlier_answer():
    """The transfer of a version that the origin still has was given up."""

    def answer(method, target):
        version = query(target)[1]['version']
        return (410, b'') if version == '1' else (200, b'data')

    async def main(origin):
        with pytest.raises(errors.VersionWithdrawnError):
            await origin.chunk('drafts', 1, 0)
        return await origin.chunk('drafts', 2, 0)

    assert call_origin(answer, main) == b'data'
