"""Processes in memory whose messages are counted and may be lost."""

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
    """Return an instance that other processes reach."""
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
    """Carries offers from one round to the next, and pulls at once.

    Attributes:
        dead: names of processes that answer nothing.
        groups: names by group; where set, groups do not reach each other.
        messages: how many were sent.
        sent_bytes: bytes of edits and documents, and of a header each.
    """

    def __init__(self):
        self.disseminators = {}
        self.dead = set()
        self.groups = {}
        self.messages = 0
        self.sent_bytes = 0
        self._waiting = []

    def deliver(self, now):
        """Hand over all offers that wait."""
        waiting, self._waiting = self._waiting, []
        for deliver in waiting:
            deliver(now)

    def reaches(self, sender, name):
        """Return whether a message from one process reaches another."""
        if name in self.dead or sender in self.dead:
            return False
        return self.groups.get(sender) == self.groups.get(name)

    def count(self, size):
        """Note a message with its reply."""
        self.messages += 1
        self.sent_bytes += size + 2 * HEADER_BYTES

    def send(self, deliver):
        """Keep `deliver(now)` for the next round."""
        self._waiting.append(deliver)


class FakePeerTransport(dissemination.BasePeerTransport):
    """The calls of one process over a `Network`."""

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

    def pull(self, peer, held):
        fut = concurrent.futures.Future()
        if not self.network.reaches(self.name, peer.name):
            self.network.count(0)
            fut.set_exception(errors.PeerUnavailableError('no answer'))
            return fut
        disseminator = self.network.disseminators[peer.name]
        updates = disseminator.handle_pull(held, self.name, 0.0)
        self.network.count(sum(update.size for update in updates))
        fut.set_result(updates)
        return fut


class Fleet:
    """Spreaders of many processes, driven in rounds.

    Args:
        size: how many processes.
        data_centres: how many data centres they stand in.
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
        """The spreaders by name of their instance."""
        return self.network.disseminators

    def add(self, member, fanout=4):
        """Make the process of one member."""
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
        """Let the named processes learn a configuration by their watch."""
        for name in names:
            self.config_replicas[name].offer(found, now)

    def push(self, now):
        """Let every process push what is new to it; deliver it."""
        for name, disseminator in self.disseminators.items():
            if name not in self.network.dead:
                disseminator.push(now)
        self.network.deliver(now)

    def pull(self, now, names=None):
        """Let the named processes, or all, pull once."""
        for name in names or list(self.disseminators):
            if name not in self.network.dead:
                self.disseminators[name].pull(now)

    def behind(self, revision):
        """Return the names of live processes below `revision`."""
        return [
            name
            for name, config_replica in self.config_replicas.items()
            if config_replica.revision < revision
            and name not in self.network.dead
        ]
