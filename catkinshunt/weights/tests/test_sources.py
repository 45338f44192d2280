"""Tests of replies of peers and of the origin."""

import pytest

from catkinshunt.entry.tests import harness
from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt.weights import _link_pacer
from catkinshunt.weights import _sources

HEAD = b'HTTP/1.1 200 OK\r\n'


@pytest.mark.parametrize(
    'data',
    [
        HEAD + b'\r\n{"model": "drafts"}',
        HEAD + b'Content-Length: 30\r\n\r\n{"model": "drafts"}',
        HEAD + b'Content-Len',
        HEAD,
    ],
)
def test_cut_manifest_is_not_read(data):
    """An upstream stops and closes; a part of a reply passed for a whole."""
    server = harness.ScriptedUpstream(data)
    pool = httpio.ConnectionPool()
    pacer = _link_pacer.LinkPacer(1e9)
    sources = [
        lambda: _sources.PeerSource('k', pool, pacer).fetch_manifest(
            server.address, 'drafts', '2'
        ),
        lambda: _sources.OriginSource(
            server.address, pool, pacer
        ).fetch_manifest('drafts', '2'),
    ]
    for fetch in sources:
        with pytest.raises(errors.TransferError):
            fetch()
    server.close()
