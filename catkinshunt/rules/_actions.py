"""Actions of rules for requests and events."""

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
        service: name of the service whose upstreams receive the request.
        model: model that must serve the request; None for a plain service.
        version: version of the model; None for any version placed there.
        policy: name of the routing policy; None for the default of the
            entry.
        deadline_s: time until the response must be complete, seconds; None
            for the default of the entry.
        priority: requests of higher priority leave the engine's queue first.
        account_weight: weight of the account when accounts compete.
    """

    keyword = 'route'

    service: str = attrs.field(validator=_fields.nonempty_text)
    model: str | None = _optional(_fields.nonempty_text)
    version: str | None = _optional(_fields.nonempty_text)
    policy: str | None = _optional(_fields.nonempty_text)
    deadline_s: float | None = _optional(_fields.positive_number)
    priority: int = attrs.field(default=0, validator=_fields.integer)
    account_weight: float = attrs.field(
        default=1.0, validator=_fields.positive_number
    )


@attrs.frozen
class Refuse(base.BaseAction):
    """Reject the request unexecuted, or place no model on the instance.

    For an event only the action itself counts; the arguments are ignored.

    Args:
        reason: reason given to the client.
        retry_after_s: seconds after which the client may retry.
    """

    keyword = 'refuse'

    reason: str = attrs.field(validator=_fields.nonempty_text)
    retry_after_s: float = attrs.field(
        default=60.0, validator=_fields.positive_number
    )


@attrs.frozen
class Place(base.BaseAction):
    """Place a model version on the instances that match the rule.

    Args:
        model: name of the model.
        version: version of its weights.
        replicas: number of instances that hold it; None for all.
        lean: objective of the transfer as written in the rules file, see
            `time_preference`. ``'time'`` minimizes the time to N replicas,
            ``'origin'`` the bytes from the origin; a number from
            0 (origin) to 1 (time) weighs the two.

    Examples:
        >>> Place('tools', '7', lean='origin').time_preference
        0.0
    """

    keyword = 'place'

    model: str = attrs.field(validator=_fields.nonempty_text)
    version: str = attrs.field(validator=_fields.nonempty_text)
    replicas: int | None = _optional(_fields.positive_integer)
    lean: str | float = attrs.field(default='time', validator=_fields.lean)

    @property
    def time_preference(self):
        """`lean` as a number from 0 (origin) to 1 (time)."""
        if isinstance(self.lean, str):
            return _fields.NAMED_LEANS[self.lean]
        return float(self.lean)


#: Allowed actions by subject and keyword of the rules file.
ACTIONS = {
    'request': {cls.keyword: cls for cls in (Route, Refuse)},
    'event': {cls.keyword: cls for cls in (Place, Refuse)},
}
