"""Stand-in links in virtual time, for decisions of weight distribution.

Only links are modelled: a capacity, shared by both directions or not, that
transfers divide evenly; death, stall and corruption. What to pull and whom
to serve is decided by the product's own code.
"""

import collections
import heapq
import itertools

import attrs

from catkinshunt import weights


@attrs.frozen
class LinkSettings:
    """Times are in link times: one copy over one instance's link."""

    shared = attrs.field(default=False)
    origin_rate = attrs.field(default=2.0)
    latency = attrs.field(default=0.0005)
    poll = attrs.field(default=0.005)
    refresh = attrs.field(default=0.05)
    no_bytes_timeout = attrs.field(default=0.03)
    avoid = attrs.field(default=0.1)
    corrupt_share = attrs.field(default=0.0)


class Link:
    """One machine's link; counts what it carried, in copies."""

    def __init__(self, rate=1.0, shared=False):
        self.rate = rate
        self.shared = shared
        self.stalled = False
        self.sent = 0.0
        self.received = 0.0
        self.sending = {}
        self.receiving = {}

    def share(self, sending):
        """Return the rate of one transfer in one direction."""
        if self.stalled:
            return 0.0
        if self.shared:
            return self.rate / (len(self.sending) + len(self.receiving))
        return self.rate / len(self.sending if sending else self.receiving)

    def touched(self, sending):
        """Return the transfers whose rate a change may alter."""
        if self.shared:
            return itertools.chain(self.sending, self.receiving)
        return iter(self.sending if sending else self.receiving)


class Node:
    """An instance with its link, its view and its gate."""

    def __init__(self, member, link, view, strategy, upload_limiter):
        self.member = member
        self.link = link
        self.view = view
        self.strategy = strategy
        self.upload_limiter = upload_limiter
        self.alive = True
        self.corrupts = False
        self.poll_set = False
        self.asked_at = 0.0
        self.done_at = None


class Transfer:
    """One chunk on its way."""

    def __init__(self, pull, source, target, size, now):
        self.pull = pull
        self.source = source
        self.target = target
        self.left = size
        self.size = size
        self.rate = 0.0
        self.updated_at = now
        self.serial = 0
        self.over = False


class Fabric:
    """Runs instances over links until no event is left or `until`."""

    def __init__(self, nodes, settings, n_chunks, rng, until=20.0):
        self.nodes = nodes
        self.settings = settings
        self.n_chunks = n_chunks
        self.rng = rng
        self.until = until
        self.now = 0.0
        self.messages = 0
        self.corrupt = 0
        self.crossings = collections.Counter()
        self.origin = Link(rate=settings.origin_rate)
        self._events = []
        self._serial = itertools.count()

    def at(self, when, call, *args):
        """Call `call(*args)` at virtual time `when`."""
        heapq.heappush(self._events, (when, next(self._serial), call, args))

    def run(self):
        """Start every instance and handle events until all are done."""
        for node in self.nodes.values():
            self.at(0.0, self._wake, node)
        while self._events and self.now < self.until:
            self.now, _, call, args = heapq.heappop(self._events)
            call(*args)
            if not self._unfinished():
                break

    def kill(self, node):
        """Let the machine of `node` vanish; peers notice by silence."""
        node.alive = False
        self._freeze(node)

    def stall(self, node):
        """Let the link of `node` carry nothing from now on."""
        self._freeze(node)

    def _unfinished(self):
        return any(
            node.done_at is None
            for node in self.nodes.values()
            if node.alive and not node.link.stalled
        )

    def _freeze(self, node):
        node.link.stalled = True
        link = node.link
        for transfer in [*link.sending, *link.receiving]:
            self._set_rate(transfer)
            self._watch(transfer)

    def _wake(self, node):
        if not node.alive or node.link.stalled or node.view.is_complete:
            return
        while True:
            pull = node.strategy.choose(node.view, self.now)
            if pull is None:
                break
            self._send(node, pull)
        if not node.poll_set:
            node.poll_set = True
            self.at(self.now + self.settings.poll, self._poll, node)

    def _poll(self, node):
        node.poll_set = False
        if not node.alive or node.link.stalled or node.view.is_complete:
            return
        idle = node.view.n_pulls < node.strategy.max_pulls
        if idle or self.now - node.asked_at >= self.settings.refresh:
            node.asked_at = self.now
            for name in node.strategy.neighbours(node.view, self.now):
                self._ask_holdings(node, name)
        self._wake(node)

    def _ask_holdings(self, node, name):
        self.messages += 1
        peer = self.nodes[name]
        if peer.alive and not peer.link.stalled:
            self._observe(node, peer)
        else:
            node.view.avoid(name, self.now, self.settings.avoid)

    def _observe(self, node, peer):
        node.view.observe(
            peer.member.name,
            peer.view.bitmap,
            peer.upload_limiter.uploaded_copies(self.now),
            self.now,
        )

    def _send(self, node, pull):
        self.messages += 1
        node.view.begin(pull)
        arrival = self.now + self.settings.latency
        self.at(arrival, self._receive, node, pull)

    def _receive(self, node, pull):
        if not node.alive:
            return
        if pull.peer == weights.ORIGIN:
            self._begin(node, pull, None)
            return
        peer = self.nodes[pull.peer]
        if not peer.alive or peer.link.stalled:
            late = self.now + self.settings.no_bytes_timeout
            self.at(late, self._fail, node, pull)
            return
        held = peer.view.bitmap >> pull.chunk & 1
        if held and peer.upload_limiter.begin(1 / self.n_chunks, self.now):
            self._begin(node, pull, peer)
            return
        self._observe(node, peer)
        node.view.postpone(pull, self.now + self.settings.poll)
        self._wake(node)

    def _begin(self, node, pull, peer):
        transfer = Transfer(pull, peer, node, 1 / self.n_chunks, self.now)
        source = self.origin if peer is None else peer.link
        source.sending[transfer] = None
        node.link.receiving[transfer] = None
        self._rebalance(source, node.link)
        if transfer.rate == 0:
            self._watch(transfer)

    def _source(self, transfer):
        return transfer.source.link if transfer.source else self.origin

    def _rebalance(self, source, target):
        touched = dict.fromkeys(source.touched(sending=True))
        touched.update(dict.fromkeys(target.touched(sending=False)))
        for transfer in touched:
            self._set_rate(transfer)

    def _set_rate(self, transfer):
        if transfer.over:
            return
        self._carry(transfer)
        rate = min(
            self._source(transfer).share(sending=True),
            transfer.target.link.share(sending=False),
        )
        if rate == transfer.rate:
            return
        transfer.rate = rate
        transfer.serial += 1
        if rate > 0:
            end = self.now + transfer.left / rate
            self.at(end, self._end, transfer, transfer.serial)

    def _carry(self, transfer):
        part = transfer.rate * (self.now - transfer.updated_at)
        part = min(part, transfer.left)
        transfer.left -= part
        transfer.updated_at = self.now
        self._source(transfer).sent += part
        transfer.target.link.received += part
        source = transfer.source
        place = source.member.data_centre if source else weights.ORIGIN
        if place != transfer.target.member.data_centre:
            self.crossings[place, transfer.target.member.data_centre] += part

    def _watch(self, transfer):
        late = self.now + self.settings.no_bytes_timeout
        self.at(late, self._give_up, transfer)

    def _give_up(self, transfer):
        if transfer.over or transfer.rate > 0:
            return
        self._detach(transfer)
        self._fail(transfer.target, transfer.pull)

    def _fail(self, node, pull):
        if not node.alive:
            return
        node.view.fail(pull, self.now, self.settings.avoid)
        self._wake(node)

    def _detach(self, transfer):
        self._carry(transfer)
        transfer.over = True
        source = self._source(transfer)
        del source.sending[transfer]
        del transfer.target.link.receiving[transfer]
        if transfer.source:
            transfer.source.upload_limiter.end(transfer.left)
        self._rebalance(source, transfer.target.link)

    def _end(self, transfer, serial):
        if transfer.over or serial != transfer.serial:
            return
        self._detach(transfer)
        node = transfer.target
        if transfer.source:
            self._observe(node, transfer.source)
        if transfer.source and self._corrupts(transfer.source):
            self.corrupt += 1
            node.view.fail(transfer.pull, self.now, self.settings.avoid)
        else:
            node.view.finish(transfer.pull, self.now)
        if node.view.is_complete:
            node.done_at = self.now
        self._wake(node)

    def _corrupts(self, source):
        if source.corrupts:
            return True
        return self.rng.random() < self.settings.corrupt_share
