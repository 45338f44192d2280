"""What the operator declares, and the upstreams that are there."""

import attrs

from catkinshunt import http1
from catkinshunt import rules
from catkinshunt.rules import base as rules_base


@attrs.frozen
class Share:
    """A service and its weight among those that a rule spreads over."""

    service: str
    weight: float


@attrs.frozen
class Serve(rules_base.BaseAction):
    """Send the request to an upstream of a service, within these bounds.

    Attributes:
        shares: services that take the requests, by weight.
        timeout_s: longest time that the caller is kept waiting.
        goal_s: time to the answer, or to its first event, that is aimed at.
        max_tries: most upstreams that one request may be sent to.
        priority: rank; 0 goes first.
        idempotent: running it twice does no harm.
        streaming: the answer is a series of events.
        resumable: a broken series may be taken up by another upstream.
        public: needs no key of an account.
        gap_target_s: longest pause between events that is aimed at.
    """

    keyword = 'serve'

    shares: tuple[Share, ...] = attrs.field(converter=tuple)
    timeout_s: float = 30.0
    goal_s: float = 1.0
    max_tries: int = 1
    priority: int = 0
    idempotent: bool = False
    streaming: bool = False
    resumable: bool = False
    public: bool = False
    gap_target_s: float = 1.0

    @property
    def repeatable(self):
        """Whether a try that may have run can be made again elsewhere."""
        return self.idempotent or (self.streaming and self.resumable)

    def choose_service(self, fraction):
        """Return the service for `fraction`, from 0 up to 1.

        Examples:
            >>> serve = Serve([Share('a', 9), Share('b', 1)])
            >>> serve.choose_service(0.5), serve.choose_service(0.95)
            ('a', 'b')
        """
        left = fraction * sum(share.weight for share in self.shares)
        for share in self.shares:
            left -= share.weight
            if left < 0:
                return share.service
        return self.shares[-1].service


@attrs.frozen
class EngineProfile:
    """How fast the engines of a service work, and what their weights are.

    Attributes:
        slots: requests that an engine works on at once.
        step_s: time of one token step without any request.
        step_s_per_request: time that each writing request adds to a step.
        prefill_tokens_per_s: prompt tokens read in a second.
        stride: token steps in one pass.
        mean_prompt_tokens: mean prompt tokens of a request.
        mean_output_tokens: mean tokens of an answer.
        models: names of the models that the engines serve.
        chunks: pieces that the weights of a version consist of.
        chunk_bytes: bytes of one piece.
        load_s: time that loading whole weights takes.
    """

    slots: int = 8
    step_s: float = 0.01
    step_s_per_request: float = 0.0
    prefill_tokens_per_s: float = 20000.0
    steps_per_pass: int = 1
    mean_prompt_tokens: float = 1000.0
    mean_output_tokens: float = 100.0
    models: tuple[str, ...] = attrs.field(default=(), converter=tuple)
    chunks: int = 0
    chunk_bytes: int = 0
    load_s: float = 1.0


@attrs.frozen
class Origin:
    """Where the weights of new versions come from.

    Attributes:
        address: pair of IP address and port.
        data_centre: where it stands.
        link_mbps: speed of its link.
        max_connections: connections that it takes from all members.
    """

    address: tuple[str, int]
    data_centre: str = ''
    link_mbps: float = 10.0
    max_connections: int = 48


@attrs.frozen
class Service:
    """A group of upstreams that do the same work.

    Attributes:
        health_path: path of its health check.
        max_connections: connections that one upstream takes.
        engine: profile of its model engines; None for a plain service.
        origin: set where the service is an origin of weights.
    """

    name: str
    health_path: str = ''
    max_connections: int = 64
    engine: EngineProfile | None = None
    origin: Origin | None = None


@attrs.frozen(slots=False)
class Declaration:
    """One accepted revision of what the operator wants.

    Attributes:
        revision: grows with each accepted change.
        rule_set: ordered rules; those on requests end in `Serve`.
        services: `Service` by name.
        accounts: name of the account by key; None where none are declared.
        account_priorities: rank by account, where it has one of its own.
        limits: what callers may send.
    """

    revision: int
    rule_set: rules.RuleSet
    services: dict[str, Service]
    accounts: dict[str, str] | None = None
    account_priorities: dict[str, int] = attrs.field(factory=dict)
    limits: http1.Limits = attrs.field(factory=http1.Limits)

    @property
    def origin(self):
        """The `Origin` of weights, or None."""
        for service in self.services.values():
            if service.origin is not None:
                return service.origin
        return None


@attrs.frozen
class Upstream:
    """One process that answers requests of a service.

    Attributes:
        id: its name.
        address: pair of IP address and port.
        born: when it started, in milliseconds of the Unix time, or 0; one
            that starts again under its id has another value.
        leaving: it takes no new work.
        versions: version of the weights by model that it serves; empty for
            an engine that holds none. None for a plain service.
        slots: requests that it works on at once.
    """

    id: str
    service: str
    address: tuple[str, int]
    data_centre: str = ''
    started_at_ms: int = 0
    leaving: bool = False
    versions: dict[str, int] | None = None
    slots: int = 1

    @property
    def key(self):
        """Names this start of the upstream."""
        return (self.id, self.started_at_ms, self.address)
