"""HTTP client for the key-value service."""

import json
import urllib.parse

from catkinshunt import base
from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt.kvstore import base as kv_base

#: Added to the timeout of a watch for the timeout of its connection.
WATCH_MARGIN_S = 2.0
_REVISION_HEADER = 'Revision'
_STATUS_NOT_APPLIED = 503


class HttpKeyValueStore(kv_base.BaseKeyValueStore, base.ParamsMixin):
    """HTTP client that opens one connection per call.

    Args:
        address: `httpio.Address` of the service.
        timeout_s: timeout of a call in seconds.
    """

    def __init__(self, address, timeout_s=2.0):
        self.address = address
        self.timeout_s = timeout_s

    def get(self, key):
        """Return the `Entry` at `key`, or None."""
        reply = self._call('GET', _make_path(key), read_only=True)
        if reply.status == 404:
            return None
        return _read_entry(reply)

    def put(self, key, value, expected_revision, lease=None):
        """Write `value` if the key is still at `expected_revision`."""
        query = {'expected': expected_revision}
        if lease is not None:
            query['lease'] = lease
        reply = self._call('PUT', _make_path(key, query), value)
        _check_conflict(reply, key)
        return _read_revision(reply, errors.StoreUnknownError)

    def delete(self, key, expected_revision):
        """Delete `key` if it is still at `expected_revision`."""
        query = {'expected': expected_revision}
        reply = self._call('DELETE', _make_path(key, query))
        _check_conflict(reply, key)

    def watch(self, key, after_revision, timeout_s):
        """Wait for a revision of `key` above `after_revision`."""
        query = {'after': after_revision, 'timeout_s': timeout_s}
        reply = self._call(
            'GET',
            _make_path(key, query),
            timeout_s=timeout_s + WATCH_MARGIN_S,
            read_only=True,
        )
        if reply.status == 204:
            return None
        return _read_entry(reply)

    def grant_lease(self, ttl_s):
        """Return the id of a new lease of `ttl_s` seconds."""
        body = json.dumps({'ttl_s': ttl_s}).encode()
        reply = self._call('POST', '/leases', body)
        return json.loads(reply.body)['lease']

    def renew_lease(self, lease):
        """Extend `lease` by its full duration."""
        reply = self._call('POST', f'/leases/{lease}/renew')
        _check_conflict(reply, f'lease {lease}')

    def _call(self, method, path, body=None, timeout_s=None, read_only=False):
        peer = str(self.address)
        try:
            reply = httpio.exchange(
                self.address,
                method,
                path,
                body,
                timeout_s=timeout_s or self.timeout_s,
            )
        except errors.RefusedError as exc:
            raise errors.StoreUnavailableError(
                exc.message, step='connect', peer=peer
            ) from exc
        except errors.OutcomeUnknownError as exc:
            # The write may be in force although its reply was lost. A read
            # changes nothing, so its failure is reported as unavailable.
            error_class = errors.StoreUnknownError
            if read_only:
                error_class = errors.StoreUnavailableError
            raise error_class(exc.message, step=method, peer=peer) from exc
        if reply.status >= 500:
            # Only 503 means that nothing was written; after any other failure
            # the write may be in force.
            outcome_known = read_only or reply.status == _STATUS_NOT_APPLIED
            error_class = errors.StoreUnavailableError
            if not outcome_known:
                error_class = errors.StoreUnknownError
            raise error_class(
                f'the key-value service replied with status {reply.status}',
                step=method,
                peer=peer,
            )
        return reply


def _make_path(key, query=None):
    path = '/kv/' + urllib.parse.quote(key)
    if query:
        path += '?' + urllib.parse.urlencode(query)
    return path


def _read_entry(reply):
    revision = _read_revision(reply, errors.StoreError)
    if not reply.is_delimited:
        raise errors.StoreError(
            'the value ended with its connection and may be cut',
            step='read-reply',
        )
    return kv_base.Entry(reply.body, revision)


def _read_revision(reply, error_class):
    """Return the revision of the reply; raise `error_class` if it has none."""
    text = reply.headers.get(_REVISION_HEADER, '')
    if reply.status != 200 or not text.isdigit():
        # Another server replies at this address, such as a proxy.
        raise error_class(
            f'status {reply.status}, no revision', step='read-reply'
        )
    return int(text)


def _check_conflict(reply, key):
    if reply.status in (404, 409):
        raise errors.ConflictError(
            f'{key} is at another revision', step='compare-and-swap'
        )
