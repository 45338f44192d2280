"""Hands revised documents on from process to process."""

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
CALL_S = 2.0
#: Least seconds between pulls from any neighbour for a hint without a name.
GUESS_S = 0.2
_log = logs.get_logger('dissemination')


class Disseminator(base.BaseService):
    """Pushes what is new to a few neighbours, and pulls from one in turn.

    Each process that learns of a revision offers it once to `fanout`
    neighbours, so that it reaches nearly all within a few hops. A push can
    miss some processes; the regular pull finds these. Both carry edits
    where the other side is a few revisions behind.

    Args:
        name: name of the own instance.
        data_centre: data centre of the own instance.
        replicas: the `BaseReplica` of each topic.
        peering: a `BasePeerTransport`.
        members: function that returns the instances with a control address
            as a tuple, the same object while unchanged.
        duties: the `WatchElection` of each source, for its probes.
        fanout: neighbours that get each new revision.
        pull_period_s: mean seconds between pulls.
        random_state: seed or `random.Random`.

    Attributes:
        answered: how many peers answered at the start.
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
        self.answered = 0
        self._by_topic = {replica.topic: replica for replica in replicas}
        self._pushed = {replica.topic: 0 for replica in replicas}
        self._behind = None
        self._next_guess = 0.0
        self._random = None
        self._stopped = False
        self._wake = threading.Condition()
        self._thread = None

    def start(self):
        """Ask a few peers at once, then go on in the background."""
        self._prepare()
        self.answered = self.catch_up(time.monotonic())
        self._thread = threading.Thread(
            target=self._run, name='spreader', daemon=True
        )
        self._thread.start()
        return self

    def stop(self):
        """End pushes and pulls."""
        with self._wake:
            self._stopped = True
            self._wake.notify()
        if self._thread is not None:
            self._thread.join()
            self._thread = None

    def wake(self, *_args):
        """Push soon what is new; fits as a replica's subscriber."""
        with self._wake:
            self._wake.notify()

    def observe_revision(self, topic, revision, now, name=''):
        """Note that a peer holds `revision`; pull from it if it is newer.

        Args:
            topic: name of the document.
            revision: revision that the peer named.
            now: seconds, monotonic.
            name: name of the peer's instance; empty where it is not known,
                and then any neighbour is asked, but not at each request.
        """
        if revision <= self._by_topic[topic].revision:
            return
        with self._wake:
            if not name and now < self._next_guess:
                return
            if not name:
                self._next_guess = now + GUESS_S
            self._behind = name
            self._wake.notify()

    def handle_offer(self, update, sender, now):
        """Take an `Update` that the peer `sender` offers.

        Returns:
            The revision held after it.
        """
        self.peer_health.observe(sender, True, now)
        replica = self._by_topic.get(update.topic)
        if replica is None:
            return 0
        try:
            if replica.apply_update(update, now):
                self.wake()
        except errors.PeerError as exc:
            # Edits are missing in between; the sender has them.
            _log.info('Update {} asked for whole: {}', update.revision, exc)
            self.observe_revision(update.topic, update.revision, now, sender)
        return replica.revision

    def handle_pull(self, held, sender, now):
        """Return the updates for a peer that holds the revisions `held`."""
        self.peer_health.observe(sender, True, now)
        updates = []
        for topic, replica in self._by_topic.items():
            revision = held.get(topic, 0)
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
                    functools.partial(self._offered, peer, topic, now)
                )

    def pull(self, now):
        """Ask one peer for what is newer, and take it.

        Returns:
            Whether a peer answered.
        """
        self._prepare()
        peer = self._choose_pull(now)
        if peer is None:
            return False
        fut = self._ask(peer)
        return self._take(peer, fut, now)

    def catch_up(self, now):
        """Ask several peers; the highest revision among them is taken.

        One peer alone may itself be behind, or have just started.

        Returns:
            How many answered.
        """
        self._prepare()
        peers = self.neighbours.choose(self.members(), START_PEERS, now)
        asked = [(peer, self._ask(peer)) for peer in peers]
        return sum(self._take(peer, fut, now) for peer, fut in asked)

    def _run(self):
        next_pull = time.monotonic() + self._pause_s()
        while True:
            with self._wake:
                self._wake.wait_for(
                    self._something_to_do, next_pull - time.monotonic()
                )
                if self._stopped:
                    return
                behind = self._behind is not None
            now = time.monotonic()
            self.push(now)
            if behind or now >= next_pull:
                self.pull(now)
                next_pull = time.monotonic() + self._pause_s()

    def _something_to_do(self):
        new = any(
            replica.revision > self._pushed[topic]
            for topic, replica in self._by_topic.items()
        )
        return self._stopped or new or self._behind is not None

    def _choose_pull(self, now):
        with self._wake:
            behind, self._behind = self._behind, None
        members = self.members()
        found = None
        if behind:
            found = self.neighbours.find(members, behind, now)
        if found is None and behind is None:
            found = self._choose_probe(members, now)
        if found is None:
            found = next(iter(self.neighbours.choose(members, 1, now)), None)
        return found

    def _choose_probe(self, members, now):
        """Every other pull goes to a watcher, if we are its deputy."""
        if not self.elections or self._random.random() < 0.5:
            return None
        election = self._random.choice(self.elections)
        name = election.choose_probe(members, self._random)
        return self.neighbours.find(members, name, now) if name else None

    def _ask(self, peer):
        held = {
            topic: replica.revision
            for topic, replica in self._by_topic.items()
        }
        return self.transport.pull(peer, held)

    def _take(self, peer, fut, now):
        """Wait for a peer's updates and apply them; return its success."""
        try:
            updates = fut.result(timeout=2 * CALL_S)
        except (errors.PeerError, TimeoutError) as exc:
            _log.debug('No pull from {}: {}', peer.name, exc)
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
        starting = replica.revision == 0
        try:
            replica.apply_update(update, now)
        except errors.PeerError as exc:
            _log.warning('Update from {} not taken: {}', peer.name, exc)
            return
        if starting:
            # What a starting process learns, its peers know already.
            self._pushed[update.topic] = replica.revision

    def _offered(self, peer, topic, now, fut):
        exc = fut.exception()
        self.peer_health.observe(peer.name, exc is None, now)
        if exc is None:
            self.observe_revision(topic, fut.result(), now, peer.name)

    def _prepare(self):
        if self._random is None:
            self._random = checks.check_random_state(self.random_state)
            self.neighbours.random_state = self._random

    def _pause_s(self):
        # Spread, so that processes started together do not pull together.
        return self.pull_period_s * self._random.uniform(0.5, 1.5)
