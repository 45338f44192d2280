"""Runs one of the two processes until it is told to stop.

Each role is imported by its own command: an entry has no use for the
memory that a sidecar's modules take, nor the other way round.
"""

import gc
import linecache

from catkinshunt.cli import _excluded_modules
from catkinshunt.cli import _relaunch
from catkinshunt.cli import _stop_signal


def check_and_serve(role, path):
    """Check the settings at `path`, then run `role` in a lean process."""
    from catkinshunt import settings

    cfg = settings.load_settings(path, settings.ROLES[role])
    _relaunch.replace_process(role, path, cfg)


def serve_checked(role, _path, read_end):
    """Run `role` with the settings handed over by `check_and_serve`."""
    _excluded_modules.keep_out(role)
    cfg = _relaunch.read_settings(role, read_end)
    if role == 'entry':
        from catkinshunt import entry

        _serve(entry.EntryProcess(cfg))
    else:
        from catkinshunt import sidecar

        _serve(sidecar.SidecarProcess(cfg))


def _serve(process):
    """Run `process` until SIGTERM; the first line printed is its address."""
    from catkinshunt import logs

    cfg = process.cfg
    logs.configure(cfg.log_format, cfg.log_level, [cfg.deployment_key])
    log = logs.get_logger('process')
    _stop_signal.block()
    with process:
        # What start-up left behind is freed once; what stays is not looked
        # at by the collector again.
        gc.collect()
        gc.freeze()
        # attrs keeps the source text of each method that it has made.
        linecache.clearcache()
        print(process.address, flush=True)
        log.info('{} listens at {}.', cfg.name, process.address)
        _stop_signal.wait()
        log.info('{} stops: finishing requests in progress.', cfg.name)
    log.info('{} has stopped.', cfg.name)
