"""Builds ``dist/catkinshunt``: ``python -m bundle [TARGET]``.

The file is a Python archive with a first line that starts Python on it.
Modules are read out of it in place: no child process, nothing unpacked.
"""

import importlib._bootstrap_external as bootstrap
import pathlib
import stat
import sys
import zipfile

from bundle import _collect

FIRST_LINE = b'#!/usr/bin/env python3.%d\n' % sys.version_info[1]
#: The same time in each build, so that equal sources give equal files.
_TIME = (1980, 1, 1, 0, 0, 0)
_START = _collect.ROOT / 'bundle' / 'shipped' / 'start.py'


def build(target):
    """Write the one-file build to `target`; returns its size in bytes."""
    target = pathlib.Path(target)
    target.parent.mkdir(parents=True, exist_ok=True)
    with open(target, 'wb') as file:
        file.write(FIRST_LINE)
        with zipfile.ZipFile(file, 'w') as archive:
            _write(archive, '__main__.py', _start_source().encode())
            # A package without `__init__`, such as `google`, is found in an
            # archive only where its folder has an entry.
            for folder in _collect.folders():
                _write(archive, folder, b'')
            for name, path in _collect.sources():
                code = compile(path.read_bytes(), name, 'exec')
                _write(archive, name + 'c', _compiled(code))
            for name, path in _collect.licences():
                _write(archive, name, path.read_bytes())
    mode = target.stat().st_mode
    target.chmod(mode | stat.S_IXUSR | stat.S_IXGRP | stat.S_IXOTH)
    return target.stat().st_size


def _start_source():
    """Return the start module, told which Python the rest is made for.

    It stays plain text: any Python can read it and say what is needed.
    """
    version = repr(tuple(sys.version_info[:2]))
    return _START.read_text().replace(
        'BUILT_FOR = None', f'BUILT_FOR = {version}'
    )


def _compiled(code):
    """Return the bytes of a compiled module that is not checked again."""
    return bytes(bootstrap._code_to_hash_pyc(code, b'\0' * 8, checked=False))


def _write(archive, name, content):
    info = zipfile.ZipInfo(name, _TIME)
    info.compress_type = zipfile.ZIP_DEFLATED
    info.external_attr = 0o644 << 16
    archive.writestr(info, content)


if __name__ == '__main__':
    path = sys.argv[1] if len(sys.argv) > 1 else 'dist/catkinshunt'
    print(f'{path}: {build(path)} bytes')
