"""Runs one of the two processes until it is told to stop.

Each role is imported by its own command: an entry has no use for the
memory that a sidecar's modules take, nor the other way round.
"""

import gc
import signal
import threading

from catkinshunt import logs
from catkinshunt import settings


def serve_entry(path):
    """Run an entry with the settings at `path`."""
    cfg = settings.load_settings(path, settings.EntrySettings)
    from catkinshunt import entry

    _serve(entry.EntryProcess(cfg))


def serve_sidecar(path):
    """Run a sidecar with the settings at `path`."""
    cfg = settings.load_settings(path, settings.SidecarSettings)
    from catkinshunt import sidecar

    _serve(sidecar.SidecarProcess(cfg))


def _serve(process):
    """Run `process` until SIGTERM; the first line printed is its address."""
    cfg = process.cfg
    logs.configure(cfg.log_format, cfg.log_level, [cfg.deployment_key])
    log = logs.get_logger('process')
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    with process:
        # What start-up left behind is freed once; what stays is not looked
        # at by the collector again.
        gc.collect()
        gc.freeze()
        print(process.address, flush=True)
        log.info('{} listens at {}.', cfg.name, process.address)
        stopped.wait()
        log.info('{} stops: finishing requests in progress.', cfg.name)
    log.info('{} has stopped.', cfg.name)
