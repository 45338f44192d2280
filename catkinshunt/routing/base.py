"""What one entry knows of upstreams, and the base class of policies."""

import abc
import enum

import attrs

from catkinshunt import base

#: Seconds in which a reported load loses half of its weight.
HALF_LIFE_S = 16.0


class State(enum.StrEnum):
    """Whether an upstream may get new work."""

    SERVING = 'serving'
    LEAVING = 'leaving'
    SUSPECT = 'suspect'


class Result(enum.StrEnum):
    """How one exchange with an upstream ended."""

    ANSWERED = 'answered'
    REFUSED = 'refused'
    FAILED = 'failed'
    #: The caller went away; it says nothing of the upstream's health.
    CANCELLED = 'cancelled'


@attrs.define
class UpstreamView:
    """One upstream as this entry sees it.

    Attributes:
        name: unique name of the upstream.
        address: ``host:port`` of the sidecar beside it.
        service: the service it belongs to.
        data_centre: where it runs.
        region: the region of that data centre.
        in_flight: requests of this entry that it has now.
        reported_load: requests it had, of all entries, when it last said so.
        in_flight_at_report: `in_flight` at that time.
        reported_at: when that was, in seconds; None if it never did.
        state: whether it may get new work.
        model_versions: what it serves, as ``model/version``; None when not
            known.
        versions_at: when it last said so, in seconds.
    """

    name: str
    address: str
    service: str
    data_centre: str = ''
    region: str = ''
    in_flight: int = 0
    reported_load: float = 0.0
    in_flight_at_report: int = 0
    reported_at: float | None = None
    state: State = attrs.field(default=State.SERVING, converter=State)
    model_versions: frozenset | None = attrs.field(
        default=None, converter=attrs.converters.optional(frozenset)
    )
    versions_at: float = 0.0

    def may_serve(self, model, version):
        """Return whether it serves a model, as far as is known.

        Args:
            model: name of the model; empty for a plain service.
            version: the version; empty for any.
        """
        if not model or self.model_versions is None:
            return True
        if version:
            return f'{model}/{version}' in self.model_versions
        begin = f'{model}/'
        return any(each.startswith(begin) for each in self.model_versions)


@attrs.frozen
class RouteRequest:
    """What the choice of an upstream needs to know of a request.

    Attributes:
        service: the service that the matching rule names.
        request_id: identifier of the request, for the log.
        prefix: start of the prompt, in bytes; empty for plain services.
        model: model that must be served; empty for a plain service.
        model_version: version of it; empty for any.
        excluded: names of upstreams that this request has tried.
        idempotent: whether running it twice does no harm.
    """

    service: str
    request_id: str = ''
    prefix: bytes = b''
    model: str = ''
    model_version: str = ''
    excluded: frozenset = attrs.field(factory=frozenset, converter=frozenset)
    idempotent: bool = True


@attrs.frozen
class Choice:
    """A chosen upstream, the grounds, and from how many it was chosen."""

    upstream: UpstreamView
    grounds: str
    candidates: int = 0


@attrs.frozen
class Observation:
    """How one exchange ended, and what the reply said of its sender.

    Attributes:
        upstream: the `UpstreamView` that was chosen.
        result: how the exchange ended.
        state: state named on the reply, or None.
        load: load named on the reply, in requests, or None.
        model_versions: versions named on the reply, or None.
        finished: whether the request is no longer in flight there.
    """

    upstream: UpstreamView
    result: Result
    state: State | None = attrs.field(
        default=None, converter=attrs.converters.optional(State)
    )
    load: float | None = None
    model_versions: frozenset | None = None
    finished: bool = True


def estimate_load(view, now, half_life_s=HALF_LIFE_S):
    """Return the load of an upstream in requests, as far as known here.

    The own requests are known; those of other entries are the reported load
    less the own share of it, and count for less as the report grows old.

    Examples:
        >>> view = UpstreamView('a', '127.0.0.1:1', 'model', in_flight=2,
        ...     reported_load=9, in_flight_at_report=1, reported_at=10.0)
        >>> estimate_load(view, now=10.0)
        10.0
        >>> estimate_load(view, now=26.0)
        6.0
    """
    if view.reported_at is None:
        return float(view.in_flight)
    others = view.reported_load - view.in_flight_at_report
    if others <= 0:
        return float(view.in_flight)
    age_s = max(0.0, now - view.reported_at)
    return view.in_flight + others * 0.5 ** (age_s / half_life_s)


class BasePolicy(base.ParamsMixin, abc.ABC):
    """Chooses one of the candidates; keeps no count of its own."""

    @abc.abstractmethod
    def choose(self, req, candidates, now):
        """Return the `Choice` for a request.

        Args:
            req: the `RouteRequest`.
            candidates: `UpstreamView` objects that may get it, at least one.
            now: seconds, monotonic.
        """

    def observe(self, observation, now):  # noqa: B027
        """Take note of how an exchange ended; most policies need not."""
