"""Finds the modules that the product needs, ours and the libraries'."""

import importlib.metadata
import pathlib
import re

ROOT = pathlib.Path(__file__).parent.parent
_SHIPPED = pathlib.Path(__file__).parent / 'shipped'
#: Only the build of hdrhistogram itself uses it.
_NOT_NEEDED = frozenset(['pbr'])
_NAME = re.compile(r'^([A-Za-z0-9_.-]+)==', re.MULTILINE)


def sources():
    """Yield (path in the archive, path on disk) of each Python module.

    Compiled modules are left out: protobuf and multidict then use their
    plain Python parts, and `bundle.shipped.pyhdrh` stands in for the third.
    """
    for path in sorted((ROOT / 'catkinshunt').rglob('*.py')):
        name = path.relative_to(ROOT)
        if 'tests' not in name.parts:
            yield str(name), path
    yield 'pyhdrh.py', _SHIPPED / 'pyhdrh.py'
    for library in libraries():
        yield from _library_sources(library)


def folders():
    """Return the folders of `sources`, each with a slash at its end."""
    found = {
        f'{folder}/'
        for name, _ in sources()
        for folder in pathlib.PurePath(name).parents
    }
    return sorted(found - {'./'})


def libraries():
    """Return the names of the pinned run-time libraries."""
    content = (ROOT / 'requirements.txt').read_text()
    return [name for name in _NAME.findall(content) if name not in _NOT_NEEDED]


def _library_sources(library):
    for item in importlib.metadata.distribution(library).files:
        parts = item.parts
        if item.suffix != '.py' or '..' in parts or _is_test(item):
            continue
        yield str(item), pathlib.Path(item.locate())


def _is_test(item):
    return 'tests' in item.parts or item.name.endswith('_test.py')


def licences():
    """Yield (path in the archive, path on disk) of the libraries' terms."""
    for library in libraries():
        for item in importlib.metadata.distribution(library).files:
            if re.match(r'(?i)licen[cs]e|copying|notice', item.name):
                yield str(item), pathlib.Path(item.locate())
