"""Policies by their names in rules."""

import functools

from catkinshunt import errors
from catkinshunt.routing import _affinity
from catkinshunt.routing import _load

_POLICIES = {
    'random': _load.Random,
    'least-in-flight': _load.LeastInFlight,
    'two-choices': _load.PowerOfTwoChoices,
    'prefix-affinity': _affinity.PrefixAffinity,
}


@functools.lru_cache
def find_policy(name):
    """Return the policy that a rule names.

    Raises:
        RefusedError: the name is unknown; the request was not executed.

    Examples:
        >>> find_policy('two-choices')
        PowerOfTwoChoices(half_life_s=16.0, random_state=None)
    """
    if name not in _POLICIES:
        known = ', '.join(sorted(_POLICIES))
        raise errors.RefusedError(
            f'unknown policy {name!r}; known policies: {known}', step='choose'
        )
    return _POLICIES[name]()
