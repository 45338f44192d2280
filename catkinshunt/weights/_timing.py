"""Times of a transfer, which follow from size and link."""

import attrs

_LIMITS = {
    'poll_s': (0.01, 0.5),
    'refresh_s': (0.1, 5.0),
    'takeover_s': (0.5, 30.0),
    'avoid_s': (0.3, 10.0),
}
_SHARES = {
    'poll_s': 0.005,
    'refresh_s': 0.05,
    'takeover_s': 0.1,
    'avoid_s': 0.1,
}
#: The origin's link carries so many times what an instance's link does.
ORIGIN_LINK_RATIO = 2.0
#: Slowest link that a chunk's time-out allows for, as a part of the rate.
_SLOWEST = 0.002
_SHORTEST_CHUNK_S = 5.0
_FORGET_COPIES = 10


@attrs.frozen
class Timing:
    """Times in seconds; the shares are those of `benchmarks.bench_weights`.

    Attributes:
        link_s: one copy over the instance's link.
        poll_s: wait between choices while nothing can be chosen.
        refresh_s: age at which a neighbour's holdings are asked again.
        takeover_s: lateness of a chunk before another drawer steps in.
        avoid_s: time for which a failed peer is left alone at first.
        chunk_s: longest time for one chunk.
        budget_decay_s: time in which a whole instance forgets one copy sent.
    """

    link_s = attrs.field()
    poll_s = attrs.field()
    refresh_s = attrs.field()
    takeover_s = attrs.field()
    avoid_s = attrs.field()
    chunk_s = attrs.field()
    budget_decay_s = attrs.field()

    @classmethod
    def of(cls, manifest, link_bytes_per_s):
        """Return the times for one version over one kind of link.

        Examples:
            >>> from catkinshunt import weights
            >>> manifest = weights.Manifest.from_bytes('m', '1', b'abc', 1)
            >>> Timing.of(manifest, 0.1).poll_s
            0.15
        """
        link_s = manifest.size_bytes / link_bytes_per_s
        times = {
            name: min(max(share * link_s, _LIMITS[name][0]), _LIMITS[name][1])
            for name, share in _SHARES.items()
        }
        slowest_s = manifest.chunk_bytes / (link_bytes_per_s * _SLOWEST)
        return cls(
            link_s=link_s,
            chunk_s=max(slowest_s, _SHORTEST_CHUNK_S),
            budget_decay_s=_FORGET_COPIES * max(link_s, times['poll_s']),
            **times,
        )
