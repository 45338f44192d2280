"""Runs an entry or a sidecar until a stop signal.

Each command imports only the modules of its role, to save memory.
"""

import gc
import linecache

from catkinshunt.cli import _excluded_modules
from catkinshunt.cli import _relaunch
from catkinshunt.cli import _stop_signal


def check_and_serve(role, path):
    """Check the settings at `path`, then run `role` in a new process image."""
    from catkinshunt import settings

    cfg = settings.load_settings(path, settings.ROLES[role])
    _relaunch.replace_process(role, path, cfg)


def serve_checked(role, _path, read_end):
    """Run `role` with the settings passed on by `check_and_serve`."""
    _excluded_modules.keep_out(role)
    cfg = _relaunch.read_settings(role, read_end)
    if role == 'entry':
        from catkinshunt import entry

        _serve(entry.EntryProcess(cfg))
    else:
        from catkinshunt import sidecar

        _serve(sidecar.SidecarProcess(cfg))


def _serve(process):
    """Run `process` until a stop signal; print its address first."""
    from catkinshunt import logs

    cfg = process.cfg
    logs.configure(cfg.log_format, cfg.log_level, [cfg.deployment_key])
    log = logs.get_logger('process')
    _stop_signal.block()
    with process:
        # Frees the garbage of start-up once and excludes the remaining
        # objects from later collections.
        gc.collect()
        gc.freeze()
        # attrs caches the source text of each method that it generates.
        linecache.clearcache()
        print(process.address, flush=True)
        log.info('{} listens on {}.', cfg.name, process.address)
        _stop_signal.wait()
        log.info('{} is stopping; finishes requests in progress.', cfg.name)
    log.info('{} has stopped.', cfg.name)
