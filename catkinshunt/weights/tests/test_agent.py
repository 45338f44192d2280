"""Tests of whole transfers over real sockets, under failure."""

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


def assert_whole(fleet, wanted, names=None):
    expected = fleet.data(wanted.version)
    for name, data in fleet.whole(wanted, names).items():
        assert data == expected, name


@pytest.mark.parametrize(('lean', 'copies'), [(0.0, 1.3), (1.0, 4.0)])
def test_all_become_whole_from_few_origin_copies(fleet, lean, copies):
    for name in NAMES:
        fleet.add(name)
    assert_whole(fleet, fleet.offer(lean=lean))
    assert fleet.origin.bytes_sent <= copies * fleets.SIZE_BYTES


def test_an_instance_that_dies_midway_leaves_the_others_whole(fleet):
    """One of the machines vanishes when it has passed on some chunks.

    The others lose a source, and some chunks it was to draw. They must still
    become whole, or runners stay without the new model.
    """
    half = threading.Event()
    for name in NAMES:
        fleet.add(name, wrap=lambda app: count_calls(app, 20, half))
    wanted = fleet.offer()
    assert half.wait(fleets.TIMEOUT_S)
    fleet.boxes.pop('box-1').stop()
    assert_whole(fleet, wanted)


def count_calls(app, n_calls, event):
    """Set `event` when `app` has answered `n_calls`."""
    seen = []

    def counted(environ, start_response):
        seen.append(environ['PATH_INFO'])
        if len(seen) >= n_calls:
            event.set()
        return app(environ, start_response)

    return counted


def test_a_stalled_link_is_left_alone(fleet):
    """A machine's link stalls: it takes connections and answers nothing.

    Whoever waits for it for ever is never whole.
    """
    with contextlib.closing(socket.create_server(('127.0.0.1', 0))) as sock:
        address = httpio.Address('127.0.0.1', sock.getsockname()[1])
        fleet.add_ghost('box-0', address)
        for name in NAMES[:3]:
            fleet.add(name)
        assert_whole(fleet, fleet.offer())


def test_a_peer_that_sends_wrong_chunks_is_marked(fleet):
    """A machine with bad memory flips a bit in each chunk that it sends.

    Its peers must notice by the digest, leave it alone and get the chunk
    elsewhere; without that an engine would serve mixed weights.
    """
    fleet.add('box-1', wrap=flip_chunks)
    for name in NAMES[1:]:
        fleet.add(name)
    wanted = fleet.offer()
    assert_whole(fleet, wanted)
    reports = [fleet.boxes[name].agent.report(0.0) for name in NAMES[1:]]
    refused = sum(report.corrupt_chunks for report in reports)
    # Each of the others asks it for a few chunks before the first is
    # checked, and then leaves it alone.
    assert 1 <= refused <= 6


def flip_chunks(app):
    """Return `app` with one bit flipped in each chunk."""

    def flipped(environ, start_response):
        body = b''.join(app(environ, start_response))
        if environ['PATH_INFO'].rpartition('/')[2].isdecimal() and body:
            body = bytes([body[0] ^ 1]) + body[1:]
        return [body]

    return flipped


def test_a_version_that_changes_in_flight_never_mixes(fleet):
    """Operators accept a second version while the first is on its way.

    The first must end at once, and no chunk of it may reach the second.
    """
    half = threading.Event()
    for name in NAMES:
        fleet.add(name, wrap=lambda app: count_calls(app, 10, half))
    first = fleet.offer('v1')
    assert half.wait(fleets.TIMEOUT_S)
    old = [box.agent.transfer(*first.key) for box in fleet.boxes.values()]
    second = fleet.offer('v2')
    assert_whole(fleet, second)
    assert all(one.failed for one in old if one is not None)
    assert all(one.store.bitmap == 0 for one in old if one is not None)
    for box in fleet.boxes.values():
        assert box.agent.transfer(*first.key) is None


def test_a_restarted_instance_fills_itself_from_peers(fleet):
    """A machine is replaced after all were whole; it keeps nothing.

    Its peers have all it needs, so the origin's costly link stays idle.
    """
    for name in NAMES:
        fleet.add(name)
    wanted = fleet.offer()
    assert_whole(fleet, wanted)
    before = fleet.origin.bytes_sent
    fleet.boxes.pop('box-2').stop()
    fleet.add('box-2')
    fleet.offer(names=['box-2'])
    assert_whole(fleet, wanted, ['box-2'])
    assert fleet.origin.bytes_sent == before


def test_listed_instances_that_are_gone_are_taken_over(fleet):
    """The instance list lags and still names machines that are gone.

    Some of them would be the first to draw chunks; others must step in.
    """
    with contextlib.closing(socket.create_server(('127.0.0.1', 0))) as sock:
        gone = httpio.Address('127.0.0.1', sock.getsockname()[1])
    for number in range(3):
        fleet.add_ghost(f'gone-{number}', gone)
    for name in NAMES[:3]:
        fleet.add(name)
    assert_whole(fleet, fleet.offer())
    assert fleet.origin.bytes_sent <= 1.5 * fleets.SIZE_BYTES


def test_an_origin_that_is_down_for_a_while_only_delays():
    """The origin cannot be reached when a version is accepted.

    The agents must go on trying, and be whole once it is back.
    """
    with fleets.Fleet(origin_up=False) as fleet:
        tried = threading.Event()
        box = fleet.add('box-1')
        find = box.agent._find_manifest

        def note(*args):
            found = find(*args)
            tried.set()
            return found

        box.agent._find_manifest = note
        wanted = fleet.offer()
        assert tried.wait(fleets.TIMEOUT_S)
        assert box.agent.transfer(*wanted.key) is None
        fleet.serve(fleet.origin.app, fleet.origin_address.port)
        assert_whole(fleet, wanted)


def make_store(**params):
    store = origin.Origin(**params)
    store.publish(fleets.MODEL, 'v1', fleets.SIZE_BYTES)
    return store


@pytest.mark.parametrize('lean', [0.0, 1.0])
def test_a_busy_store_is_waited_for_unless_time_counts_more(lean):
    """The rate-limited store answers 429 with a time to come back.

    Leaning towards origin bytes the agents wait for it; leaning towards
    time they turn to the origin at once.
    """
    store = make_store(rate_bytes_per_s=2e6, refuse_when_busy=True)
    with fleets.Fleet(store, chunk_bytes=100_000) as fleet:
        for name in NAMES[:2]:
            fleet.add(name)
        assert_whole(fleet, fleet.offer(lean=lean))
        assert store.bytes_sent > 0
        assert (fleet.origin.bytes_sent > 0) == (lean > 0)


def test_a_store_without_the_version_is_passed_over():
    """The weight store does not have the new version yet.

    The origin does; a store that says 404 must not stop the transfer.
    """
    with fleets.Fleet(origin.Origin()) as fleet:
        fleet.add('box-1')
        assert_whole(fleet, fleet.offer())


def test_an_inconsistent_whole_is_never_given_out(fleet):
    """A manifest carries the digest of other weights than its chunks make.

    Each chunk is right and the whole is not; nothing of it may be used.
    """
    box = fleet.add('box-1')
    data = bytearray(fleet.data('v1'))
    fleet.origin._manifest = None
    manifest = weights.Manifest.from_bytes(
        fleets.MODEL, 'v1', bytes(data), fleets.CHUNK_BYTES
    )
    raw = manifest.dumps().replace(manifest.digest.encode(), b'0' * 64)
    box.agent._ask_peers = lambda wanted: raw
    wanted = fleet.offer()
    with box.agent._changed:
        found = box.agent._changed.wait_for(
            lambda: box.agent._transfer is not None, fleets.TIMEOUT_S
        )
    assert found
    assert not box.agent._transfer.wait_complete(fleets.TIMEOUT_S)
    assert box.agent.transfer(*wanted.key) is None


@pytest.mark.parametrize('key', ['', 'another-key', 'é'])
def test_chunks_need_the_deployments_key(fleet, key):
    """A caller, or a process of another deployment, asks for weights."""
    box = fleet.add('box-1')
    wanted = fleet.offer()
    assert_whole(fleet, wanted)
    fields = {headers.DEPLOYMENT_KEY: key.encode()}
    for what in ('manifest', 'holdings', '0'):
        path = f'/chunks/{fleets.MODEL}/v1/{what}'
        reply = httpio.exchange(box.address, 'GET', path, headers=fields)
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
    box = fleet.add('box-1')
    assert_whole(fleet, fleet.offer())
    fields = {headers.DEPLOYMENT_KEY: fleets.KEY}
    reply = httpio.exchange(box.address, 'GET', path, headers=fields)
    assert reply.status == status


@pytest.mark.parametrize('answer', ['cut', 'long', 'headers', 'refused'])
def test_a_peer_that_answers_nonsense_is_passed_over(fleet, answer):
    """Something else listens where a sidecar was, or a reply is damaged.

    It must cost a retry elsewhere, and no wrong byte may be held.
    """

    def nonsense(environ, start_response):
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

    fleet.add_ghost('box-0', fleet.serve(nonsense))
    for name in NAMES[:2]:
        fleet.add(name)
    assert_whole(fleet, fleet.offer())
