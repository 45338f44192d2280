"""Detects members that wait for each other for the same chunk.

Members with different lists choose different sources: each of two may take the
other for the first receiver of a chunk, and both would wait forever. Each
member therefore reports in its replies for whom it waits itself.
"""

import json

from catkinshunt import checks

#: Time after its last request for which a member counts as waiting.
REQUEST_TTL_S = 1.5
#: Limits of a report: members of one chain, and chunks with a chain.
MAX_CHAIN_LENGTH = 8
MAX_REPORTED_CHAINS = 16


class WaitGraph:
    """Members that wait for this one and for which it waits, by chunk.

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
        """Set the source of which a chunk is requested."""
        self._chains[index] = (source,)

    def extend_chain(self, index, source, chain):
        """Append the chain for which a source waits itself."""
        known = self._chains.get(index)
        if known is not None and known[0] == source:
            self._chains[index] = (source, *chain)[:MAX_CHAIN_LENGTH]

    def note_requester(self, index, requester, now):
        """Record that `requester` waits for a chunk of this member."""
        self._requesters.setdefault(index, {})[requester] = now

    def chains(self, indices):
        """Return the wait chains of these chunks, up to a limit."""
        known = [index for index in indices if index in self._chains]
        return {
            index: self._chains[index] for index in known[:MAX_REPORTED_CHAINS]
        }

    def find_cycle(self, index, local_name, now):
        """Return the names of the members of a wait cycle with `local_name`.

        This member waits along the chain. The cycle is closed by this member
        itself on the chain, or by a member on it that requested the chunk
        here in the last REQUEST_TTL_S seconds. Empty if there is none.
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
    """Return chains by index as JSON."""
    return json.dumps(chains, separators=(',', ':'))


def load_chains(text):
    """Return the chains by index in a JSON text.

    Raises:
        ValueError: the text is invalid.
    """
    document = checks.load_json(text)
    if not isinstance(document, dict):
        raise ValueError(f'chains are not an object: {document!r:.60}')
    if not all(isinstance(chain, list) for chain in document.values()):
        raise ValueError('a chain is not a list')
    return {int(index): tuple(map(str, c)) for index, c in document.items()}
