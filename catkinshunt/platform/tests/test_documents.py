import json

import pytest

from catkinshunt import platform
from catkinshunt import rules

UPSTREAM = {
    'service': 'engines',
    'address': '10.1.0.9:8080',
    'zone': 'larisa-a',
    'slots': 16,
    'state': 'ready',
    'born': 1760000000000,
    'models': [{'name': 'drafts', 'version': 2, 'adapters': []}],
}


def dump(document):
    return json.dumps(document).encode()


def route(name, path, **changes):
    return {
        'name': name,
        'host': 'Shop.example',
        'path_prefix': path,
        'route_kind': 'idempotent',
        'timeout_ms': 800,
        'goal_ms': 200,
        'service': 'desk',
        'max_attempts': 2,
        **changes,
    }


def configuration(**changes):
    return {
        'version': 7,
        'routes': [route('short', '/a/'), route('long', '/a/b/')],
        'services': [{'name': 'desk'}],
        'limits': {'max_header_bytes': 900, 'idle_timeout_ms': 1500},
        **changes,
    }


def test_parse_upstream():
    upstream = platform.parse_upstream('i-1', dump(UPSTREAM))
    assert upstream.address == ('10.1.0.9', 8080)
    assert upstream.versions == {'drafts': 2}
    assert not upstream.leaving
    assert upstream.key == ('i-1', 1760000000000, ('10.1.0.9', 8080))


def test_restarted_upstream_has_another_key():
    """An upstream restarts under the same id.

    The state kept for its earlier run, such as connections, failures and
    versions of weights, must not be applied to the new one.
    """
    first = platform.parse_upstream('i-1', dump(UPSTREAM))
    again = platform.parse_upstream('i-1', dump({**UPSTREAM, 'born': 5}))
    assert first.key != again.key


@pytest.mark.parametrize(
    'value',
    [
        b'',
        b'\xff\xfe',
        b'[' * 100000,
        b'[]',
        dump({}),
        dump({**UPSTREAM, 'state': 'resting'}),
        dump({**UPSTREAM, 'state': 4}),
        dump({**UPSTREAM, 'address': 'x'}),
        dump({**UPSTREAM, 'address': None}),
        dump({**UPSTREAM, 'address': '10.1.0.9:99999'}),
        dump({**UPSTREAM, 'service': ['desk']}),
        dump({**UPSTREAM, 'slots': '16'}),
        dump({**UPSTREAM, 'born': True}),
        dump({**UPSTREAM, 'models': {}}),
        dump({**UPSTREAM, 'models': ['drafts']}),
    ],
)
def test_invalid_upstream_is_rejected(value):
    """Other programs may write keys below the same prefix.

    An invalid value must not break the reading of the others, and must not
    become an upstream that receives requests.
    """
    with pytest.raises(platform.InvalidDocumentError):
        platform.parse_upstream('i-1', value)


def test_longest_path_matches_first():
    declaration = platform.parse_declaration(dump(configuration()))
    req = rules.Request(host='shop.example', path='/a/b/c')
    assert declaration.rule_set.match(req).name == 'long'
    req = rules.Request(host='shop.example', path='/a/c')
    assert declaration.rule_set.match(req).name == 'short'
    req = rules.Request(host='other.example', path='/a/c')
    assert declaration.rule_set.match(req) is None


def test_route_becomes_a_rule():
    document = configuration(
        routes=[
            route(
                'chat',
                '/c/',
                route_kind='streaming',
                resumable=True,
                public=True,
                split=[
                    {'service': 'a', 'weight': 90},
                    {'service': 'b', 'weight': 10},
                ],
            )
        ]
    )
    rule = platform.parse_declaration(dump(document)).rule_set.rules[0]
    assert rule.then.repeatable
    assert rule.then.public
    assert not rule.then.idempotent
    assert rule.then.timeout_s == 0.8
    assert [share.weight for share in rule.then.shares] == [90, 10]


def test_accounts_and_limits_are_parsed():
    document = configuration(
        tenants=[{'name': 't1', 'api_keys': ['k1', 'k2'], 'priority': 0}]
    )
    declaration = platform.parse_declaration(dump(document))
    assert declaration.accounts == {'k1': 't1', 'k2': 't1'}
    assert declaration.account_priorities == {'t1': 0}
    assert declaration.limits.header_bytes == 900
    assert declaration.limits.idle_s == 1.5


@pytest.mark.parametrize(
    'value', [b'no', dump({}), dump({'version': 1, 'routes': [{}]})]
)
def test_invalid_configuration_is_rejected(value):
    with pytest.raises(platform.InvalidDocumentError):
        platform.parse_declaration(value)
