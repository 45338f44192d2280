"""Per-entry state of upstreams, and the base class of policies."""

import abc
import enum

import attrs

from catkinshunt import base

#: Half-life of the weight of a load report.
HALF_LIFE_S = 16.0


class State(enum.StrEnum):
    """Whether an upstream accepts new requests."""

    SERVING = 'serving'
    LEAVING = 'leaving'
    SUSPECT = 'suspect'


class Result(enum.StrEnum):
    """How one exchange with an upstream ended."""

    ANSWERED = 'answered'
    REFUSED = 'refused'
    FAILED = 'failed'
    #: The caller disconnected; this does not count against the upstream.
    CANCELLED = 'cancelled'


@attrs.define
class UpstreamView:
    """State of one upstream in this entry.

    Attributes:
        name: unique name of the upstream.
        address: ``host:port`` of its sidecar.
        service: name of its service.
        data_centre: its data centre.
        region: the region of that data centre.
        in_flight: requests in flight from this entry.
        reported_load: requests in flight from all entries at the last report.
        in_flight_at_report: `in_flight` at the last report.
        reported_at: time of the last report, in seconds; None without one.
        state: whether it accepts new requests.
        model_versions: the versions it serves, as ``model/version``; None if
            unknown.
        started_at_ms: start of its process in Unix milliseconds, 0 if
            unknown.
        listed_state: state in the instance list.
        versions_at: time at which they were last reported or requested, in
            seconds.
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
    started_at_ms: int = 0
    listed_state: State | None = None

    def may_serve(self, model, version):
        """Return whether it serves a model; True if unknown.

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
    """The properties of a request that routing depends on.

    Attributes:
        service: service of the rule that matched.
        request_id: identifier of the request, for the log.
        prefix: leading bytes of the prompt; empty for plain services.
        model: required model; empty for a plain service.
        model_version: required version; empty for any.
        excluded: names of upstreams that have been tried.
        idempotent: whether the request may be executed more than once.
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
    """A chosen upstream, the reason, and the number of candidates."""

    upstream: UpstreamView
    grounds: str
    candidates: int = 0


@attrs.frozen
class Observation:
    """Outcome of one exchange, with the state reported in the reply.

    Attributes:
        upstream: the chosen `UpstreamView`.
        result: outcome of the exchange.
        state: state in the reply, or None.
        load: load in the reply, in requests, or None.
        model_versions: served versions in the reply, or None.
        finished: whether the request is no longer in flight there.
        back_off_s: seconds for which the upstream wants no requests.
    """

    upstream: UpstreamView
    result: Result
    state: State | None = attrs.field(
        default=None, converter=attrs.converters.optional(State)
    )
    load: float | None = None
    model_versions: frozenset | None = None
    finished: bool = True
    back_off_s: float = 0.0


def estimate_load(view, now, half_life_s=HALF_LIFE_S):
    """Return the estimated load of an upstream, in requests.

    The requests of this entry are counted; those of other entries are the
    reported load less the share of this entry, decayed with the age of the
    report.

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
    """Chooses one of the candidates; does not count requests itself."""

    @abc.abstractmethod
    def choose(self, req, candidates, now):
        """Return the `Choice` for a request.

        Args:
            req: the `RouteRequest`.
            candidates: usable `UpstreamView` objects, at least one.
            now: seconds, monotonic.
        """

    def observe(self, observation, now):  # noqa: B027
        """Record the outcome of an exchange; does nothing by default."""
