"""Finds members that wait for each other for the same chunk.

Members whose lists differ choose different sources: each of two may take the
other for the one that gets a chunk first, and both would wait for ever. Each
member therefore tells those that it keeps waiting whom it waits for itself.
"""

import json

from catkinshunt import checks

#: Seconds for which whoever asked for a chunk counts as one that waits.
REQUEST_TTL_S = 1.5
#: Members of a chain that are told, and chunks whose chain is told at once.
MAX_CHAIN_LENGTH = 8
MAX_REPORTED_CHAINS = 16


class WaitGraph:
    """Who waits for this member, and for whom it waits, by chunk.

    Examples:
        >>> wait_graph = WaitGraph()
        >>> wait_graph.set_source(7, 'b')
        >>> wait_graph.note_requester(7, 'c', now=1.0)
        >>> wait_graph.extend_chain(7, 'b', ('c', 'a'))
        >>> sorted(wait_graph.find_cycle(7, 'a', now=1.1))
        ['a', 'b', 'c']
    """

    def __init__(self):
        self._chains = {}
        self._requesters = {}

    def set_source(self, index, source):
        """Note that a chunk is asked of a source from now on."""
        self._chains[index] = (source,)

    def extend_chain(self, index, source, chain):
        """Note for whom a source waits itself for a chunk."""
        known = self._chains.get(index)
        if known is not None and known[0] == source:
            self._chains[index] = (source, *chain)[:MAX_CHAIN_LENGTH]

    def note_requester(self, index, requester, now):
        """Note that `requester` waits for a chunk from here."""
        self._requesters.setdefault(index, {})[requester] = now

    def chains(self, indices):
        """Return the chains of some of these chunks, to be told."""
        known = [index for index in indices if index in self._chains]
        return {
            index: self._chains[index] for index in known[:MAX_REPORTED_CHAINS]
        }

    def find_cycle(self, index, local_name, now):
        """Return the names of the members of a wait cycle with `local_name`.

        It is empty where the chunk comes from somewhere.
        """
        chain = self._chains.get(index, ())
        requesters = self._requesters.get(index, {})
        for position, name in enumerate(chain):
            if name == local_name:
                return {*chain[:position], local_name}
            if now - requesters.get(name, -REQUEST_TTL_S) < REQUEST_TTL_S:
                return {*chain[: position + 1], local_name}
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
