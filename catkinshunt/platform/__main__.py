"""Starts a process of the platform: ``python -m catkinshunt.platform ROLE``.

The role is ``entry`` or ``sidecar``. What the process is told beside it
stands in the settings file that the platform names.
"""

import asyncio
import gc
import sys

from catkinshunt import errors
from catkinshunt import logs
from catkinshunt.platform import _entry
from catkinshunt.platform import _settings
from catkinshunt.platform import _sidecar

ROLES = {'entry': _entry.run, 'sidecar': _sidecar.run}
USAGE = 2


def main(argv):
    """Run the role named in `argv`; return the exit code."""
    if len(argv) != 1 or argv[0] not in ROLES:
        print(f'a role is needed: {" or ".join(ROLES)}', file=sys.stderr)
        return USAGE
    try:
        cfg = _settings.load_instance_settings()
    except errors.SettingsError as exc:
        print(f'catkinshunt: {exc}', file=sys.stderr)
        return USAGE
    stream = logs.BackgroundStream()
    logs.configure('json', stream=stream, budget=logs.LineBudget())
    # What was loaded so far stays; the collector need not look at it again.
    gc.freeze()
    try:
        asyncio.run(ROLES[argv[0]](cfg))
    finally:
        stream.close()
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
