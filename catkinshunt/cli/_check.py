"""Checks settings files; prints the version."""

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

    The kind of a file is derived from its fields: settings of a sidecar have
    an upstream, and those of operators have no instance name. TOML files
    belong to the users' platform.
    """
    paths = list(paths)
    if not paths:
        raise errors.SettingsError('check-settings needs a file')
    invalid_files = 0
    for path in paths:
        try:
            if path.endswith('.toml'):
                kind = _check_platform_file(path)
            else:
                kind = _find_kind(path)
                settings.load_settings(path, _KINDS[kind])
            print(f'{path}: good settings, {kind}')
        except errors.SettingsError as exc:
            invalid_files += 1
            print(exc, file=sys.stderr)
    return 2 if invalid_files else 0


def _check_platform_file(path):
    """Check a TOML file of the users' platform; return its kind.

    The platform adapter needs a compiled parser, which the one-file build
    cannot contain.
    """
    try:
        from catkinshunt import platform
    except ImportError as exc:
        raise errors.SettingsError(
            f'{path}: cannot be checked without {exc.name}; run the command '
            'from the installed sources'
        ) from exc
    return platform.check_file(path)


def _find_kind(path):
    """Return the kind of the file at `path`, derived from its fields."""
    document = settings.load_document(path)
    fields = document if isinstance(document, dict) else {}
    if 'upstream' in fields or 'is_engine' in fields:
        return 'sidecar'
    return 'entry' if 'name' in fields else 'operators'


def version():
    """Print the version."""
    print(f'catkinshunt {catkinshunt.__version__}')
