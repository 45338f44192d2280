"""What a rule may decide for a request or an event."""

import attrs

from catkinshunt.rules import _fields
from catkinshunt.rules import base


def _optional(validator):
    return attrs.field(
        default=None, validator=attrs.validators.optional(validator)
    )


@attrs.frozen
class Route(base.BaseAction):
    """Send the request to an upstream of a service.

    Args:
        service: name of the service whose upstreams take the request.
        model: model that must answer; None for a plain service.
        version: version of the model; None for the version placed there.
        policy: name of the routing policy; None for the entry's own.
        deadline_s: seconds within which the answer must be whole; None for
            the entry's own.
        priority: higher goes first in the engine's queue.
        account_weight: share of the account when accounts compete.
    """

    keyword = 'route'

    service: str = attrs.field(validator=_fields.text)
    model: str | None = _optional(_fields.text)
    version: str | None = _optional(_fields.text)
    policy: str | None = _optional(_fields.text)
    deadline_s: float | None = _optional(_fields.positive)
    priority: int = attrs.field(default=0, validator=_fields.whole)
    account_weight: float = attrs.field(
        default=1.0, validator=_fields.positive
    )


@attrs.frozen
class Refuse(base.BaseAction):
    """Refuse the request as not run, or hold no model on the instance.

    Args:
        reason: what the caller is told.
        retry_after_s: seconds after which the caller may come back.
    """

    keyword = 'refuse'

    reason: str = attrs.field(validator=_fields.text)
    retry_after_s: float = attrs.field(
        default=60.0, validator=_fields.positive
    )


@attrs.frozen
class Place(base.BaseAction):
    """Hold a model version on the instances that the rule matches.

    Args:
        model: name of the model.
        version: version of its weights.
        replicas: how many of the instances hold it; None means all.
        lean: ``'time'`` favours time to N replicas, ``'origin'`` favours
            few bytes from the origin, a number from 0 (origin) to 1 (time)
            lies between.

    Examples:
        >>> Place('tools', '7', lean='origin').time_preference
        0.0
    """

    keyword = 'place'

    model: str = attrs.field(validator=_fields.text)
    version: str = attrs.field(validator=_fields.text)
    replicas: int | None = _optional(_fields.count)
    lean: str | float = attrs.field(default='time', validator=_fields.leaning)

    @property
    def time_preference(self):
        """The leaning as a number from 0 (origin) to 1 (time)."""
        if isinstance(self.lean, str):
            return _fields.LEANINGS[self.lean]
        return float(self.lean)


#: Actions allowed for each subject, by the words of the rules file.
ACTIONS = {
    'request': {cls.keyword: cls for cls in (Route, Refuse)},
    'event': {cls.keyword: cls for cls in (Place, Refuse)},
}
