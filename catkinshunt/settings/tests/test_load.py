"""Tests of loading settings."""

import json

import attrs
import pytest

from catkinshunt import errors
from catkinshunt import settings

ENTRY = {
    'name': 'entry-1',
    'data_centre': 'larisa-a',
    'region': 'Thessalia',
    'platform': {
        'key_value': '127.0.0.1:9001',
        'instance_list': '127.0.0.1:9002',
    },
    'deployment_key': 'a key of this deployment',
}
SIDECAR = ENTRY | {
    'service': 'model-servers',
    'upstream': '127.0.0.1:9100',
}


def read(cls, base, **changes):
    return settings.load_text(json.dumps(base | changes), cls, 'a.json5')


def problems(cls, base, **changes):
    with pytest.raises(errors.SettingsError) as caught:
        read(cls, base, **changes)
    return {problem.field: problem for problem in caught.value.problems}


def test_comments_and_defaults():
    content = '// an entry\n' + json.dumps(ENTRY)[:-1] + ', /* end */ }'
    cfg = settings.load_text(content, settings.EntrySettings)
    assert cfg.name == 'entry-1'
    assert cfg.platform.key_value == '127.0.0.1:9001'
    assert cfg.log_format == 'plain'
    assert cfg.stop_timeout_s == 60.0


def test_key_is_not_shown():
    assert ENTRY['deployment_key'] not in repr(
        read(settings.EntrySettings, ENTRY)
    )


def test_all_errors_are_reported_at_once():
    """An operator mistypes several fields of one file.

    If only the first were reported, each one would cost a restart.
    """
    raw = {name: value for name, value in ENTRY.items() if name != 'region'}
    found = problems(
        settings.EntrySettings,
        raw,
        port=70_000,
        platform={'key_value': 'nowhere', 'instance_list': 3},
        log_format='xml',
        operator_prot=9000,
        deployment_key='short',
    )
    assert set(found) == {
        'region',
        'port',
        'platform.key_value',
        'platform.instance_list',
        'log_format',
        'operator_prot',
        'deployment_key',
    }
    assert str(found['port']) == (
        'a.json5: port: got 70000, allowed: a port from 0 to 65535'
    )
    assert found['region'].given == 'nothing'
    assert found['operator_prot'].allowed == "'operator_port'?"
    assert 'short' not in found['deployment_key'].given


@pytest.mark.parametrize(
    ('field', 'value'),
    [
        ('port', '8080'),
        ('port', True),
        ('port', 80.5),
        ('stop_timeout_s', 0),
        ('stop_timeout_s', 'soon'),
        ('stop_timeout_s', float('nan')),
        ('stop_timeout_s', float('inf')),
        ('name', ''),
        ('name', None),
        ('platform', 'here'),
        ('platform', []),
        ('log_level', 3),
    ],
)
def test_wrong_value_names_its_field(field, value):
    found = problems(settings.EntrySettings, ENTRY, **{field: value})
    assert set(found) == {field}


@pytest.mark.parametrize(
    'content',
    ['', '{', '[]', '3', '{name: 1, name: 2}', '{a: }', '[' * 10_000],
)
def test_content_that_is_not_an_object(content):
    """A file is truncated or has other content.

    The error is one line with the name of the file, not a traceback.
    """
    with pytest.raises(errors.SettingsError) as caught:
        settings.load_text(content, settings.EntrySettings, 'a.json5')
    assert all('\n' not in str(p) for p in caught.value.problems)
    assert caught.value.problems[0].file == 'a.json5'


def test_missing_file(tmp_path):
    path = str(tmp_path / 'none.json5')
    with pytest.raises(errors.SettingsError, match='none.json5'):
        settings.load_settings(path, settings.EntrySettings)


def test_inconsistent_sidecar_fields():
    found = problems(
        settings.SidecarSettings,
        SIDECAR,
        is_engine=True,
        port=9000,
        control_port=9000,
    )
    assert set(found) == {'platform.origin', 'control_port'}


def test_sidecar_of_an_engine_needs_a_fixed_port():
    """Sidecars with any free port can run twice beside one engine.

    Both would then send orders to the engine.
    """
    platform = SIDECAR['platform'] | {'origin': '127.0.0.1:9002'}
    found = problems(
        settings.SidecarSettings, SIDECAR, is_engine=True, platform=platform
    )
    assert set(found) == {'port'}


@pytest.mark.parametrize('value', [9001, '127.0.0.1:99999', ':80', 'a:'])
def test_wrong_address(value):
    platform = ENTRY['platform'] | {'key_value': value}
    found = problems(settings.EntrySettings, ENTRY, platform=platform)
    assert set(found) == {'platform.key_value'}


def test_lists_and_nested_objects():
    @attrs.frozen
    class Place:
        name: str
        delay_ms: float

    @attrs.frozen
    class Map:
        places: list[Place]

    content = '{places: [{name: "a", delay_ms: 1}, {name: 2}]}'
    with pytest.raises(errors.SettingsError) as caught:
        settings.load_text(content, Map, 'm')
    assert [p.field for p in caught.value.problems] == [
        'places[1].name',
        'places[1].delay_ms',
    ]
    with pytest.raises(errors.SettingsError, match=r'a list \[...\]'):
        settings.load_text('{places: "ab"}', Map, 'm')


@pytest.mark.parametrize(
    ('role', 'base'), [('entry', ENTRY), ('sidecar', SIDECAR)]
)
def test_settings_survive_a_round_trip_as_json(role, base):
    cfg = read(settings.ROLES[role], base, threads=7)
    value = json.loads(json.dumps(attrs.asdict(cfg)))
    assert settings.from_validated(role, value) == cfg
