"""Handlers for the signals that the platform sends to a process."""

import asyncio
import signal

from catkinshunt import errors
from catkinshunt import logs
from catkinshunt.platform import _settings

_log = logs.get_logger('signals')


def install_signal_handlers():
    """Handle SIGTERM and SIGHUP; return an event that SIGTERM sets.

    SIGHUP checks the settings file and logs the result; the settings in force
    stay. Its default action would end the process.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _check_settings)
    return stop


def _check_settings():
    try:
        cfg = _settings.load_instance_settings()
    except errors.SettingsError as exc:
        _log.error('Kept the old settings: {}.', exc)
        return
    _log.info('Read the settings of {} again.', cfg.name)
