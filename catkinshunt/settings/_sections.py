"""Sections that the settings of several processes share."""

import attrs

from catkinshunt import httpio
from catkinshunt.settings import _fields


@attrs.frozen
class LogSettings:
    """How log lines are written to standard error.

    Attributes:
        format: ``'plain'`` text, or one JSON object a line.
        level: the least severe level that is written.
    """

    format: str = _fields.choice('plain', 'json', default='plain')
    level: str = _fields.choice(
        'DEBUG', 'INFO', 'WARNING', 'ERROR', default='INFO'
    )


@attrs.frozen
class ProcessSettings:
    """What every process of the system is told.

    Attributes:
        name: name of the instance, as in the instance list.
        data_centre: the data centre that the instance stands in.
        region: the region of that data centre.
        key_value_address: the platform's key-value service.
        instance_list_address: the platform's list of instances.
        deployment_key: shared by the processes of one deployment; control
            calls without it are refused.
        host: address that the process listens on.
        port: where requests arrive.
        control_port: where other processes of the system call.
        operator_port: metrics, health and status.
        stop_timeout_s: longest time that a planned stop waits for the
            requests in progress.
        log: how log lines are written.
    """

    name: str = _fields.text()
    data_centre: str = _fields.text()
    region: str = _fields.text()
    key_value_address: httpio.Address = _fields.address()
    instance_list_address: httpio.Address = _fields.address()
    deployment_key: str = _fields.secret()
    host: str = _fields.text('127.0.0.1')
    port: int = _fields.port(0)
    control_port: int = _fields.port(0)
    operator_port: int = _fields.port(0)
    stop_timeout_s: float = _fields.above_zero('seconds', 60.0)
    log: LogSettings = attrs.field(factory=LogSettings)

    def check(self):
        """Yield (field, given, allowed) for fields that do not fit."""
        ports = {}
        for name in ('port', 'control_port', 'operator_port'):
            value = getattr(self, name)
            if value and value in ports:
                allowed = f'another port than {ports[value]}'
                yield name, str(value), allowed
            ports.setdefault(value, name)
