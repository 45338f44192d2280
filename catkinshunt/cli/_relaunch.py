"""Re-executes the process to free the memory that only start-up needs.

Parsing arguments and settings needs fire, json5 and cattrs, some 2.5 MB that
Python does not free. Once the settings are checked, the process therefore
replaces itself (``exec``: the same process, no child) and passes them on
through a pipe. They contain a key, which an argument or the environment
would expose to every user of the machine.
"""

import json
import os
import sys

from catkinshunt import errors

#: First argument of the process after the ``exec``.
RESTART_COMMAND = 'run-checked'
#: Size that always fits into the buffer of a pipe without a reader.
_MAX_SETTINGS_BYTES = 32 * 1024


def replace_process(role, path, cfg):
    """Replace this process by a new run with the checked settings `cfg`.

    Args:
        role: ``'entry'`` or ``'sidecar'``.
        path: path of the settings file, shown in the process list.
        cfg: the settings, an `attrs` instance.
    """
    import attrs

    content = json.dumps(attrs.asdict(cfg)).encode()
    if len(content) > _MAX_SETTINGS_BYTES:
        raise errors.SettingsError(
            f'{path}: settings take {len(content)} bytes, '
            f'allowed: {_MAX_SETTINGS_BYTES}'
        )
    read_end, write_end = os.pipe()
    os.write(write_end, content)
    os.close(write_end)
    os.set_inheritable(read_end, True)
    given = len(sys.argv) - 1
    start = sys.orig_argv[: len(sys.orig_argv) - given]
    words = [*start, RESTART_COMMAND, role, path, str(read_end)]
    sys.stdout.flush()
    sys.stderr.flush()
    os.execv(sys.executable, words)


def read_settings(role, read_end):
    """Return the settings that `replace_process` wrote to the pipe.

    Raises:
        errors.SettingsError: the pipe has no settings, since somebody else
            used `RESTART_COMMAND`.
    """
    from catkinshunt import settings

    try:
        if role not in settings.ROLES:
            raise ValueError(role)
        with os.fdopen(int(read_end), 'rb') as file:
            value = json.loads(file.read())
        return settings.from_validated(role, value)
    except (OSError, ValueError, KeyError, TypeError) as exc:
        raise errors.SettingsError(
            f'{RESTART_COMMAND} is for the process itself; use {role} SETTINGS'
        ) from exc
