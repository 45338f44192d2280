"""The sidecar as a process of the platform."""

import asyncio
import signal

from catkinshunt import logs

_log = logs.get_logger('sidecar')


async def run(cfg):
    """Serve beside one engine until the signal to stop.

    Args:
        cfg: `NodeSettings`.
    """
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    _log.info('Started sidecar {}.', cfg.name)
    await stop.wait()
