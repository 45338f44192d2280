"""Loads JSON5 into `attrs` classes and reports all errors at once.

json5 parses the text and cattrs creates the instances. Both are imported
when the first file is read, since a process needs their memory only then.
"""

import difflib
import types

import attrs

from catkinshunt import errors
from catkinshunt.settings import _fields
from catkinshunt.settings import _problem

_ENTIRE_FILE = '(file)'
_MISSING = 'nothing'
_TYPE_NAMES = {
    bool: 'true or false',
    int: 'a whole number',
    float: 'a number',
    str: 'a text',
}


class _InvalidValueError(ValueError):
    """A value that is not allowed for its field."""

    def __init__(self, given, allowed):
        super().__init__(allowed)
        self.given = given
        self.allowed = allowed


def load_settings(path, cls):
    """Return the settings in the file at `path` as an instance of `cls`.

    Raises:
        errors.SettingsError: the file cannot be read or is invalid; its
            ``problems`` attribute lists all problems.
    """
    return structure(load_document(path), cls, path)


def load_document(path):
    """Return the parsed content of the file at `path`, unchecked.

    Raises:
        errors.SettingsError: the file cannot be read or is not JSON5.
    """
    try:
        with open(path, encoding='utf-8') as file:
            content = file.read()
    except (OSError, UnicodeDecodeError) as exc:
        reason = getattr(exc, 'strerror', None) or 'not UTF-8 text'
        _raise_problems(
            [_problem.Problem(path, _ENTIRE_FILE, reason, 'a file')]
        )
    return _parse(content, path)


def load_text(content, cls, path='(text)'):
    """Return the settings in `content`, the text of the file at `path`.

    Raises:
        errors.SettingsError: as `load_settings`.

    Examples:
        >>> @attrs.frozen
        ... class Window:
        ...     size: int = _fields.count()
        >>> load_text('{size: 3, /* chunks */}', Window)
        Window(size=3)
        >>> load_text('{size: 0}', Window, 'a.json5')
        Traceback (most recent call last):
            ...
        catkinshunt.errors.SettingsError: a.json5: size: got 0, \
allowed: a whole number from 1 to 100000
    """
    return structure(_parse(content, path), cls, path)


def _parse(content, path):
    import json5

    try:
        # By default the last of two fields with one name is used silently.
        return json5.loads(content, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as exc:
        given = ' '.join(str(exc).split())
        _raise_problems([_problem.Problem(path, _ENTIRE_FILE, given, 'JSON5')])


def structure(raw, cls, path='(value)'):
    """Return `raw`, a parsed JSON value, as an instance of `cls`.

    Raises:
        errors.SettingsError: as `load_settings`.
    """
    import cattrs

    try:
        value = _make_converter().structure(raw, cls)
    except (cattrs.BaseValidationError, _InvalidValueError) as exc:
        problems = list(_iter_problems(exc, '', path, cls))
        _raise_problems(problems)
    _check_consistency(value, path)
    return value


def _check_consistency(value, path):
    """Run the check of the settings class across its fields, if any."""
    if not hasattr(value, 'check'):
        return
    problems = [
        _problem.Problem(path, field, given, allowed)
        for field, given, allowed in value.check()
    ]
    if problems:
        _raise_problems(problems)


def _raise_problems(problems):
    message = '\n'.join(str(problem) for problem in problems)
    raise errors.SettingsError(message, problems=tuple(problems))


def _make_converter():
    import cattrs

    conv = cattrs.Converter()
    for cls, name in _TYPE_NAMES.items():
        conv.register_structure_hook(cls, _strict_hook(cls, name))
    conv.register_structure_hook_factory(
        attrs.has, lambda cls: _class_hook(cls, conv)
    )
    return conv


def _strict_hook(cls, name):
    """Return a hook that accepts only `cls`: ``"5"`` is not a number."""

    def hook(value, _type):
        kinds = (int, float) if cls is float else cls
        wrong_bool = isinstance(value, bool) and cls is not bool
        if wrong_bool or not isinstance(value, kinds):
            raise _InvalidValueError(value, name)
        if cls is float and value - value != 0:
            raise _InvalidValueError(value, 'a finite number')
        return cls(value)

    return hook


def _class_hook(cls, conv):
    from cattrs import gen

    overrides = {
        field.name: gen.override(struct_hook=_field_hook(field, conv))
        for field in attrs.fields(cls)
    }
    structure_dict = gen.make_dict_structure_fn(
        cls, conv, _cattrs_forbid_extra_keys=True, **overrides
    )

    def hook(value, type_):
        if not isinstance(value, dict):
            raise _InvalidValueError(value, 'an object {...}')
        return structure_dict(value, type_)

    return hook


def _field_hook(field, conv):
    allowed = field.metadata.get(_fields.ALLOWED)
    check = field.metadata.get(_fields.CHECK)

    def hook(value, _type):
        try:
            _check_container(value, field.type)
            structured = conv.structure(value, field.type)
        except _InvalidValueError as exc:
            given = exc.given if exc.given is not value else value
            raise _InvalidValueError(given, allowed or exc.allowed) from exc
        if check is not None and not check(structured):
            raise _InvalidValueError(value, allowed)
        return structured

    return hook


def _check_container(value, type_):
    """Reject a value that is not a list or object where one is expected.

    A string is iterable and would be accepted as a list of its characters.
    """
    origin = getattr(type_, '__origin__', None)
    if origin in (list, tuple) and not isinstance(value, list):
        raise _InvalidValueError(value, 'a list [...]')
    if origin is dict and not isinstance(value, dict):
        raise _InvalidValueError(value, 'an object {...}')


def _iter_problems(exc, field, path, cls):
    """Yield a `Problem` for each leaf of a tree of cattrs errors."""
    import cattrs

    if isinstance(exc, cattrs.ClassValidationError):
        named, rest = exc.group_exceptions()
        for sub, note in named:
            name = f'{field}.{note.name}' if field else note.name
            attr = getattr(attrs.fields(exc.cl), note.name)
            yield from _field_problems(sub, name, path, attr)
        for sub in rest:
            yield from _unknown_field_problems(sub, field, path, exc.cl)
    elif isinstance(exc, cattrs.IterableValidationError):
        for sub, note in exc.group_exceptions()[0]:
            yield from _iter_problems(sub, f'{field}[{note.index}]', path, cls)
    else:
        yield _value_problem(exc, field, path, secret=False)


def _field_problems(exc, name, path, attr):
    if isinstance(exc, KeyError):
        allowed = attr.metadata.get(_fields.ALLOWED) or _type_name(attr.type)
        yield _problem.Problem(path, name, _MISSING, allowed)
    elif isinstance(exc, _InvalidValueError):
        secret = attr.metadata.get(_fields.SECRET, False)
        yield _value_problem(exc, name, path, secret)
    else:
        yield from _iter_problems(exc, name, path, attr.type)


def _value_problem(exc, field, path, secret):
    given = getattr(exc, 'given', None)
    shown = '(a secret)' if secret else _problem.format_value(given)
    allowed = getattr(exc, 'allowed', str(exc))
    return _problem.Problem(path, field or _ENTIRE_FILE, shown, allowed)


def _unknown_field_problems(exc, field, path, cls):
    import cattrs

    if not isinstance(exc, cattrs.ForbiddenExtraKeysError):
        yield _value_problem(exc, field, path, secret=False)
        return
    known = [attr.name for attr in attrs.fields(cls)]
    for extra in sorted(exc.extra_fields, key=str):
        matches = difflib.get_close_matches(str(extra), known, n=1)
        allowed = (
            f'{matches[0]!r}?' if matches else 'one of ' + ', '.join(known)
        )
        name = f'{field}.{extra}' if field else str(extra)
        yield _problem.Problem(path, name, 'an unknown field', allowed)


def _type_name(type_):
    if isinstance(type_, types.UnionType):
        return ' or '.join(_type_name(arg) for arg in type_.__args__)
    return _TYPE_NAMES.get(type_, getattr(type_, '__name__', str(type_)))
