"""Loads the library of the text format, without TLS where that is kept out.

The library names parts of TLS in its functions that push metrics elsewhere,
which the product does not use. In a process that keeps ``ssl`` out for its
memory (some 4 MB), names without function take their place while the
library is loaded, and only then.
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
