"""Rendezvous hashing with the last answers kept.

A transfer asks for the same orders again for each chunk.
"""

import functools

from catkinshunt import rendezvous

score = functools.lru_cache(maxsize=65536)(rendezvous.score)


@functools.lru_cache(maxsize=4096)
def _rank(key, names):
    return tuple(rendezvous.rank(key, names))


def rank(key, names):
    """Return `names` in the order of their weights for `key`."""
    return list(_rank(key, tuple(names)))
