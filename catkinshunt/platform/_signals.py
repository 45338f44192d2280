"""Signals that the platform sends to a process."""

import asyncio
import signal

from catkinshunt import errors
from catkinshunt import logs
from catkinshunt.platform import _settings

_log = logs.get_logger('signals')


def install_signal_handlers():
    """Return an event that is set at the signal to stop.

    The signal to reload reads the settings anew and says what came of it.
    Left to its default it would end the process.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _reload_settings)
    return stop


def _reload_settings():
    try:
        cfg = _settings.load_instance_settings()
    except errors.SettingsError as exc:
        _log.error('Kept the old settings: {}.', exc)
        return
    _log.info('Read the settings of {} again.', cfg.name)
