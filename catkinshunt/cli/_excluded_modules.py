"""Blocks the import of modules that a process does not use, to save memory.

The platform terminates TLS before an entry, and processes of a deployment
communicate without TLS. http.client, asyncio and grpclib import ``ssl`` if
it is available, and work without it if the import fails.
"""

import sys

#: Blocked modules by role. An entry hashes only names, for which the code of
#: hashlib itself suffices; a sidecar needs the faster ``_hashlib`` for
#: weights.
_UNUSED = {'entry': ('ssl', '_hashlib'), 'sidecar': ('ssl',)}


def keep_out(role):
    """Make later imports of the role's unused modules fail."""
    for name in _UNUSED.get(role, ()):
        sys.modules.setdefault(name, None)
