"""Tests that no old order acts on an engine, whichever kind it is."""

import contextlib
import signal
import subprocess
import sys

import pytest

from catkinshunt import engines
from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt import weights
from standins import engine

DATA = {'v1': b'a' * 1000, 'v2': b'b' * 1000}
LISTEN = """
from catkinshunt import httpio
print(httpio.HttpServer(print).start().port, flush=True)
input()
"""


class Held:
    """A whole transfer, as the agent gives it."""

    def __init__(self, version):
        data = DATA[version]
        self.manifest = weights.Manifest.from_bytes('m', version, data, 400)
        self.store = weights.ChunkStore(self.manifest)
        for index in range(3):
            first, end = self.manifest.chunk_range(index)
            self.store.put(index, data[first:end])


class Process:
    """What of a sidecar an engine meets: a port and a slot."""

    def __init__(self, port=0):
        self.held = None
        self.server = httpio.HttpServer(self, port=port, threads=4).start()
        self.slot = engines.WeightsEndpoint(
            '127.0.0.1', self.server.port, self.get_transfer
        )

    def __call__(self, environ, start_response):
        try:
            resp = self.slot.handle(environ['PATH_INFO'])
        except errors.RequestError as exc:
            resp = httpio.error_response(exc)
        return resp.send(start_response)

    def get_transfer(self, model, version):
        held = self.held
        if held is None or held.manifest.version != version:
            return None
        return held

    def make_order(self, version, fencing_number):
        self.held = Held(version)
        return engines.LoadOrder(
            model='m',
            version=version,
            digest=self.held.manifest.digest,
            weights_url=self.slot.make_url('m', version),
            fencing_number=fencing_number,
        )


@pytest.fixture(params=[True, False], ids=['refuses', 'ignores'])
def target(request):
    """An engine that refuses old fencing numbers, and one that does not."""
    made = engine.Engine(refuse_stale=request.param)
    with contextlib.ExitStack() as stack:
        server = httpio.HttpServer(made.app, threads=4).start()
        stack.callback(server.stop)
        made.http = engines.HttpEngine(
            httpio.Address('127.0.0.1', server.port), timeout_s=10.0
        )
        yield made


@pytest.fixture
def process():
    made = Process()
    yield made
    made.server.stop()


def loaded(target):
    return [order['version'] for order in target.orders]


def test_an_order_of_an_earlier_process_never_acts(target, process):
    """A sidecar dies; its order is delayed on the way to the engine.

    The next sidecar in the slot has loaded a newer version when the old
    order arrives. An engine that ignores fencing numbers would go back, and
    callers would get answers of a version that no rule places.
    """
    old_order = process.make_order('v1', 1)
    process.server.stop()
    successor = Process(process.server.port)
    try:
        target.http.load(successor.make_order('v2', 2))
        with pytest.raises(errors.OrderError):
            target.http.load(old_order)
        assert loaded(target) == ['v2']
    finally:
        successor.server.stop()


def test_an_earlier_process_in_the_same_revision_never_acts(target, process):
    """The delayed order carries the number of the configuration in force.

    The fencing number alone does not tell the two processes apart.
    """
    old_order = process.make_order('v1', 2)
    process.server.stop()
    successor = Process(process.server.port)
    try:
        target.http.load(successor.make_order('v2', 2))
        with pytest.raises(errors.OrderError):
            target.http.load(old_order)
        assert loaded(target) == ['v2']
    finally:
        successor.server.stop()


def test_an_own_order_that_was_overtaken_never_acts(target, process):
    """An order is lost on the way and arrives after the next version's.

    The process no longer holds the old version, so the engine finds none.
    """
    old_order = process.make_order('v1', 1)
    target.http.load(process.make_order('v2', 2))
    with pytest.raises(errors.OrderError):
        target.http.load(old_order)
    assert loaded(target) == ['v2']


def test_an_engine_that_refuses_names_the_cause(process):
    made = engine.Engine(refuse_stale=True)
    server = httpio.HttpServer(made.app, threads=4).start()
    target = engines.HttpEngine(httpio.Address('127.0.0.1', server.port))
    try:
        target.load(process.make_order('v2', 2))
        with pytest.raises(errors.StaleFencingError, match='number 1'):
            target.load(process.make_order('v1', 1))
    finally:
        server.stop()


def test_two_processes_cannot_share_a_slot(process):
    """A second sidecar is started beside the same upstream by mistake.

    Both would order the engine about in turn. The second cannot listen.
    """
    with pytest.raises(OSError, match='in use'):
        Process(process.server.port)


def test_a_paused_process_keeps_its_slot():
    """A sidecar is paused by the machine and still believes it is in charge.

    If another could take its place meanwhile, the paused one would give its
    old order on waking.
    """
    popen = subprocess.Popen(
        [sys.executable, '-c', LISTEN],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    with popen:
        port = int(popen.stdout.readline())
        popen.send_signal(signal.SIGSTOP)
        try:
            with pytest.raises(OSError, match='in use'):
                Process(port)
        finally:
            popen.kill()


@pytest.mark.parametrize(
    'path', ['/weights/', '/weights/x/m/v1', '/weights/é/m/v1', '/weights/a']
)
def test_a_pull_without_the_token_gets_nothing(process, path):
    process.make_order('v1', 1)
    with pytest.raises(errors.InvalidRequestError):
        process.slot.handle(path)


def test_an_engine_that_is_away_is_told_apart(process):
    target = engines.HttpEngine(process_address_closed())
    with pytest.raises(errors.OrderError) as caught:
        target.load(process.make_order('v1', 1))
    assert caught.value.step == 'load'


def process_address_closed():
    gone = Process()
    gone.server.stop()
    return httpio.Address('127.0.0.1', gone.server.port)
