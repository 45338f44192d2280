"""Checks the TOML files of the platform: settings and deploy file."""

from catkinshunt import errors
from catkinshunt.platform import _settings
from catkinshunt import settings

_ROLE_STRING_FIELDS = ('run', 'on')
#: Classes of instances that a role runs on.
_INSTANCE_CLASSES = ('edge', 'side')


def check_file(path):
    """Check a settings file or a deploy file.

    Returns:
        Which of the two it is, as text for the operator.

    Raises:
        errors.SettingsError: the file cannot be read, or fields are invalid;
            the message lists each of them.
    """
    document = _settings.load_toml(path)
    if 'roles' not in document:
        _settings.parse_instance_settings(document, path)
        return 'platform instance'
    _check_deploy(document, path)
    return 'platform deployment'


def _check_deploy(document, path):
    problems = []

    def add_problem(field, value, allowed):
        shown = settings.format_value(value)
        problems.append(settings.Problem(path, field, shown, allowed))

    if not isinstance(document.get('build'), str):
        add_problem('build', document.get('build'), 'a shell command')
    roles = document['roles']
    if not isinstance(roles, dict) or not roles:
        add_problem('roles', roles, 'a table for each role')
        roles = {}
    for name, role in roles.items():
        _check_role(f'roles.{name}', role, add_problem)
    if problems:
        raise errors.SettingsError(
            '\n'.join(map(str, problems)), problems=tuple(problems)
        )


def _check_role(field, role, add_problem):
    if not isinstance(role, dict):
        add_problem(field, role, 'a table')
        return
    for name in _ROLE_STRING_FIELDS:
        if not isinstance(role.get(name), str):
            add_problem(f'{field}.{name}', role.get(name), 'a text')
    if role.get('on') not in _INSTANCE_CLASSES:
        add_problem(
            f'{field}.on', role.get('on'), ' or '.join(_INSTANCE_CLASSES)
        )
    if not isinstance(role.get('serves', []), list):
        add_problem(f'{field}.serves', role['serves'], 'a list')
    share = role.get('share', 1.0)
    if isinstance(share, bool) or not isinstance(share, (int, float)):
        add_problem(f'{field}.share', share, 'a number above 0, at most 1')
    elif not 0 < share <= 1:
        add_problem(f'{field}.share', share, 'a number above 0, at most 1')
