"""Tests of control planes over real sockets, with platform stand-ins."""

import threading
import time

import pytest

from catkinshunt.cli import _edit_push
from catkinshunt import configuration
from catkinshunt.configuration.tests import fakes as store_fakes
from catkinshunt import control
from catkinshunt.dissemination.tests import fakes
from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt import kvstore
from catkinshunt import settings
from standins import instance_list
from standins import key_value

WAIT_S = 20
KEY = 'key-of-the-deployment'


class Platform:
    """The key-value service and the instance list, in this process."""

    def __init__(self):
        self.store = key_value.KeyValueService()
        self.listing = instance_list.InstanceList()
        self.members = []
        self.servers = [
            httpio.HttpServer(self.store.app, threads=32).start(),
            httpio.HttpServer(self.listing.app).start(),
        ]
        self.addresses = [
            httpio.Address('127.0.0.1', server.port) for server in self.servers
        ]
        self.editor = configuration.Editor(
            kvstore.HttpKeyValueStore(self.addresses[0])
        )

    def make_plane(self, name, key=KEY):
        """Return a plane that is neither started nor listed."""
        cfg = settings.EntrySettings(
            name=name,
            region='thessalia',
            data_centre='larisa-a',
            deployment_key=key,
            platform=settings.PlatformSettings(
                key_value=str(self.addresses[0]),
                instance_list=str(self.addresses[1]),
                origin='',
                weight_store='',
                instance_list_period_s=0.1,
            ),
        )
        return control.ControlPlane(cfg, pull_period_s=0.1, watch_wait_s=1.0)

    def list_plane(self, plane):
        """Show a started plane in the list."""
        name, port = plane.cfg.name, plane.address.port
        self.members.append(fakes.make_instance(name, port=port))
        self.show()

    def show(self):
        """Show all members in the list."""
        self.listing.update([item.to_listing() for item in self.members])

    def set_down(self, down):
        """Begin or end an outage of the key-value service."""
        with self.store._changed:
            self.store.faults = key_value.Faults(down=down)
            self.store._changed.notify_all()

    def close(self):
        """Stop both services."""
        for server in self.servers:
            server.stop()


def wait_until(condition):
    """Wait for a condition that other threads bring about."""
    deadline = time.monotonic() + WAIT_S
    pause = threading.Event()
    while not condition():
        assert time.monotonic() < deadline
        pause.wait(0.02)


@pytest.fixture(name='platform')
def _platform():
    platform = Platform()
    yield platform
    platform.close()


@pytest.fixture(name='planes')
def _planes(platform):
    planes = [platform.make_plane(f'i{number}') for number in range(5)]
    for plane in planes:
        platform.list_plane(plane.start())
    yield planes
    for plane in planes:
        plane.stop()


def _watchers(planes):
    topic = configuration.ConfigurationReplica.topic
    return [plane for plane in planes if topic in plane.watching]


def test_an_edit_reaches_all_and_few_watch(platform, planes):
    wait_until(lambda: len(_watchers(planes)) == 2)
    platform.editor.add(store_fakes.make_rule('a'))
    for plane in planes:
        assert plane.config_replica.wait(0, WAIT_S).revision == 1
    platform.editor.add(store_fakes.make_rule('b'))
    for plane in planes:
        assert plane.config_replica.wait(1, WAIT_S).revision == 2
    assert len(_watchers(planes)) == 2


def test_a_process_that_starts_in_an_outage_learns_from_peers(
    platform, planes
):
    """The key-value service is down while an instance is replaced.

    The new process must not serve without rules, nor with old ones.
    """
    platform.editor.add(store_fakes.make_rule('a'))
    for plane in planes:
        plane.config_replica.wait(0, WAIT_S)
    platform.set_down(True)
    with platform.make_plane('new') as plane:
        assert plane.config_replica.revision == 1
        platform.list_plane(plane)
        wait_until(lambda: len(planes[0].directory.members) == 6)
    platform.set_down(False)
    platform.editor.add(store_fakes.make_rule('b'))
    for plane in planes:
        assert plane.config_replica.wait(1, WAIT_S).revision == 2


def test_another_process_watches_when_a_watcher_dies(platform, planes):
    """Both watchers stop at once, and the list goes on showing them.

    Edits must still reach the others, without a watch from each of them.
    """
    wait_until(lambda: len(_watchers(planes)) == 2)
    dead = _watchers(planes)
    alive = [plane for plane in planes if plane not in dead]
    for plane in dead:
        plane.stop()
    wait_until(lambda: len(_watchers(alive)) == 2)
    platform.editor.add(store_fakes.make_rule('a'))
    for plane in alive:
        assert plane.config_replica.wait(0, WAIT_S).revision == 1


def test_an_edit_is_in_force_though_the_service_fails_right_after_it(
    platform, planes
):
    """The key-value service accepts an edit and goes down at once.

    No watcher has seen it, and the operator has been told that it is in
    force within seconds.
    """
    wait_until(lambda: len(planes[0].directory.members) == 5)
    cfg = settings.OperatorSettings(
        platform=planes[0].cfg.platform, services=[], deployment_key=KEY
    )

    def announce(accepted):
        assert _edit_push.announce(cfg, accepted) == 3

    for plane in planes:
        plane._store_source.fetch = _fail
    platform.editor.announce = announce
    platform.editor.add(store_fakes.make_rule('a'))
    platform.set_down(True)
    for plane in planes:
        assert plane.config_replica.wait(0, WAIT_S).revision == 1


def _fail(wait_s):
    raise errors.StoreUnavailableError('down', step='connect')


def test_a_lone_process_reads_the_service_itself(platform):
    platform.editor.add(store_fakes.make_rule('a'))
    with platform.make_plane('i0') as plane:
        assert plane.config_replica.revision == 1
        platform.editor.add(store_fakes.make_rule('b'))
        assert plane.config_replica.wait(1, WAIT_S).revision == 2


def test_a_process_of_another_deployment_changes_nothing(platform, planes):
    """Two deployments are mixed up in an instance list."""
    stranger = platform.make_plane('stranger', key='another key, not ours')
    found = configuration.EMPTY.edited(
        'x', (configuration.Add(store_fakes.make_rule('x'), 0),)
    )
    stranger.config_replica.offer(found, now=0.0)
    with stranger:
        platform.list_plane(stranger)
        wait_until(lambda: len(planes[0].directory.members) == 6)
        platform.editor.add(store_fakes.make_rule('a'))
        for plane in planes:
            held = plane.config_replica.wait(0, WAIT_S)
            assert [item.rule.name for item in held.encoded_rules] == ['a']


class FakeApp:
    """Answers every request with 204."""

    def __call__(self, environ, start_response):
        start_response('204 No Content', [('A', 'b')])
        return []


@pytest.mark.parametrize(
    ('key', 'revision', 'heard'),
    [
        (KEY, '7', [7]),
        (KEY, '0', []),
        (KEY, 'seven', []),
        (KEY, '9' * 40, []),
        ('another key', '7', []),
        ('', '7', []),
    ],
)
def test_revisions_ride_on_requests_of_our_own(key, revision, heard):
    """An entry missed a push and goes on routing by old rules.

    Only our own processes are believed; a caller must not make us pull.
    """
    config_replica = configuration.ConfigurationReplica()
    noted = []
    config_replica.on_newer_revision(lambda number, now: noted.append(number))
    app = control.RevisionMiddleware(FakeApp(), config_replica, KEY)
    environ = {
        'HTTP_CATKINSHUNT_REVISION': revision,
        'HTTP_CATKINSHUNT_KEY': key,
    }
    replies = []
    app(environ, lambda status, fields: replies.append((status, fields)))
    assert noted == heard
    fields = [('A', 'b'), ('Catkinshunt-Revision', '0')]
    assert replies == [('204 No Content', fields)]
