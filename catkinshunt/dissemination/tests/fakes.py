"""In-memory processes with a network that counts and drops messages."""

import concurrent.futures
import functools
import random

from catkinshunt import configuration
from catkinshunt import dissemination
from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt import instances

HEADER_BYTES = 100


def make_instance(name, data_centre='larisa-a', port=1):
    """Return an instance with a control address."""
    address = httpio.Address('127.0.0.1', port)
    return instances.Instance(
        name=name,
        role='upstream',
        service='model-servers',
        data_centre=data_centre,
        region='thessalia',
        address=address,
        control_address=address,
    )


class Network:
    """Delivers offers in the next round, and pulls immediately.

    Attributes:
        dead: names of processes that do not reply.
        groups: group of each name; different groups are partitioned.
        messages: number of messages sent.
        sent_bytes: bytes of edits, documents and headers.
    """

    def __init__(self):
        self.disseminators = {}
        self.dead = set()
        self.groups = {}
        self.messages = 0
        self.sent_bytes = 0
        self._waiting = []

    def deliver(self, now):
        """Deliver all pending offers."""
        waiting, self._waiting = self._waiting, []
        for deliver in waiting:
            deliver(now)

    def reaches(self, sender, name):
        """Return whether a message from `sender` reaches `name`."""
        if name in self.dead or sender in self.dead:
            return False
        return self.groups.get(sender) == self.groups.get(name)

    def count(self, size):
        """Count a message with its reply."""
        self.messages += 1
        self.sent_bytes += size + 2 * HEADER_BYTES

    def send(self, deliver):
        """Schedule `deliver(now)` for the next round."""
        self._waiting.append(deliver)


class FakePeerTransport(dissemination.BasePeerTransport):
    """Transport of one process over a `Network`."""

    def __init__(self, name, network):
        self.name = name
        self.network = network

    def offer(self, peer, update):
        fut = concurrent.futures.Future()
        self.network.count(update.size)
        self.network.send(functools.partial(self._offer, peer, update, fut))
        return fut

    def _offer(self, peer, update, fut, now):
        if not self.network.reaches(self.name, peer.name):
            fut.set_exception(errors.PeerUnavailableError('no answer'))
            return
        disseminator = self.network.disseminators[peer.name]
        fut.set_result(disseminator.handle_offer(update, self.name, now))

    def pull(self, peer, revisions):
        fut = concurrent.futures.Future()
        if not self.network.reaches(self.name, peer.name):
            self.network.count(0)
            fut.set_exception(errors.PeerUnavailableError('no answer'))
            return fut
        disseminator = self.network.disseminators[peer.name]
        updates = disseminator.handle_pull(revisions, self.name, 0.0)
        self.network.count(sum(update.size for update in updates))
        fut.set_result(updates)
        return fut


class Fleet:
    """Disseminators of many processes, driven in rounds.

    Args:
        size: number of processes.
        data_centres: number of data centres.
        fanout: as for `Disseminator`.
        random_state: seed.
    """

    def __init__(self, size, data_centres=1, fanout=4, random_state=0):
        self.network = Network()
        self.members = tuple(
            make_instance(f'i{n}', f'dc{n % data_centres}')
            for n in range(size)
        )
        self.config_replicas = {}
        self.random = random.Random(random_state)
        for member in self.members:
            self.add(member, fanout)

    @property
    def disseminators(self):
        """The disseminators by instance name."""
        return self.network.disseminators

    def add(self, member, fanout=4):
        """Create the process of one member."""
        config_replica = configuration.ConfigurationReplica()
        self.config_replicas[member.name] = config_replica
        disseminator = dissemination.Disseminator(
            member.name,
            member.data_centre,
            (config_replica,),
            FakePeerTransport(member.name, self.network),
            lambda: self.members,
            fanout=fanout,
            random_state=random.Random(self.random.random()),
        )
        self.network.disseminators[member.name] = disseminator

    def accept(self, found, names, now=0.0):
        """Deliver a configuration to the named processes, as a watch would."""
        for name in names:
            self.config_replicas[name].offer(found, now)

    def push(self, now):
        """Let every process push its new revisions, and deliver them."""
        for name, disseminator in self.disseminators.items():
            if name not in self.network.dead:
                disseminator.push(now)
        self.network.deliver(now)

    def pull(self, now, names=None):
        """Let the named processes, or all, pull once."""
        for name in names or list(self.disseminators):
            if name not in self.network.dead:
                self.disseminators[name].pull(now)

    def find_behind(self, revision):
        """Return the names of live processes below `revision`."""
        return [
            name
            for name, config_replica in self.config_replicas.items()
            if config_replica.revision < revision
            and name not in self.network.dead
        ]
