"""Corrects predicted delays by those that were seen."""

from catkinshunt import base
from catkinshunt import checks
from catkinshunt.dispatch import _state

#: Share of the newest delay in the running means; about the last ten count.
NEWEST_WEIGHT = 0.1
#: Bounds of the correction. Predictions are made from what one entry knows
#: of engines that all use, and are right where there is no queue.
LEAST_SCALE = 1.0
MOST_SCALE = 4.0
#: Seconds in which a correction halves while nothing new is learnt. An entry
#: that puts all requests behind would otherwise never see that the burst is
#: over; it is shorter than a burst, and longer than the pauses in which
#: engines load.
HALF_LIFE_S = 2.0


class DelayCorrector(base.ParamsMixin):
    """Learns by how much delays exceed what was predicted for them.

    An entry sees only its own requests and, now and then, how many others
    an engine has. In a burst past what the engines can do it would put so
    many requests first that none of them is in time. With the correction
    fewer are put first, and those are in time.

    Args:
        newest_weight: share of the newest delay in the running means.

    Examples:
        >>> forecast = DelayCorrector(newest_weight=0.5)
        >>> forecast.observe(predicted_s=0.2, delay_s=0.6, now=10.0)
        >>> forecast.correct(0.1, now=10.0) > 0.2
        True
    """

    def __init__(self, newest_weight=NEWEST_WEIGHT):
        self.newest_weight = newest_weight
        self._predicted_s = 0.1
        self._delay_s = 0.1
        self._learnt_at = 0.0

    def observe(self, predicted_s, delay_s, now):
        """Take in the delay of a request of the first rank.

        Args:
            predicted_s: seconds that were predicted, without correction.
            delay_s: seconds that it took.
            now: seconds on the steady clock.
        """
        checks.check_fraction(self.newest_weight, 'newest_weight')
        weight = self.newest_weight
        self._predicted_s += weight * (predicted_s - self._predicted_s)
        self._delay_s += weight * (delay_s - self._delay_s)
        self._learnt_at = now

    def correct(self, predicted_s, now):
        """Return the delay to expect where `predicted_s` is predicted."""
        return predicted_s * self.scale(now)

    def rank(self, waited_s, predicted_s, goal_s, now):
        """Return the `Rank` of a request.

        Args:
            waited_s: seconds that its caller has waited already.
            predicted_s: seconds to its first byte by prediction.
            goal_s: seconds after which it is late.
            now: seconds on the steady clock.
        """
        if waited_s + predicted_s > goal_s:
            return _state.Rank.LATE
        if waited_s + self.correct(predicted_s, now) > goal_s:
            return _state.Rank.AT_RISK
        return _state.Rank.ON_TIME

    def scale(self, now):
        """Return by how much delays exceed predictions, from 1."""
        scale = self._delay_s / max(self._predicted_s, 1e-3)
        scale = min(max(scale, LEAST_SCALE), MOST_SCALE)
        age_s = max(0.0, now - self._learnt_at)
        return 1.0 + (scale - 1.0) * 0.5 ** (age_s / HALF_LIFE_S)
