"""Data classes of the operator's declaration and of upstreams."""

import attrs

from catkinshunt import http1
from catkinshunt import rules
from catkinshunt.rules import base as rules_base


@attrs.frozen
class Share:
    """A service and its weight in a weighted split of requests."""

    service: str
    weight: float


@attrs.frozen
class Serve(rules_base.BaseAction):
    """Route the request to an upstream of a service, within these bounds.

    Attributes:
        shares: services and their weights.
        timeout_s: maximum time in seconds that the caller waits.
        goal_s: latency target in seconds: the time to the answer, or to the
            first event of a stream.
        max_tries: maximum number of attempts, including the first one.
        priority: priority class; 0 is served first.
        idempotent: whether the request may safely run twice.
        streaming: whether the answer is a stream of events.
        resumable: whether another upstream can resume a broken stream.
        public: whether requests need no account key.
        gap_target_s: target in seconds for the longest gap between two
            events of a stream.
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
        """Whether an attempt that may have run can be retried elsewhere."""
        return self.idempotent or (self.streaming and self.resumable)

    def choose_service(self, fraction):
        """Return the service for `fraction`, a number in [0, 1).

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
    """Speed of the engines of a service, and size of their weights.

    Attributes:
        slots: requests that an engine runs concurrently.
        step_s: base time of one decode step in seconds.
        step_s_per_request: seconds that each decoding request adds to a step.
        prefill_tokens_per_s: prompt tokens processed per second.
        steps_per_pass: decode steps in one pass of the engine.
        mean_prompt_tokens: mean number of prompt tokens of a request.
        mean_output_tokens: mean number of output tokens of a request.
        models: names of the models that the engines serve.
        chunks: number of chunks in the weights of a version.
        chunk_bytes: size of a chunk in bytes.
        load_s: seconds that an engine takes to load complete weights.
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
    """Source of the weights of new versions.

    Attributes:
        address: pair of IP address and port.
        data_centre: name of its data centre.
        link_mbps: speed of its link in Mbit/s.
        max_connections: connections that it accepts from all members of a
            transfer together.
        models: names of the models that engines serve, by service.
    """

    address: tuple[str, int]
    data_centre: str = ''
    link_mbps: float = 10.0
    max_connections: int = 48
    models: dict = attrs.field(factory=dict)


@attrs.frozen
class Service:
    """A group of interchangeable upstreams.

    Attributes:
        name: name of the service.
        health_path: path of the health check.
        max_connections: connections that one upstream accepts.
        engine: profile of its model engines; None for a plain service.
        origin: set if the service is the origin of weights.
    """

    name: str
    health_path: str = ''
    max_connections: int = 64
    engine: EngineProfile | None = None
    origin: Origin | None = None


@attrs.frozen(slots=False)
class Declaration:
    """One accepted revision of the operator's configuration.

    Attributes:
        revision: number that rises with each accepted change.
        rule_set: ordered rules; the action of a request rule is `Serve`.
        services: `Service` by name.
        accounts: account name by key; None if no accounts are declared.
        account_priorities: priority class by account; overrides that of the
            rule.
        limits: limits on the size and timing of requests.
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
                return attrs.evolve(service.origin, models=self._models())
        return None

    def _models(self):
        return {
            service.name: service.engine.models
            for service in self.services.values()
            if service.engine is not None
        }


@attrs.frozen
class Upstream:
    """One process that answers requests of a service.

    Attributes:
        id: unique name.
        service: name of its service.
        address: pair of IP address and port.
        data_centre: name of its data centre.
        started_at_ms: start time in Unix milliseconds, or 0 if unknown; it
            changes if the process restarts under the same id.
        leaving: whether it accepts no new requests.
        versions: version of the loaded weights by model; empty for an engine
            without weights, None for a plain service.
        slots: requests that it runs concurrently.
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
        """Identity of this run of the upstream; a restart changes it."""
        return (self.id, self.started_at_ms, self.address)
