"""Reads the platform's settings file of an instance."""

import os
import tomllib

import attrs

from catkinshunt import errors
from catkinshunt import settings

#: Environment variable that holds the path of the settings file.
SETTINGS_VARIABLE = 'CATKINSHUNT_CONFIG'
_MS = 1000.0
#: Limits of an instance whose settings state none.
DEFAULT_MEMORY_MB = 160.0
DEFAULT_MAX_FDS = 1024


@attrs.frozen
class Bounds:
    """Limits that the system must keep.

    Attributes:
        drain_s: longest time in seconds after an upstream starts to drain at
            which it gets new work.
        grace_s: seconds between SIGTERM and SIGKILL.
        config_s: longest time in seconds until an accepted configuration is
            in force.
        revoke_s: longest time in seconds for which a revoked API key is
            still served.
        version_s: longest time in seconds after a version is announced at
            which a request begins on an older one.
        retry_ratio: share of the requests that may be retried.
        retry_slack: retries allowed beyond that share in one measurement
            window, for all processes together.
    """

    drain_s: float = 2.0
    grace_s: float = 8.0
    config_s: float = 2.0
    revoke_s: float = 5.0
    version_s: float = 8.0
    retry_ratio: float = 0.2
    retry_slack: float = 100.0


@attrs.frozen
class InstanceSettings:
    """Settings of the process on one instance.

    Attributes:
        name: name of the instance.
        ip: its IP address.
        data_centre: its data centre.
        regions: region by data centre.
        frontend_address: (ip, port) for callers, or None.
        ready_address: (ip, port) of the readiness check, or None.
        port_range: first and last port that the system may use.
        store_address: (ip, port) of the platform's store.
        link_mbps: bandwidth of the instance's link in Mbit/s.
        memory_mb: memory that the process may take, in MB.
        max_fds: descriptors that the process may open.
        engine_address: (ip, port) of the engine on this instance, or None.
        service: service of that engine, or ''.
        bounds: `Bounds` in force.
        heartbeat_s: seconds between two heartbeats of an upstream in the
            store.
    """

    name: str
    ip: str
    data_centre: str
    regions: dict
    frontend_address: tuple | None
    ready_address: tuple | None
    port_range: tuple
    store_address: tuple
    link_mbps: float
    engine_address: tuple | None
    service: str
    bounds: Bounds
    heartbeat_s: float = 1.0
    memory_mb: float = DEFAULT_MEMORY_MB
    max_fds: int = DEFAULT_MAX_FDS


class _FieldReader:
    """Reads fields of a document and collects the problems found."""

    def __init__(self, document, path):
        self.document = document
        self.path = path
        self.problems = []

    def get(self, name, kinds, default=None, required=False):
        value = self.document
        for part in name.split('.'):
            value = value.get(part) if isinstance(value, dict) else None
        if value is None and not required:
            return default
        if isinstance(value, bool) or not isinstance(value, kinds):
            self._add_problem(name, value, _describe_type(kinds))
            return default
        return value

    def positive(self, name, default):
        value = self.get(name, _NUMBER, default)
        if value > 0:
            return value
        self._add_problem(name, value, 'a number above 0')
        return default

    def address(self, name, required=False):
        text = self.get(name, str, required=required)
        if text is None:
            return None
        try:
            return parse_address(text)
        except ValueError:
            self._add_problem(name, text, 'an address such as 10.0.0.1:8000')
            return None

    def _add_problem(self, name, value, wanted):
        shown = settings.format_value(value)
        self.problems.append(settings.Problem(self.path, name, shown, wanted))


_NUMBER = (int, float)


def _describe_type(kinds):
    if kinds is _NUMBER:
        return 'a number'
    return {str: 'a text', dict: 'a table', list: 'a list'}[kinds]


def parse_address(text):
    """Return (ip, port) of a string such as ``'10.0.0.1:80'``.

    Raises:
        ValueError: the string is not an address.
    """
    host, _, port = text.rpartition(':')
    number = int(port)
    if not host or not 0 < number < 65536:
        raise ValueError(f'not an address: {text!r}')
    return host, number


def load_instance_settings(path=None):
    """Return the `InstanceSettings` in the file at `path`.

    Args:
        path: path of the file; None for the one in `SETTINGS_VARIABLE`.

    Raises:
        errors.SettingsError: the file cannot be read, or fields are invalid;
            the message lists each of them.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise errors.SettingsError(f'{SETTINGS_VARIABLE} is not set')
    return parse_instance_settings(load_toml(path), path)


def load_toml(path):
    """Return the document in the TOML file at `path`.

    Raises:
        errors.SettingsError: the file cannot be read or is not TOML.
    """
    try:
        with open(path, 'rb') as file:
            return tomllib.load(file)
    except OSError as exc:
        raise errors.SettingsError(f'{path}: {exc.strerror}') from exc
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
        raise errors.SettingsError(f'{path}: not TOML: {exc}') from exc


def parse_instance_settings(document, path='settings'):
    """Return the `InstanceSettings` in a decoded document.

    Args:
        document: the TOML document as a dict.
        path: path that error messages name.

    Raises:
        errors.SettingsError: fields are invalid; the message lists each of
            them.
    """
    reader = _FieldReader(document, path)
    cfg = InstanceSettings(
        name=reader.get('node_name', str, required=True),
        ip=reader.get('ip', str, required=True),
        # 'zone' is the data centre; 'zones' gives the region of each.
        data_centre=reader.get('zone', str, required=True),
        regions=dict(reader.get('zones', dict, {})),
        frontend_address=reader.address('listen.frontend'),
        ready_address=reader.address('listen.ready'),
        port_range=tuple(reader.get('port_range', list, [0, 0])),
        store_address=reader.address('platform.address', required=True),
        link_mbps=reader.get('limits.link_mbps', _NUMBER, 1000.0),
        # 'app' is the address of the engine on this instance.
        engine_address=reader.address('app'),
        service=reader.get('service', str, ''),
        bounds=_parse_bounds(reader),
        heartbeat_s=reader.get('heartbeat_ms', _NUMBER, _MS) / _MS,
        memory_mb=reader.positive('limits.memory_mb', DEFAULT_MEMORY_MB),
        max_fds=int(reader.positive('limits.max_fds', DEFAULT_MAX_FDS)),
    )
    if reader.problems:
        raise errors.SettingsError(
            '\n'.join(str(problem) for problem in reader.problems),
            problems=tuple(reader.problems),
        )
    return cfg


def _parse_bounds(reader):
    default = Bounds()

    def seconds(name, value):
        return reader.get(f'bounds.{name}', _NUMBER, value * _MS) / _MS

    return Bounds(
        drain_s=seconds('drain_ms', default.drain_s),
        grace_s=reader.get('bounds.grace_s', _NUMBER, default.grace_s),
        config_s=seconds('config_ms', default.config_s),
        revoke_s=seconds('revoke_ms', default.revoke_s),
        version_s=seconds('version_ms', default.version_s),
        retry_ratio=reader.get(
            'bounds.retry_ratio', _NUMBER, default.retry_ratio
        ),
        retry_slack=reader.get(
            'bounds.retry_slack', _NUMBER, default.retry_slack
        ),
    )
