"""Keeps modules out of a process that the process has no use for.

The platform ends TLS before an entry, and processes of a deployment talk in
the clear, yet http.client, asyncio and grpclib each load ``ssl`` where they
find it. All three do without it where its import fails.
"""

import sys

#: By role. An entry hashes only names, for which hashlib's own code does;
#: a sidecar needs the faster code of ``_hashlib`` for weights.
_UNUSED = {'entry': ('ssl', '_hashlib'), 'sidecar': ('ssl',)}


def keep_out(role):
    """Make the import of unused modules fail, before any is loaded."""
    for name in _UNUSED.get(role, ()):
        sys.modules.setdefault(name, None)
