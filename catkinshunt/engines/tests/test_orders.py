"""Tests that a stale order never takes effect on an engine."""

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


class Transfer:
    """A complete transfer, as returned by the agent."""

    def __init__(self, version):
        data = DATA[version]
        self.manifest = weights.Manifest.from_bytes('m', version, data, 400)
        self.store = weights.ChunkStore(self.manifest)
        for index in range(3):
            first, end = self.manifest.chunk_range(index)
            self.store.put(index, data[first:end])


class Process:
    """The part of a sidecar that an engine uses: a port and an endpoint."""

    def __init__(self, port=0):
        self.transfer = None
        self.server = httpio.HttpServer(self, port=port, threads=4).start()
        self.endpoint = engines.WeightsEndpoint(
            '127.0.0.1', self.server.port, self.get_transfer
        )

    def __call__(self, environ, start_response):
        try:
            resp = self.endpoint.handle(environ['PATH_INFO'])
        except errors.RequestError as exc:
            resp = httpio.error_response(exc)
        return resp.send(start_response)

    def get_transfer(self, model, version):
        transfer = self.transfer
        if transfer is None or transfer.manifest.version != version:
            return None
        return transfer

    def make_order(self, version, fencing_number):
        self.transfer = Transfer(version)
        return engines.LoadOrder(
            model='m',
            version=version,
            digest=self.transfer.manifest.digest,
            weights_url=self.endpoint.make_url('m', version),
            fencing_number=fencing_number,
        )


@pytest.fixture(params=[True, False], ids=['refuses', 'ignores'])
def target(request):
    """An engine that rejects stale fencing numbers, and one that does not."""
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


def test_an_order_of_an_earlier_process_has_no_effect(target, process):
    """A sidecar dies while its order to the engine is delayed.

    The order arrives after the next sidecar has loaded a newer version. An
    engine that ignores fencing numbers would revert, and serve a version
    that no rule places.
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


def test_an_earlier_order_of_the_same_revision_has_no_effect(target, process):
    """The delayed order has the revision of the active configuration.

    The fencing number alone does not distinguish the two processes.
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


def test_a_delayed_order_of_the_same_process_has_no_effect(target, process):
    """An order is delayed and arrives after that of the next version.

    The endpoint no longer serves the old version.
    """
    old_order = process.make_order('v1', 1)
    target.http.load(process.make_order('v2', 2))
    with pytest.raises(errors.OrderError):
        target.http.load(old_order)
    assert loaded(target) == ['v2']


def test_a_stale_fencing_number_is_reported(process):
    made = engine.Engine(refuse_stale=True)
    server = httpio.HttpServer(made.app, threads=4).start()
    target = engines.HttpEngine(httpio.Address('127.0.0.1', server.port))
    try:
        target.load(process.make_order('v2', 2))
        with pytest.raises(errors.StaleFencingError, match='number 1'):
            target.load(process.make_order('v1', 1))
    finally:
        server.stop()


def test_two_processes_cannot_share_a_port(process):
    """A second sidecar is started for the same upstream by mistake.

    Both would send conflicting orders. The second cannot bind the port.
    """
    with pytest.raises(OSError, match='in use'):
        Process(process.server.port)


def test_a_paused_process_keeps_its_port():
    """A sidecar is paused by the machine and later resumes.

    If another sidecar could replace it meanwhile, the paused one would send
    an outdated order when it resumes.
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
def test_a_pull_without_the_token_is_rejected(process, path):
    process.make_order('v1', 1)
    with pytest.raises(errors.InvalidRequestError):
        process.endpoint.handle(path)


def test_an_unreachable_engine_fails_the_load_step(process):
    target = engines.HttpEngine(closed_address())
    with pytest.raises(errors.OrderError) as caught:
        target.load(process.make_order('v1', 1))
    assert caught.value.step == 'load'


def closed_address():
    stopped = Process()
    stopped.server.stop()
    return httpio.Address('127.0.0.1', stopped.server.port)
