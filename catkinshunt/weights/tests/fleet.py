"""A few agents over real sockets in one process, for the tests."""

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


class Box:
    """An agent with its server.

    Args:
        name: name of the instance.
        fleet: the `Fleet` that it belongs to.
        wrap: function of the WSGI application that returns the one served.
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
        """End both, as when the instance dies."""
        self.server.stop()
        self.agent.stop()


class Fleet(contextlib.ExitStack):
    """An origin, and agents that know each other."""

    def __init__(self, store=None, origin_up=True, chunk_bytes=CHUNK_BYTES):
        super().__init__()
        self.origin = origin.Origin(chunk_bytes=chunk_bytes)
        self.origin.publish(MODEL, 'v1', SIZE_BYTES)
        self.origin.publish(MODEL, 'v2', SIZE_BYTES)
        self.boxes = {}
        self.ghosts = []
        server = self.serve(self.origin.app)
        self.origin_address = server
        if not origin_up:
            self.origin_server.stop()
        self.store_address = None
        if store is not None:
            self.store_address = self.serve(store.app)

    def serve(self, app, port=0):
        """Serve a stand-in; return its address."""
        server = httpio.HttpServer(app, port=port, threads=8).start()
        self.origin_server = server
        self.callback(server.stop)
        return httpio.Address('127.0.0.1', server.port)

    def add(self, name, wrap=None):
        """Start one more agent."""
        box = self.boxes[name] = Box(name, self, wrap)
        self.callback(box.stop)
        return box

    def add_ghost(self, name, address):
        """List an instance whose address nobody serves as an agent."""
        self.ghosts.append(weights.Member(name, address=address))

    def list_members(self, wanted):
        """Return the members, as the instance list would."""
        members = [
            weights.Member(name, address=box.address)
            for name, box in self.boxes.items()
        ]
        return tuple(members + self.ghosts)

    def offer(self, version='v1', lean=0.0, names=None):
        """Offer a version to some or all agents; return the wish."""
        wanted = weights.TargetVersion(MODEL, version, lean)
        for name in names or list(self.boxes):
            self.boxes[name].agent.offer(wanted)
        return wanted

    def whole(self, wanted, names=None):
        """Return the weights of each agent once whole; None for the rest."""
        found = {}
        for name in names or list(self.boxes):
            agent = self.boxes[name].agent
            transfer = agent.wait_complete(wanted, TIMEOUT_S)
            found[name] = transfer and b''.join(transfer.store.iter_chunks())
        return found

    def data(self, version):
        """Return what the origin published."""
        return self.origin._weights[MODEL, version]
