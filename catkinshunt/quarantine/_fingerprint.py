"""Fingerprints that are equal for all client attempts of a request."""

import hashlib

_DIGEST_BYTES = 16


def fingerprint(host, method, target, account, body):
    """Return a hex digest that identifies a request of an account.

    Args:
        host: requested host.
        method: HTTP method, such as ``'POST'``.
        target: path and query string.
        account: name of the account, or ''.
        body: body as bytes.

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
