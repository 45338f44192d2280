"""Strategies with fixed parents: chain, tree and striped trees."""

import abc

from catkinshunt.weights import _rendezvous
from catkinshunt.weights import _view
from catkinshunt.weights import base


class BaseOrderedStrategy(base.BaseStrategy):
    """Pulls each stripe of chunks, in order, from its parent.

    When the parent fails, the next ancestor takes its place.

    Args:
        max_pulls: pulls of one instance at a time.
    """

    #: Chunk ``c`` belongs to stripe ``c % n_stripes``.
    n_stripes = 1

    def __init__(self, max_pulls=4):
        self.max_pulls = max_pulls

    @abc.abstractmethod
    def parents(self, order, me, stripe):
        """Return the ancestors of `me`, nearest first, without the origin."""

    def neighbours(self, view, now):
        chosen = [self._parent(view, i, now) for i in range(self.n_stripes)]
        return tuple({name for name in chosen if name != base.ORIGIN})

    def choose(self, view, now):
        if view.n_pulls >= self.max_pulls:
            return None
        missing = view.missing
        for stripe in range(self.n_stripes):
            pull = self._choose_stripe(view, stripe, missing, now)
            if pull is not None:
                return pull
        return None

    def _choose_stripe(self, view, stripe, missing, now):
        wanted = missing & self._mask(stripe, view.n_chunks)
        parent = self._parent(view, stripe, now)
        if parent != base.ORIGIN:
            peer = view.peer(parent)
            wanted &= peer.bitmap if peer.busy_until <= now else 0
        if not wanted:
            return None
        return _view.Pull((wanted & -wanted).bit_length() - 1, parent)

    def _mask(self, stripe, n_chunks):
        return sum(1 << c for c in range(stripe, n_chunks, self.n_stripes))

    def _parent(self, view, stripe, now):
        if view.plan is None:
            names = tuple(one.name for one in view.members)
            order = _rendezvous.rank('order', names)
            view.plan = [
                self.parents(order, view.me, i) for i in range(self.n_stripes)
            ]
        for name in view.plan[stripe]:
            if view.usable(name, now):
                return name
        return base.ORIGIN


class ChainStrategy(BaseOrderedStrategy):
    """Each instance pulls from the one before it."""

    def parents(self, order, me, stripe):
        return order[: order.index(me)][::-1]


class TreeStrategy(BaseOrderedStrategy):
    """A tree in which each interior instance sends to `fanout` others."""

    def __init__(self, fanout=2, max_pulls=4):
        super().__init__(max_pulls)
        self.fanout = fanout

    def parents(self, order, me, stripe):
        return _ancestors(order, order.index(me), self.fanout)


class StripedStrategy(BaseOrderedStrategy):
    """One tree a stripe; each instance is interior in one tree only."""

    def __init__(self, n_stripes=4, max_pulls=4):
        super().__init__(max_pulls)
        self.n_stripes = n_stripes

    def parents(self, order, me, stripe):
        # Interior instances of this stripe come first in its tree, so that
        # the leaves are those that are interior elsewhere.
        inner = order[stripe :: self.n_stripes]
        rest = [name for name in order if name not in set(inner)]
        tree = list(inner) + rest
        return _ancestors(tree, tree.index(me), self.n_stripes)


def _ancestors(order, index, fanout):
    names = []
    while index > 0:
        index = (index - 1) // fanout
        names.append(order[index])
    return names
