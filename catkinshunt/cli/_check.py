"""Checks settings files; shows the version."""

import sys

import catkinshunt
from catkinshunt import errors
from catkinshunt import settings

_KINDS = {
    'entry': settings.EntrySettings,
    'sidecar': settings.SidecarSettings,
    'operators': settings.OperatorSettings,
}


def check_settings(paths):
    """Check the files at `paths`; return the exit code.

    What a file is for shows in its fields: a sidecar's names an upstream,
    and an operators' file names no instance. Files of the users' platform
    are TOML.
    """
    paths = list(paths)
    if not paths:
        raise errors.SettingsError('check-settings needs a file')
    wrong = 0
    for path in paths:
        try:
            if path.endswith('.toml'):
                kind = _check_platform_file(path)
            else:
                kind = _kind(path)
                settings.load_settings(path, _KINDS[kind])
            print(f'{path}: good settings, {kind}')
        except errors.SettingsError as exc:
            wrong += 1
            print(exc, file=sys.stderr)
    return 2 if wrong else 0


def _check_platform_file(path):
    """Check a TOML file of the users' platform; return what it is for.

    The programs of the platform need a compiled parser, which the one-file
    build cannot carry.
    """
    try:
        from catkinshunt import platform
    except ImportError as exc:
        raise errors.SettingsError(
            f'{path}: cannot be checked without {exc.name}; run the command '
            'from the installed sources'
        ) from exc
    return platform.check_file(path)


def _kind(path):
    """Return what the file at `path` is for, judged by its fields."""
    document = settings.load_document(path)
    fields = document if isinstance(document, dict) else {}
    if 'upstream' in fields or 'is_engine' in fields:
        return 'sidecar'
    return 'entry' if 'name' in fields else 'operators'


def version():
    """Show the version."""
    print(f'catkinshunt {catkinshunt.__version__}')
