"""Agents over real sockets in one process, for the tests."""

import contextlib

from catkinshunt import httpio
from catkinshunt import weights
from standins import origin

KEY = 'key-of-the-test-deployment'
MODEL = 'drafts'
SIZE_BYTES = 600_000
CHUNK_BYTES = 15_000
LINK_BYTES_PER_S = 8e6
TIMEOUT_S = 30.0


class Instance:
    """An agent with its HTTP server.

    Args:
        name: name of the instance.
        fleet: the `Fleet` that it belongs to.
        wrap: wraps the WSGI application before it is served, or None.
    """

    def __init__(self, name, fleet, wrap=None):
        self.agent = weights.TransferAgent(
            name,
            KEY,
            fleet.list_members,
            fleet.origin_address,
            fleet.store_address,
            LINK_BYTES_PER_S,
            read_timeout_s=0.5,
            random_state=1,
        )
        app = weights.ChunkApp(self.agent, KEY, self.agent.upload_pacer)
        app = wrap(app) if wrap else app
        self.server = httpio.HttpServer(app, threads=12).start()
        self.address = httpio.Address('127.0.0.1', self.server.port)
        self.agent.start()

    def stop(self):
        """Stop the server and the agent, as if the instance died."""
        self.server.stop()
        self.agent.stop()


class Fleet(contextlib.ExitStack):
    """An origin and agents that list each other as members."""

    def __init__(self, store=None, origin_up=True, chunk_bytes=CHUNK_BYTES):
        super().__init__()
        self.origin = origin.Origin(chunk_bytes=chunk_bytes)
        self.origin.publish(MODEL, 'v1', SIZE_BYTES)
        self.origin.publish(MODEL, 'v2', SIZE_BYTES)
        self.instances = {}
        self.unserved_members = []
        server = self.serve(self.origin.app)
        self.origin_address = server
        if not origin_up:
            self.origin_server.stop()
        self.store_address = None
        if store is not None:
            self.store_address = self.serve(store.app)

    def serve(self, app, port=0):
        """Serve a WSGI application and return its address."""
        server = httpio.HttpServer(app, port=port, threads=8).start()
        self.origin_server = server
        self.callback(server.stop)
        return httpio.Address('127.0.0.1', server.port)

    def add(self, name, wrap=None):
        """Start another agent."""
        instance = self.instances[name] = Instance(name, self, wrap)
        self.callback(instance.stop)
        return instance

    def add_unserved_member(self, name, address):
        """List a member at whose address no agent runs."""
        self.unserved_members.append(weights.Member(name, address=address))

    def list_members(self, target):
        """Return all members."""
        members = [
            weights.Member(name, address=instance.address)
            for name, instance in self.instances.items()
        ]
        return tuple(members + self.unserved_members)

    def offer(self, version='v1', lean=0.0, names=None):
        """Offer a version to some or all agents; return it."""
        target = weights.TargetVersion(MODEL, version, lean)
        for name in names or list(self.instances):
            self.instances[name].agent.offer(target)
        return target

    def wait_for_weights(self, target, names=None):
        """Return the weights by agent; None if not complete in time."""
        found = {}
        for name in names or list(self.instances):
            agent = self.instances[name].agent
            transfer = agent.wait_complete(target, TIMEOUT_S)
            found[name] = transfer and b''.join(transfer.store.iter_chunks())
        return found

    def data(self, version):
        """Return the published weights of a version."""
        return self.origin._weights[MODEL, version]
