"""Gossip: push and pull of document revisions between processes."""

import functools
import threading
import time

from catkinshunt import base
from catkinshunt import checks
from catkinshunt.dissemination import _neighbours
from catkinshunt import errors
from catkinshunt import logs

FANOUT = 4
PULL_PERIOD_S = 1.0
START_PEERS = 3
REPLY_TIMEOUT_S = 2.0
#: Least time between pulls that are triggered by an unnamed peer.
ANONYMOUS_PULL_INTERVAL_S = 0.2
_log = logs.get_logger('dissemination')


class Disseminator(base.BaseService):
    """Pushes new revisions to random neighbours, and pulls periodically.

    Each process that receives a revision offers it once to `fanout`
    neighbours, so that it reaches nearly all processes within a few hops.
    Periodic pulls (anti-entropy) reach those that the pushes miss. Both send
    edits instead of the document to a peer that is a few revisions behind.

    Args:
        name: name of this instance.
        data_centre: data centre of this instance.
        replicas: the `BaseReplica` of each topic.
        transport: a `BasePeerTransport`.
        members: function that returns the instances with a control address
            as a tuple, the same object while unchanged.
        elections: the `WatchElection` of each source, for probes of its
            watchers.
        fanout: number of neighbours to which each revision is pushed.
        pull_period_s: mean time between pulls, in seconds.
        random_state: seed or `random.Random`.

    Attributes:
        initial_replies: number of peers that replied at start.
    """

    def __init__(
        self,
        name,
        data_centre,
        replicas,
        transport,
        members,
        elections=(),
        fanout=FANOUT,
        pull_period_s=PULL_PERIOD_S,
        random_state=None,
    ):
        self.name = name
        self.data_centre = data_centre
        self.replicas = replicas
        self.transport = transport
        self.members = members
        self.elections = elections
        self.fanout = fanout
        self.pull_period_s = pull_period_s
        self.random_state = random_state
        self.neighbours = _neighbours.Neighbours(name, data_centre)
        self.peer_health = self.neighbours.peer_health
        self.initial_replies = 0
        self._by_topic = {replica.topic: replica for replica in replicas}
        self._pushed = {replica.topic: 0 for replica in replicas}
        self._pull_from = None
        self._next_anonymous_pull = 0.0
        self._random = None
        self._stopped = False
        self._wake = threading.Condition()
        self._thread = None

    def start(self):
        """Pull from a few peers, then push and pull in the background."""
        self._prepare()
        self.initial_replies = self.catch_up(time.monotonic())
        self._thread = threading.Thread(
            target=self._run, name='spreader', daemon=True
        )
        self._thread.start()
        return self

    def stop(self):
        """Stop pushing and pulling."""
        with self._wake:
            self._stopped = True
            self._wake.notify()
        if self._thread is not None:
            self._thread.join()
            self._thread = None

    def wake(self, *_args):
        """Trigger a push; usable as a subscriber of a replica."""
        with self._wake:
            self._wake.notify()

    def observe_revision(self, topic, revision, now, name=''):
        """Trigger a pull if a peer has a newer revision.

        Args:
            topic: name of the document.
            revision: revision of the peer.
            now: seconds, monotonic.
            name: name of the peer; if empty, the pull goes to any neighbour,
                at most once per `ANONYMOUS_PULL_INTERVAL_S`.
        """
        if revision <= self._by_topic[topic].revision:
            return
        with self._wake:
            if not name and now < self._next_anonymous_pull:
                return
            if not name:
                self._next_anonymous_pull = now + ANONYMOUS_PULL_INTERVAL_S
            self._pull_from = name
            self._wake.notify()

    def handle_offer(self, update, sender, now):
        """Apply an `Update` offered by the peer `sender`.

        Returns:
            The revision of the replica afterwards.
        """
        self.peer_health.observe(sender, True, now)
        replica = self._by_topic.get(update.topic)
        if replica is None:
            return 0
        try:
            if replica.apply_update(update, now):
                self.wake()
        except errors.PeerError as exc:
            # Edits in between are missing; they are pulled from the sender.
            _log.info(
                'Pulls from the sender of update {}: {}', update.revision, exc
            )
            self.observe_revision(update.topic, update.revision, now, sender)
        return replica.revision

    def handle_pull(self, revisions, sender, now):
        """Return the updates that a peer at `revisions` lacks."""
        self.peer_health.observe(sender, True, now)
        updates = []
        for topic, replica in self._by_topic.items():
            revision = revisions.get(topic, 0)
            if revision < replica.revision:
                updates.append(replica.make_update(revision))
            self.observe_revision(topic, revision, now, sender)
        return tuple(updates)

    def push(self, now):
        """Offer each new revision once to a few neighbours."""
        self._prepare()
        for topic, replica in self._by_topic.items():
            before, revision = self._pushed[topic], replica.revision
            if revision <= before:
                continue
            self._pushed[topic] = revision
            update = replica.make_update(before)
            members = self.members()
            for peer in self.neighbours.choose(members, self.fanout, now):
                fut = self.transport.offer(peer, update)
                fut.add_done_callback(
                    functools.partial(self._on_offer_reply, peer, topic, now)
                )

    def pull(self, now):
        """Pull newer revisions from one peer.

        Returns:
            Whether a peer replied.
        """
        self._prepare()
        peer = self._choose_pull_peer(now)
        if peer is None:
            return False
        fut = self._send_pull(peer)
        return self._apply_reply(peer, fut, now)

    def catch_up(self, now):
        """Pull from several peers, which yields their highest revision.

        A single peer may itself be behind, or have just started.

        Returns:
            The number of peers that replied.
        """
        self._prepare()
        peers = self.neighbours.choose(self.members(), START_PEERS, now)
        pending = [(peer, self._send_pull(peer)) for peer in peers]
        return sum(self._apply_reply(peer, fut, now) for peer, fut in pending)

    def _run(self):
        next_pull = time.monotonic() + self._pause_s()
        while True:
            with self._wake:
                self._wake.wait_for(
                    self._has_work, next_pull - time.monotonic()
                )
                if self._stopped:
                    return
                should_pull = self._pull_from is not None
            now = time.monotonic()
            self.push(now)
            if should_pull or now >= next_pull:
                self.pull(now)
                next_pull = time.monotonic() + self._pause_s()

    def _has_work(self):
        new = any(
            replica.revision > self._pushed[topic]
            for topic, replica in self._by_topic.items()
        )
        return self._stopped or new or self._pull_from is not None

    def _choose_pull_peer(self, now):
        with self._wake:
            pull_from, self._pull_from = self._pull_from, None
        members = self.members()
        peer = None
        if pull_from:
            peer = self.neighbours.find(members, pull_from, now)
        if peer is None and pull_from is None:
            peer = self._choose_probe(members, now)
        if peer is None:
            peer = next(iter(self.neighbours.choose(members, 1, now)), None)
        return peer

    def _choose_probe(self, members, now):
        """Return a watcher for every second pull of a standby, or None."""
        if not self.elections or self._random.random() < 0.5:
            return None
        election = self._random.choice(self.elections)
        name = election.choose_probe(members, self._random)
        return self.neighbours.find(members, name, now) if name else None

    def _send_pull(self, peer):
        revisions = {
            topic: replica.revision
            for topic, replica in self._by_topic.items()
        }
        return self.transport.pull(peer, revisions)

    def _apply_reply(self, peer, fut, now):
        """Wait for a reply and apply it; return whether the peer replied."""
        try:
            updates = fut.result(timeout=2 * REPLY_TIMEOUT_S)
        except (errors.PeerError, TimeoutError) as exc:
            _log.debug('Pull from {} failed: {}', peer.name, exc)
            self.peer_health.observe(peer.name, False, now)
            return False
        self.peer_health.observe(peer.name, True, now)
        for update in updates:
            self._apply_pulled(update, peer, now)
        return True

    def _apply_pulled(self, update, peer, now):
        replica = self._by_topic.get(update.topic)
        if replica is None:
            return
        was_empty = replica.revision == 0
        try:
            replica.apply_update(update, now)
        except errors.PeerError as exc:
            _log.warning('Rejected an update from {}: {}', peer.name, exc)
            return
        if was_empty:
            # Peers have this revision already, so it is not pushed.
            self._pushed[update.topic] = replica.revision

    def _on_offer_reply(self, peer, topic, now, fut):
        exc = fut.exception()
        self.peer_health.observe(peer.name, exc is None, now)
        if exc is None:
            self.observe_revision(topic, fut.result(), now, peer.name)

    def _prepare(self):
        if self._random is None:
            self._random = checks.check_random_state(self.random_state)
            self.neighbours.random_state = self._random

    def _pause_s(self):
        # Jitter keeps processes started together from pulling together.
        return self.pull_period_s * self._random.uniform(0.5, 1.5)
