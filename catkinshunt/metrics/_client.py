"""Imports ``prometheus_client``, also where ``ssl`` is blocked.

The library refers to ``ssl`` in its functions that push metrics, which this
project does not use. In a process that blocks the import of ``ssl`` to save
memory (some 4 MB), placeholders replace it while the library is imported.
"""

import contextlib
import sys
import types


def load():
    """Return the package ``prometheus_client``."""
    ssl_excluded = sys.modules.get('ssl', types) is None
    with _tls_placeholders() if ssl_excluded else contextlib.nullcontext():
        import prometheus_client
    return prometheus_client


@contextlib.contextmanager
def _tls_placeholders():
    import urllib.request

    module = types.ModuleType('ssl')
    module.PROTOCOL_TLS_CLIENT = module.PROTOCOL_TLS_SERVER = None
    module.SSLContext = module.TLSVersion = object
    sys.modules['ssl'] = module
    urllib.request.HTTPSHandler = None
    try:
        yield
    finally:
        sys.modules['ssl'] = None
        del urllib.request.HTTPSHandler
