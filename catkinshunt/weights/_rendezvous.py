"""Rendezvous hashing with cached results.

A transfer needs the same rankings for each chunk.
"""

import functools

from catkinshunt import rendezvous

score = functools.lru_cache(maxsize=65536)(rendezvous.score)


@functools.lru_cache(maxsize=4096)
def _rank(key, names):
    return tuple(rendezvous.rank(key, names))


def rank(key, names):
    """Return `names` in rendezvous order for `key`."""
    return list(_rank(key, tuple(names)))
