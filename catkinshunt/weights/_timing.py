"""Times of a transfer, derived from its size and the link rate."""

import attrs

_LIMITS = {
    'poll_s': (0.01, 0.5),
    'refresh_s': (0.1, 5.0),
    'takeover_s': (0.5, 30.0),
    'avoid_s': (0.3, 10.0),
}
_LINK_TIME_FRACTIONS = {
    'poll_s': 0.005,
    'refresh_s': 0.05,
    'takeover_s': 0.1,
    'avoid_s': 0.1,
}
#: Rate of the origin's link divided by that of an instance's link.
ORIGIN_LINK_RATIO = 2.0
#: Slowest transfer of a chunk before it times out, as a fraction of the
#: link rate.
_MIN_LINK_FRACTION = 0.002
_MIN_CHUNK_TIMEOUT_S = 5.0
_DECAY_COPY_TIMES = 10


@attrs.frozen
class Timing:
    """Times in seconds, with the fractions of `benchmarks.bench_weights`.

    Attributes:
        copy_s: transfer time of one copy over the instance's link.
        poll_s: interval between choices while no pull is possible.
        refresh_s: age at which a neighbour's bitmap is queried again.
        takeover_s: delay of a chunk before the next failover owner fetches
            it.
        avoid_s: time for which a peer is avoided after its first failure.
        chunk_timeout_s: time limit for one chunk.
        budget_decay_s: time in which the upload budget of a complete instance
            recovers by one copy.
    """

    copy_s = attrs.field()
    poll_s = attrs.field()
    refresh_s = attrs.field()
    takeover_s = attrs.field()
    avoid_s = attrs.field()
    chunk_timeout_s = attrs.field()
    budget_decay_s = attrs.field()

    @classmethod
    def for_link(cls, manifest, link_bytes_per_s):
        """Return the times for one version and link rate.

        Examples:
            >>> from catkinshunt import weights
            >>> manifest = weights.Manifest.from_bytes('m', '1', b'abc', 1)
            >>> Timing.for_link(manifest, 0.1).poll_s
            0.15
        """
        copy_s = manifest.size_bytes / link_bytes_per_s
        times = {
            name: min(
                max(fraction * copy_s, _LIMITS[name][0]), _LIMITS[name][1]
            )
            for name, fraction in _LINK_TIME_FRACTIONS.items()
        }
        slowest_s = manifest.chunk_bytes / (
            link_bytes_per_s * _MIN_LINK_FRACTION
        )
        return cls(
            copy_s=copy_s,
            chunk_timeout_s=max(slowest_s, _MIN_CHUNK_TIMEOUT_S),
            budget_decay_s=_DECAY_COPY_TIMES * max(copy_s, times['poll_s']),
            **times,
        )
