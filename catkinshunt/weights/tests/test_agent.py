"""Tests of complete transfers over real sockets, with failures."""

import contextlib
import socket
import threading

import pytest

from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt.httpio import headers
from catkinshunt import weights
from catkinshunt.weights.tests import fleet as fleets
from standins import origin

NAMES = ('box-1', 'box-2', 'box-3', 'box-4')


@pytest.fixture
def fleet():
    with fleets.Fleet() as made:
        yield made


def assert_complete(fleet, target, names=None):
    expected = fleet.data(target.version)
    for name, data in fleet.wait_for_weights(target, names).items():
        assert data == expected, name


@pytest.mark.parametrize(('lean', 'copies'), [(0.0, 1.3), (1.0, 4.0)])
def test_all_instances_complete_with_few_origin_copies(fleet, lean, copies):
    for name in NAMES:
        fleet.add(name)
    assert_complete(fleet, fleet.offer(lean=lean))
    assert fleet.origin.bytes_sent <= copies * fleets.SIZE_BYTES


def test_other_instances_complete_when_one_dies(fleet):
    """An instance dies after it has sent some chunks.

    The others lose a source and the owner of some chunks. They must still
    complete, or engines would stay without the new model.
    """
    many_calls = threading.Event()
    for name in NAMES:
        fleet.add(name, wrap=lambda app: count_calls(app, 20, many_calls))
    target = fleet.offer()
    assert many_calls.wait(fleets.TIMEOUT_S)
    fleet.instances.pop('box-1').stop()
    assert_complete(fleet, target)


def count_calls(app, n_calls, event):
    """Return `app` wrapped to set `event` after `n_calls` requests."""
    seen = []

    def counted(environ, start_response):
        seen.append(environ['PATH_INFO'])
        if len(seen) >= n_calls:
            event.set()
        return app(environ, start_response)

    return counted


def test_peer_with_a_stalled_link_is_avoided(fleet):
    """The link of an instance stalls: it accepts connections without replying.

    A transfer that waited for it for ever would never complete.
    """
    with contextlib.closing(socket.create_server(('127.0.0.1', 0))) as sock:
        address = httpio.Address('127.0.0.1', sock.getsockname()[1])
        fleet.add_unserved_member('box-0', address)
        for name in NAMES[:3]:
            fleet.add(name)
        assert_complete(fleet, fleet.offer())


def test_peer_that_sends_corrupt_chunks_is_avoided(fleet):
    """An instance with faulty memory flips a bit in each chunk that it sends.

    Its peers must detect this by the digest, avoid it and get the chunk
    elsewhere; otherwise an engine would serve mixed weights.
    """
    fleet.add('box-1', wrap=flip_chunks)
    for name in NAMES[1:]:
        fleet.add(name)
    target = fleet.offer()
    assert_complete(fleet, target)
    reports = [fleet.instances[name].agent.report(0.0) for name in NAMES[1:]]
    refused = sum(report.corrupt_chunks for report in reports)
    # Each of the others requests a few chunks from it before the first one is
    # verified, and then avoids it.
    assert 1 <= refused <= 6


def flip_chunks(app):
    """Return `app` wrapped to flip one bit in each chunk."""

    def flipped(environ, start_response):
        body = b''.join(app(environ, start_response))
        if environ['PATH_INFO'].rpartition('/')[2].isdecimal() and body:
            body = bytes([body[0] ^ 1]) + body[1:]
        return [body]

    return flipped


def test_a_version_that_changes_in_flight_never_mixes(fleet):
    """Operators accept a second version during the transfer of the first.

    The first transfer must end at once, and none of its chunks may be used
    for the second.
    """
    many_calls = threading.Event()
    for name in NAMES:
        fleet.add(name, wrap=lambda app: count_calls(app, 10, many_calls))
    first = fleet.offer('v1')
    assert many_calls.wait(fleets.TIMEOUT_S)
    old = [
        instance.agent.transfer(*first.key)
        for instance in fleet.instances.values()
    ]
    second = fleet.offer('v2')
    assert_complete(fleet, second)
    assert all(one.failed for one in old if one is not None)
    assert all(one.store.bitmap == 0 for one in old if one is not None)
    for instance in fleet.instances.values():
        assert instance.agent.transfer(*first.key) is None


def test_restarted_instance_pulls_only_from_peers(fleet):
    """An instance restarts without its chunks after all were complete.

    Its peers have all chunks, so the origin's costly link must stay idle.
    """
    for name in NAMES:
        fleet.add(name)
    target = fleet.offer()
    assert_complete(fleet, target)
    before = fleet.origin.bytes_sent
    fleet.instances.pop('box-2').stop()
    fleet.add('box-2')
    fleet.offer(names=['box-2'])
    assert_complete(fleet, target, ['box-2'])
    assert fleet.origin.bytes_sent == before


def test_chunks_owned_by_removed_instances_are_fetched(fleet):
    """The instance list is stale and has instances that no longer exist.

    Some of them are owners of chunks; failover owners must fetch these.
    """
    with contextlib.closing(socket.create_server(('127.0.0.1', 0))) as sock:
        gone = httpio.Address('127.0.0.1', sock.getsockname()[1])
    for number in range(3):
        fleet.add_unserved_member(f'gone-{number}', gone)
    for name in NAMES[:3]:
        fleet.add(name)
    assert_complete(fleet, fleet.offer())
    assert fleet.origin.bytes_sent <= 1.5 * fleets.SIZE_BYTES


def test_origin_outage_only_delays_the_transfer():
    """The origin is unreachable when a version is accepted.

    The agents must keep retrying and complete once it is reachable again.
    """
    with fleets.Fleet(origin_up=False) as fleet:
        tried = threading.Event()
        instance = fleet.add('box-1')
        find = instance.agent._find_manifest

        def note(*args):
            found = find(*args)
            tried.set()
            return found

        instance.agent._find_manifest = note
        target = fleet.offer()
        assert tried.wait(fleets.TIMEOUT_S)
        assert instance.agent.transfer(*target.key) is None
        fleet.serve(fleet.origin.app, fleet.origin_address.port)
        assert_complete(fleet, target)


def make_store(**params):
    store = origin.Origin(**params)
    store.publish(fleets.MODEL, 'v1', fleets.SIZE_BYTES)
    return store


@pytest.mark.parametrize('lean', [0.0, 1.0])
def test_busy_store_is_waited_for_unless_lean_prefers_time(lean):
    """The rate-limited store replies 429 with a retry time.

    With a `lean` towards origin bytes, the agents wait for it; with a `lean`
    towards time, they use the origin at once.
    """
    store = make_store(rate_bytes_per_s=2e6, refuse_when_busy=True)
    with fleets.Fleet(store, chunk_bytes=100_000) as fleet:
        for name in NAMES[:2]:
            fleet.add(name)
        assert_complete(fleet, fleet.offer(lean=lean))
        assert store.bytes_sent > 0
        assert (fleet.origin.bytes_sent > 0) == (lean > 0)


def test_store_without_the_version_is_skipped():
    """The weight store does not have the new version yet.

    The origin has it; a 404 from the store must not stop the transfer.
    """
    with fleets.Fleet(origin.Origin()) as fleet:
        fleet.add('box-1')
        assert_complete(fleet, fleet.offer())


def test_inconsistent_manifest_is_never_served(fleet):
    """A manifest has correct chunk digests and a wrong total digest.

    None of its chunks may be used.
    """
    instance = fleet.add('box-1')
    data = bytearray(fleet.data('v1'))
    fleet.origin._manifest = None
    manifest = weights.Manifest.from_bytes(
        fleets.MODEL, 'v1', bytes(data), fleets.CHUNK_BYTES
    )
    raw = manifest.dumps().replace(manifest.digest.encode(), b'0' * 64)
    instance.agent._fetch_manifest_from_peers = lambda target: raw
    target = fleet.offer()
    with instance.agent._changed:
        found = instance.agent._changed.wait_for(
            lambda: instance.agent._transfer is not None, fleets.TIMEOUT_S
        )
    assert found
    assert not instance.agent._transfer.wait_complete(fleets.TIMEOUT_S)
    assert instance.agent.transfer(*target.key) is None


@pytest.mark.parametrize('key', ['', 'another-key', 'é'])
def test_chunks_need_the_deployments_key(fleet, key):
    """A client, or a process of another deployment, requests weights."""
    instance = fleet.add('box-1')
    target = fleet.offer()
    assert_complete(fleet, target)
    fields = {headers.DEPLOYMENT_KEY: key.encode()}
    for what in ('manifest', 'holdings', '0'):
        path = f'/chunks/{fleets.MODEL}/v1/{what}'
        reply = httpio.exchange(instance.address, 'GET', path, headers=fields)
        assert reply.status == errors.InvalidRequestError.status


@pytest.mark.parametrize(
    ('path', 'status'),
    [
        ('/chunks/drafts/v1/999', 404),
        ('/chunks/drafts/v2/0', 404),
        ('/chunks/drafts/v1/-1', 400),
        ('/chunks/drafts/v1/x', 400),
        ('/chunks/drafts', 400),
    ],
)
def test_wrong_paths_get_a_clear_status(fleet, path, status):
    instance = fleet.add('box-1')
    assert_complete(fleet, fleet.offer())
    fields = {headers.DEPLOYMENT_KEY: fleets.KEY}
    reply = httpio.exchange(instance.address, 'GET', path, headers=fields)
    assert reply.status == status


@pytest.mark.parametrize('answer', ['cut', 'long', 'headers', 'refused'])
def test_peer_with_invalid_replies_is_skipped(fleet, answer):
    """Another server listens at a sidecar's address, or a reply is damaged.

    The chunk must be pulled from another source, and no wrong byte stored.
    """

    def send_invalid_reply(environ, start_response):
        fields = [
            ('Catkinshunt-Holdings', 'f' * 10),
            ('Catkinshunt-Uploaded-Copies', '0.0'),
        ]
        if answer == 'headers':
            fields = [('Catkinshunt-Holdings', '-1')]
        size = {'cut': 20_000, 'long': 5}.get(answer, fleets.CHUNK_BYTES)
        status = '403 Forbidden' if answer == 'refused' else '200 OK'
        start_response(status, [*fields, ('Content-Length', str(size))])
        return [b'x' * fleets.CHUNK_BYTES]

    fleet.add_unserved_member('box-0', fleet.serve(send_invalid_reply))
    for name in NAMES[:2]:
        fleet.add(name)
    assert_complete(fleet, fleet.offer())
