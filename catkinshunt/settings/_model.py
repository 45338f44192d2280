"""Settings as `attrs` classes; names of fields contain the unit."""

import attrs

from catkinshunt.settings import _fields

DEFAULT_LINK_BYTES_PER_S = 1.25e9


@attrs.frozen(kw_only=True)
class PlatformSettings:
    """Addresses of the platform's services, each as ``host:port``.

    Attributes:
        key_value: the key-value service.
        instance_list: the list of live and leaving instances.
        origin: the origin of weights; empty for none.
        weight_store: the rate-limited weight store; empty for none.
        instance_list_period_s: seconds between reads of the list.
    """

    key_value: str = _fields.address()
    instance_list: str = _fields.address()
    origin: str = _fields.optional_address()
    weight_store: str = _fields.optional_address()
    instance_list_period_s: float = _fields.positive_number('seconds', 1.0)


@attrs.frozen(kw_only=True)
class _ProcessSettings:
    """Settings common to both roles.

    Attributes:
        name: name of the instance, as in the platform's list.
        region: region of the data centre.
        data_centre: data centre of the instance.
        deployment_key: secret shared by the processes of the deployment.
        platform: where the platform's services listen.
        host: address to listen on.
        port: port for requests; 0 selects a free one, which is not allowed
            for the sidecar of an engine.
        control_port: port for the other processes of the system.
        operator_port: port for health and metrics.
        threads: number of requests served concurrently.
        memory_mb: memory of the instance that the process may take.
        max_fds: descriptors that the process may open.
        stop_timeout_s: longest time that a planned stop waits for requests
            in progress.
        log_format: ``plain`` or ``json``.
        log_level: the lowest level that is written.
    """

    name: str = _fields.text()
    region: str = _fields.text()
    data_centre: str = _fields.text()
    deployment_key: str = _fields.secret()
    platform: PlatformSettings
    host: str = _fields.text('127.0.0.1')
    port: int = _fields.port(0)
    control_port: int = _fields.port(0)
    operator_port: int = _fields.port(0)
    threads: int = _fields.count(1, 10_000, default=64)
    memory_mb: float = _fields.positive_number('MB', 512.0)
    max_fds: int = _fields.count(256, 1_000_000, default=10_000)
    stop_timeout_s: float = _fields.positive_number('seconds', 60.0)
    log_format: str = _fields.choice('plain', 'json', default='plain')
    log_level: str = _fields.choice(
        'DEBUG', 'INFO', 'WARNING', 'ERROR', default='INFO'
    )

    def check(self):
        """Yield (field, given, allowed) for fields that do not fit."""
        ports = {}
        for name in ('port', 'control_port', 'operator_port'):
            value = getattr(self, name)
            if value and value in ports:
                yield name, str(value), f'another port than {ports[value]}'
            ports.setdefault(value, name)


@attrs.frozen(kw_only=True)
class ClaimSettings:
    """How requests with an idempotency key are recorded.

    Attributes:
        shards: documents in the key-value service; see docs/design.
        retention_s: how long a key is stored.
        answer_kept_s: how long a small answer is kept for repeated
            requests.
        commit_timeout_s: timeout for the key-value service.
        writes_per_s: this entry's share of the write rate of the service.
    """

    shards: int = _fields.count(1, 65536, default=32)
    retention_s: float = _fields.positive_number('seconds', 21600.0)
    answer_kept_s: float = _fields.positive_number('seconds', 600.0)
    commit_timeout_s: float = _fields.positive_number('seconds', 2.0)
    writes_per_s: float = _fields.positive_number('writes/s', 100.0)


@attrs.frozen(kw_only=True)
class EntrySettings(_ProcessSettings):
    """Settings of an entry instance.

    Attributes:
        default_deadline_s: deadline of a request without one.
        claims: how requests with an idempotency key are recorded.
    """

    default_deadline_s: float = _fields.positive_number('seconds', 30.0)
    claims: ClaimSettings = attrs.field(factory=ClaimSettings)


@attrs.frozen(kw_only=True)
class SidecarSettings(_ProcessSettings):
    """Settings of a sidecar, the process beside one upstream.

    Attributes:
        service: service of the upstream.
        upstream: address of the upstream, as ``host:port``.
        is_engine: whether the upstream is a model engine.
        concurrency: maximum number of concurrent requests to the upstream.
        link_bytes_per_s: bandwidth of the instance's network link.
    """

    service: str = _fields.text()
    upstream: str = _fields.address()
    is_engine: bool = False
    concurrency: int = _fields.count(1, 10_000, default=8)
    link_bytes_per_s: float = _fields.positive_number(
        'bytes/s', DEFAULT_LINK_BYTES_PER_S
    )

    def check(self):
        """Yield (field, given, allowed) for fields that do not fit."""
        yield from super().check()
        if self.is_engine and not self.platform.origin:
            allowed = "'host:port', since is_engine is true"
            yield 'platform.origin', 'nothing', allowed
        if self.is_engine and not self.port:
            # Binding the port prevents a second process from sending orders
            # to the same engine; with two ports both would run.
            yield 'port', '0', 'a fixed port, since is_engine is true'


@attrs.frozen(kw_only=True)
class OperatorSettings:
    """Settings of the operator commands.

    Attributes:
        platform: where the platform's services listen.
        operator_port: port for health and metrics of instances without an
            operator address in the platform's list.
        services: service names that rules may use; not checked if empty.
        timeout_s: timeout for one instance.
        deployment_key: key of the deployment; with it an accepted edit is
            also sent to a few instances directly, not only through the
            key-value service.
    """

    platform: PlatformSettings
    operator_port: int = _fields.port(9400)
    services: list[str] = _fields.names()
    timeout_s: float = _fields.positive_number('seconds', 2.0)
    deployment_key: str = _fields.optional_secret()


#: Settings classes of the processes, by role.
ROLES = {'entry': EntrySettings, 'sidecar': SidecarSettings}


def from_validated(role, value):
    """Return the settings of a process from their `attrs.asdict` form.

    The values are not checked again; they were when the file was read.

    Args:
        role: ``'entry'`` or ``'sidecar'``.
        value: the dictionary.
    """
    return _rebuild(ROLES[role], value)


def _rebuild(cls, value):
    """Return an instance of `cls` from `value`, its `asdict` form."""
    fields = dict(value)
    for field in attrs.fields(cls):
        if attrs.has(field.type) and isinstance(fields[field.name], dict):
            fields[field.name] = _rebuild(field.type, fields[field.name])
    return cls(**fields)
