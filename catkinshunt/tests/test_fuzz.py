"""Readers of what comes over a socket never fail but by their own error.

`make fuzz` runs the same with more examples.
"""

import copy
import json
import os
import zlib

import hypothesis
from hypothesis import strategies as st
import pytest

from catkinshunt.claims import _document
from catkinshunt import configuration
from catkinshunt.dissemination import base as dissemination
from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt import instances
from catkinshunt.instances import _listing
from catkinshunt import rules
from catkinshunt import weights

EXAMPLES = int(os.environ.get('FUZZ_EXAMPLES', '60'))
fuzzed = hypothesis.settings(
    max_examples=EXAMPLES,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)

LISTED = {
    'name': 'runner-1',
    'role': 'upstream',
    'service': 'order-desk',
    'data_centre': 'larisa-a',
    'region': 'thessalia',
    'address': '127.0.0.1:80',
    'state': 'live',
}
RULE = {
    'name': 'r',
    'when': {
        'request': {
            'service': 'order-desk',
            'account': {'one_of': ['a', 'b']},
            'path': {'prefix': '/b'},
        }
    },
    'then': {'route': {'service': 'order-desk'}},
}
PLACE = {
    'name': 'p',
    'when': {'event': {'kind': 'placement'}},
    'then': {'place': {'model': 'm', 'version': '1'}},
}
EDIT = {
    'edit_id': 'e',
    'revision': 2,
    'operations': [
        {'move': {'name': 'r', 'position': 1}},
        {'add': {'rule': RULE | {'name': 's'}, 'position': 0}},
    ],
}
RULES = {'revision': 2, 'rules': [RULE, PLACE], 'edits': [EDIT]}
CHANGE = {
    'base_revision': 0,
    'revision': 1,
    'changed': [LISTED],
    'gone': ['runner-2'],
}
CLAIMS = {
    'version': 1,
    'claims': {'i': ['a', 'd', 1.0, 2.0, 200, 'text/plain', 'eA==']},
    'old': {'1r': 'x' * 12},
}
ERROR = {
    'error': {
        'code': 'leaving',
        'message': 'm',
        'ran': 'no',
        'retry_after_s': 1.5,
        'request_id': 'r',
        'step': 's',
    }
}

scalars = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(['', '1', 'r', '127.0.0.1:x', -1, 0, 1e400])
)
values = st.recursive(
    scalars,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=6,
)


def _nodes(value, path=()):
    yield path
    items = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, inner in items:
        yield from _nodes(inner, (*path, key))


def _replaced(value, path, new):
    if not path:
        return new
    value = copy.deepcopy(value)
    at = value
    for key in path[:-1]:
        at = at[key]
    at[path[-1]] = new
    return value


def documents(valid):
    """Return a strategy of `valid` with one or two nodes replaced."""

    @st.composite
    def build(draw):
        value = valid
        for _ in range(draw(st.integers(1, 2))):
            path = draw(st.sampled_from(list(_nodes(value))))
            value = _replaced(value, path, draw(values))
        return value

    return build()


def _texts(valid):
    """Return a strategy of bytes: changed documents and damaged text."""
    text = json.dumps(valid).encode()
    damaged = st.builds(
        lambda at, data: text[:at] + data + text[at + len(data) :],
        st.integers(0, len(text)),
        st.binary(max_size=4),
    )
    cut = st.integers(0, len(text)).map(lambda at: text[:at])
    deep = st.sampled_from([b'[' * 100000, b'{"rules":' * 50000])
    changed = documents(valid).map(lambda value: json.dumps(value).encode())
    return changed | damaged | cut | deep | st.binary(max_size=20)


def read_configuration(data):
    """Read, then use what was read as a process does."""
    found = configuration.Configuration.from_bytes(data)
    config_replica = configuration.ConfigurationReplica()
    config_replica.offer(found, 0.0)
    config_replica.make_update(1)
    found.rule_set.match(_subject())
    assert found.digest


def read_rules(data):
    rules.load_rule_set(json.loads(data)).match(_subject())


def _subject():
    return rules.Request(
        service='order-desk',
        account='a',
        model='',
        method='GET',
        path='/b',
        data_centre='larisa-a',
        region='thessalia',
        idempotent=True,
    )


def read_manifest(data):
    manifest = weights.Manifest.loads(data)
    for index in range(len(manifest.chunks)):
        manifest.chunk_range(index)


def read_claims(data):
    document = _document.Document.decode(data, 10000)
    document.trim(1e9, 60.0, 30.0)
    json.loads(document.encode())


def read_listing(data):
    listing = _listing.read_listing(data)
    directory = instances.Directory()
    directory.offer(listing, 0.0)
    directory.upstreams('order-desk')
    directory.make_update(0)
    assert directory.members is not None


def read_error(data):
    found = httpio.read_error(data, 'peer')
    assert isinstance(found, errors.RequestError)
    httpio.error_response(found)


READERS = [
    (read_configuration, RULES, errors.RuleError),
    (read_manifest, None, errors.ManifestError),
    (read_claims, CLAIMS, errors.StoreError),
    (
        read_listing,
        {'revision': 1, 'instances': [LISTED]},
        errors.PeerError,
    ),
    (read_error, ERROR, ()),
]


@pytest.mark.parametrize(
    ('reader', 'valid', 'allowed'),
    READERS,
    ids=[reader.__name__ for reader, *_ in READERS],
)
def test_reader_gives_its_own_error(reader, valid, allowed):
    """A message is damaged, or comes from a process that is not ours.

    Any other error would end the thread that read it, and the process
    would go on without its rules, list or claims.
    """
    if valid is None:
        data = bytes(range(20))
        made = weights.Manifest.from_bytes('m', '1', data, 8)
        valid = json.loads(made.dumps())

    @fuzzed
    @hypothesis.given(_texts(valid))
    def run(data):
        try:
            reader(data)
        except allowed:
            pass

    run()


@fuzzed
@hypothesis.given(documents(RULES))
def test_rules_document_gives_a_rule_error(document):
    """An operator's file holds wrong types; nothing must be accepted."""
    try:
        rules.load_rule_set(document).match(_subject())
    except errors.RuleError:
        pass


@fuzzed
@hypothesis.given(
    st.builds(
        dissemination.Update,
        topic=st.just('rules'),
        revision=st.integers(0, 2**64 - 1),
        base_revision=st.integers(0, 2**64 - 1),
        edits=st.lists(_texts(EDIT) | _texts(CHANGE), max_size=2).map(tuple),
        document=_texts(RULES).map(zlib.compress) | st.binary(max_size=20),
        digest=st.binary(max_size=32),
    )
)
def test_update_of_a_peer_gives_a_peer_error(update):
    """A process of another build sends what this one cannot apply."""
    for replica in (
        configuration.ConfigurationReplica(),
        instances.Directory(),
    ):
        try:
            replica.apply_update(update, 0.0)
        except errors.PeerError:
            pass
