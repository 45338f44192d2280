"""Tests of RPC between processes, over real sockets."""

import threading

import pytest

from catkinshunt.dissemination import dissemination_grpc
from catkinshunt.dissemination import dissemination_pb2
from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt import peers

KEY = 'key-of-the-deployment'
WAIT_S = 10


class Handler(dissemination_grpc.DisseminationBase):
    """Returns the revision offered; `Pull` blocks until released."""

    def __init__(self):
        self.entered = threading.Event()
        self.released = threading.Event()
        self.threads = []

    async def Offer(self, stream):
        update = (await stream.recv_message()).update
        await peers.run_blocking(self._note, update.revision)
        await stream.send_message(
            dissemination_pb2.Held(sender=str(update.revision))
        )

    async def Pull(self, stream):
        await stream.recv_message()
        await peers.run_blocking(self._hold)
        await stream.send_message(
            dissemination_pb2.Updates(updates=[{'revision': 7}])
        )

    def _note(self, revision):
        self.threads.append(threading.current_thread().name)
        if revision == 13:
            raise errors.ConflictError('revision 13', step='offer')

    def _hold(self):
        self.entered.set()
        self.released.wait(WAIT_S)


@pytest.fixture(name='handler')
def _handler():
    handler = Handler()
    yield handler
    handler.released.set()


@pytest.fixture(name='loop')
def _loop():
    with peers.LoopThread() as loop:
        yield loop


@pytest.fixture(name='server')
def _server(handler):
    with peers.PeerServer([handler], '127.0.0.1', 0, KEY) as server:
        yield server


def _client(server, loop, key=KEY):
    address = httpio.Address(server.host, server.port)
    return peers.PeerClient(address, key, loop)


def _offer(client, revision=1, **kwargs):
    message = dissemination_pb2.Offered(update={'revision': revision})
    stub = dissemination_grpc.DisseminationStub
    return client.call(stub, 'Offer', message, **kwargs)


def _pull(client, **kwargs):
    message = dissemination_pb2.Held()
    stub = dissemination_grpc.DisseminationStub
    return client.call(stub, 'Pull', message, **kwargs)


def test_a_call_returns_a_future(server, handler, loop):
    client = _client(server, loop)
    assert _offer(client, 5).result(WAIT_S).sender == '5'
    assert handler.threads[0].startswith('peers-worker')
    client.close()


@pytest.mark.parametrize('key', ['', 'another', KEY + 'x', 'κλειδί'])
def test_a_call_without_the_key_is_rejected(server, loop, handler, key):
    """A process outside of the deployment connects to the port.

    Its calls must not change or read a configuration.
    """
    client = _client(server, loop, key)
    with pytest.raises(errors.PeerError) as caught:
        _offer(client).result(WAIT_S)
    assert caught.value.step == 'Offer'
    assert handler.threads == []
    client.close()


def test_an_error_names_the_step_and_the_peer(server, loop):
    client = _client(server, loop)
    with pytest.raises(errors.PeerError, match='revision 13') as caught:
        _offer(client, 13).result(WAIT_S)
    assert caught.value.peer == f'127.0.0.1:{server.port}'
    client.close()


def test_a_call_to_an_unresponsive_peer_times_out(server, loop, handler):
    """A peer hangs, for example because it is paused or out of threads.

    Without a timeout the calling thread would wait forever.
    """
    client = _client(server, loop)
    with pytest.raises(errors.PeerTimeoutError):
        _pull(client, timeout_s=0.2).result(WAIT_S)
    assert handler.entered.is_set()
    handler.released.set()
    client.close()


def test_a_dead_peer_is_reported_as_unavailable(server, loop):
    """The instance of the peer has died."""
    server.stop()
    client = _client(server, loop)
    with pytest.raises(errors.PeerUnavailableError):
        _offer(client).result(WAIT_S)
    client.close()


def test_a_client_reconnects_to_a_restarted_peer(loop, handler):
    """A peer restarts at the same address while a connection is open.

    If the closed connection were reused, every later call would fail.
    """
    first = peers.PeerServer([handler], '127.0.0.1', 0, KEY).start()
    client = _client(first, loop)
    _offer(client).result(WAIT_S)
    first.stop()
    port = first.port
    with peers.PeerServer([handler], '127.0.0.1', port, KEY):
        assert _offer(client, 2).result(WAIT_S).sender == '2'
    client.close()


def test_stop_drains_the_calls_in_progress(loop, handler):
    """A process is stopped while it handles a call.

    The call must complete, and new calls must be rejected.
    """
    server = peers.PeerServer([handler], '127.0.0.1', 0, KEY).start()
    client = _client(server, loop)
    fut = _pull(client)
    assert handler.entered.wait(WAIT_S)
    stopper = threading.Thread(target=server.stop)
    stopper.start()
    while not server._draining:
        stopper.join(0.01)
    with pytest.raises(errors.PeerUnavailableError):
        _offer(client).result(WAIT_S)
    handler.released.set()
    assert fut.result(WAIT_S).updates[0].revision == 7
    stopper.join(WAIT_S)
    assert not stopper.is_alive()
    client.close()


def test_a_port_in_use_is_reported(server, handler):
    second = peers.PeerServer([handler], '127.0.0.1', server.port, KEY)
    with pytest.raises(errors.PeerUnavailableError, match='listen'):
        second.start()
    second.stop()


def test_a_pool_evicts_idle_clients(handler, loop):
    pool = peers.PeerPool(KEY, loop, max_open=2)
    servers = [
        peers.PeerServer([handler], '127.0.0.1', 0, KEY, loop).start()
        for _ in range(4)
    ]
    stub = dissemination_grpc.DisseminationStub
    for server in servers:
        address = httpio.Address('127.0.0.1', server.port)
        message = dissemination_pb2.Offered(update={'revision': 3})
        fut = pool.call(address, stub, 'Offer', message)
        assert fut.result(WAIT_S).sender == '3'
    assert len(pool._clients) <= 3
    pool.close()
    for server in servers:
        server.stop()


def test_the_key_is_not_in_repr(server):
    assert KEY not in repr(server)
