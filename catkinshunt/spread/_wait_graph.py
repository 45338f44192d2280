"""Finds members that wait for each other for the same chunk.

Members whose lists differ choose different sources: each of two may take the
other for the one that gets a chunk first, and both would wait for ever. Each
member therefore tells those that it keeps waiting whom it waits for itself.
"""

import json

from catkinshunt import checks

#: Seconds for which whoever asked for a chunk counts as one that waits.
ASKED_S = 1.5
#: Members of a chain that are told, and chunks whose chain is told at once.
MOST_LINKS = 8
MOST_TOLD = 16


class Waits:
    """Who waits for this member, and for whom it waits, by chunk.

    Examples:
        >>> waits = Waits()
        >>> waits.ask(7, 'b')
        >>> waits.note_asker(7, 'c', now=1.0)
        >>> waits.hear(7, 'b', ('c', 'a'))
        >>> sorted(waits.loop(7, 'a', now=1.1))
        ['a', 'b', 'c']
    """

    def __init__(self):
        self._chains = {}
        self._askers = {}

    def ask(self, index, source):
        """Note that a chunk is asked of a source from now on."""
        self._chains[index] = (source,)

    def hear(self, index, source, chain):
        """Note for whom a source waits itself for a chunk."""
        known = self._chains.get(index)
        if known is not None and known[0] == source:
            self._chains[index] = (source, *chain)[:MOST_LINKS]

    def note_asker(self, index, asker, now):
        """Note that `asker` waits for a chunk from here."""
        self._askers.setdefault(index, {})[asker] = now

    def chains(self, indices):
        """Return the chains of some of these chunks, to be told."""
        known = [index for index in indices if index in self._chains]
        return {index: self._chains[index] for index in known[:MOST_TOLD]}

    def loop(self, index, me, now):
        """Return the names of those that wait for each other, with `me`.

        It is empty where the chunk comes from somewhere.
        """
        chain = self._chains.get(index, ())
        askers = self._askers.get(index, {})
        for place, name in enumerate(chain):
            if name == me:
                return {*chain[:place], me}
            if now - askers.get(name, -ASKED_S) < ASKED_S:
                return {*chain[: place + 1], me}
        return set()


def dump_chains(chains):
    """Return chains by index as text."""
    return json.dumps(chains, separators=(',', ':'))


def load_chains(text):
    """Return the chains by index in a text.

    Raises:
        ValueError: it tells none.
    """
    document = checks.load_json(text)
    if not isinstance(document, dict):
        raise ValueError(f'chains are {document!r:.60}')
    if not all(isinstance(chain, list) for chain in document.values()):
        raise ValueError('a chain is no list')
    return {int(index): tuple(map(str, c)) for index, c in document.items()}
