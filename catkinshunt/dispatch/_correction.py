"""Correction of predicted delays by observed ones."""

from catkinshunt import base
from catkinshunt import checks
from catkinshunt.dispatch import _state

#: Weight of the newest delay in the running means, which cover about the last
#: ten.
NEWEST_WEIGHT = 0.1
#: Bounds of the correction factor. Predictions include only part of the load
#: of a shared engine, so they are too low under load and right without a
#: queue.
MIN_FACTOR = 1.0
MAX_FACTOR = 4.0
#: Half-life of the correction without observations, in seconds. An entry that
#: ranks no request as `Rank.EARLY` observes no delays, and without
#: the decay would keep ranking them so after the burst. The half-life is
#: shorter than a burst, and longer than the pauses in which engines load a
#: version.
HALF_LIFE_S = 2.0


class DelayCorrector(base.ParamsMixin):
    """Estimates by which factor delays exceed their predictions.

    An entry counts its own requests and gets only occasional reports of the
    load by others. In a burst past capacity it would rank too many requests as
    `Rank.EARLY`, so that none of them is in time. With the correction fewer
    are ranked so, and those meet their goal.

    Args:
        newest_weight: weight of the newest delay in the running means.

    Examples:
        >>> corrector = DelayCorrector(newest_weight=0.5)
        >>> corrector.observe(predicted_s=0.2, delay_s=0.6, now=10.0)
        >>> corrector.correct(0.1, now=10.0) > 0.2
        True
    """

    def __init__(self, newest_weight=NEWEST_WEIGHT):
        self.newest_weight = newest_weight
        # Equal values: the factor is 1 until a delay is observed.
        self._predicted_s = 0.1
        self._delay_s = 0.1
        self._observed_at = 0.0

    def observe(self, predicted_s, delay_s, now):
        """Record the delay of a request of rank `Rank.EARLY`.

        Delays of other ranks include the wait behind requests of earlier ranks
        and would raise the factor.

        Args:
            predicted_s: predicted seconds, without correction.
            delay_s: observed seconds.
            now: seconds on the monotonic clock.
        """
        checks.check_fraction(self.newest_weight, 'newest_weight')
        weight = self.newest_weight
        self._predicted_s += weight * (predicted_s - self._predicted_s)
        self._delay_s += weight * (delay_s - self._delay_s)
        self._observed_at = now

    def correct(self, predicted_s, now):
        """Return `predicted_s` with the correction applied."""
        return predicted_s * self.scale(now)

    def rank(self, waited_s, predicted_s, goal_s, now):
        """Return the `Rank` of a request.

        Args:
            waited_s: seconds that the client has waited so far, in earlier
                attempts too.
            predicted_s: predicted seconds to the first byte, uncorrected.
            goal_s: target for the time to the first byte, in seconds.
            now: seconds on the monotonic clock.
        """
        if waited_s + predicted_s > goal_s:
            return _state.Rank.LATE
        if waited_s + self.correct(predicted_s, now) > goal_s:
            return _state.Rank.DOUBTFUL
        return _state.Rank.EARLY

    def scale(self, now):
        """Return the correction factor, at least 1."""
        factor = self._delay_s / max(self._predicted_s, 1e-3)
        factor = min(max(factor, MIN_FACTOR), MAX_FACTOR)
        age_s = max(0.0, now - self._observed_at)
        return 1.0 + (factor - 1.0) * 0.5 ** (age_s / HALF_LIFE_S)
