"""Names a request by what is the same each time that it comes."""

import hashlib

_DIGEST_BYTES = 16


def fingerprint(host, method, target, account, body):
    """Return a text that is equal for the same request of the same account.

    Args:
        host: host that is asked for.
        method: such as ``'POST'``.
        target: path and query.
        account: name of the account, or ''.
        body: bytes of the body.

    Examples:
        >>> first = fingerprint('shop', 'GET', '/stock/7', 'workshop', b'')
        >>> first == fingerprint('shop', 'GET', '/stock/7', 'workshop', b'')
        True
        >>> first == fingerprint('shop', 'GET', '/stock/7', 'other', b'')
        False
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (host, method, target, account):
        data = part.encode('utf-8', 'surrogateescape')
        digest.update(len(data).to_bytes(4, 'big') + data)
    digest.update(body)
    return digest.hexdigest()
