import pathlib
import tomllib

import pytest

from catkinshunt import errors
from catkinshunt import platform

ROOT = pathlib.Path(__file__).parents[3]


def test_deploy_file_of_this_project_is_valid():
    path = str(ROOT / 'deploy' / 'system.toml')
    assert platform.check_file(path) == 'platform deployment'


def test_invalid_deploy_file_reports_every_field(tmp_path):
    path = tmp_path / 'system.toml'
    path.write_text('[roles.a]\nrun = 4\non = "roof"\nshare = 2\n')
    with pytest.raises(errors.SettingsError) as caught:
        platform.check_file(str(path))
    text = str(caught.value)
    for field in ('build', 'roles.a.run', 'roles.a.on', 'roles.a.share'):
        assert f'{field}: got' in text


def test_instance_settings_are_checked(tmp_path):
    path = tmp_path / 'node.toml'
    path.write_text('node_name = "edge-1"\n')
    with pytest.raises(errors.SettingsError, match='platform.address'):
        platform.check_file(str(path))


def test_build_compiles_the_sources():
    """Many processes that start together would each compile them first."""
    document = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
    assert document['build'].endswith('python3 -m compileall -q catkinshunt')
