import pytest

from catkinshunt import errors
from catkinshunt import platform

DOCUMENT = {
    'node_name': 'edge-1',
    'ip': '10.1.0.4',
    'zone': 'larisa-a',
    'zones': {'larisa-a': 'thessalia'},
    'port_range': [7700, 7715],
    'listen': {'frontend': '10.1.0.4:8005', 'ready': '10.1.0.4:8002'},
    'limits': {'link_mbps': 3.65},
    'platform': {'address': '10.200.1.7:8007'},
    'bounds': {'drain_ms': 2000, 'retry_slack': 104, 'version_ms': 13400},
    'some_new_field': {'x': 1},
}


def test_settings_are_parsed():
    cfg = platform.parse_instance_settings(DOCUMENT)
    assert cfg.frontend_address == ('10.1.0.4', 8005)
    assert cfg.store_address == ('10.200.1.7', 8007)
    assert cfg.data_centre == 'larisa-a'
    assert cfg.bounds.drain_s == 2.0
    assert cfg.bounds.version_s == 13.4
    assert cfg.engine_address is None


def test_all_invalid_fields_are_reported_at_once():
    """A settings file has several invalid fields.

    If only the first were reported, each restart would show the next one.
    """
    document = {
        **DOCUMENT,
        'ip': 7,
        'platform': {'address': 'nowhere'},
        'bounds': {'grace_s': 'long'},
    }
    with pytest.raises(errors.SettingsError) as caught:
        platform.parse_instance_settings(document, 'node.toml')
    text = str(caught.value)
    assert 'node.toml: ip: got 7, allowed: a text' in text
    assert "platform.address: got 'nowhere'" in text
    assert "bounds.grace_s: got 'long', allowed: a number" in text


def test_missing_field_is_reported():
    document = {k: v for k, v in DOCUMENT.items() if k != 'platform'}
    with pytest.raises(errors.SettingsError, match='platform.address'):
        platform.parse_instance_settings(document)


def test_unreadable_file_is_reported(tmp_path):
    with pytest.raises(errors.SettingsError, match='No such file'):
        platform.load_instance_settings(tmp_path / 'none.toml')
    bad = tmp_path / 'bad.toml'
    bad.write_text('x = [')
    with pytest.raises(errors.SettingsError, match='not TOML'):
        platform.load_instance_settings(bad)


@pytest.mark.parametrize(('given', 'heartbeat_s'), [(None, 1.0), (1200, 1.2)])
def test_heartbeat_of_upstreams_is_read(given, heartbeat_s):
    document = {**DOCUMENT, 'heartbeat_ms': given} if given else DOCUMENT
    cfg = platform.parse_instance_settings(document)
    assert cfg.heartbeat_s == heartbeat_s
