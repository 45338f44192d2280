"""Starts a process of the platform: ``python -m catkinshunt.platform ROLE``.

The role is ``entry`` or ``sidecar``. All other configuration is read from the
settings file whose path the platform passes in an environment variable.
"""

import asyncio
import gc
import sys

from catkinshunt import errors
from catkinshunt import logs
from catkinshunt.platform import _allocator
from catkinshunt.platform import _entry
from catkinshunt.platform import _settings
from catkinshunt.platform import _sidecar

ROLES = {'entry': _entry.run, 'sidecar': _sidecar.run}
USAGE_EXIT_CODE = 2


def main(argv):
    """Run the role given in `argv`; return the exit code."""
    if len(argv) != 1 or argv[0] not in ROLES:
        print(f'one role is required: {" or ".join(ROLES)}', file=sys.stderr)
        return USAGE_EXIT_CODE
    try:
        cfg = _settings.load_instance_settings()
    except errors.SettingsError as exc:
        print(f'catkinshunt: {exc}', file=sys.stderr)
        return USAGE_EXIT_CODE
    _allocator.keep_large_blocks_apart()
    stream = logs.BackgroundStream()
    logs.configure('json', stream=stream, budget=logs.LineRateLimiter())
    # Objects loaded so far live until exit; exclude them from collections.
    gc.freeze()
    try:
        asyncio.run(ROLES[argv[0]](cfg))
    finally:
        stream.close()
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
