"""Implementation of the ``rules`` commands."""

import json
import sys

import attrs

from catkinshunt.cli import _edit_push
from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt import settings


def show(path):
    """Print the accepted rules in order."""
    current = _editor(path).read()
    from catkinshunt import rules

    print(f'revision {current.revision}')
    for position, rule in enumerate(current.rule_set.rules):
        document = rules.dump_rule(rule)
        when = json.dumps(document['when'])
        then = json.dumps(document['then'])
        print(f'{position}  {rule.name}  when {when}  then {then}')


def add(path, file, position, revision, dry_run):
    """Insert the rule in `file`."""
    editor = _editor(path)
    from catkinshunt import configuration

    rule = configuration.read_document(file)
    _edit(editor, dry_run, 'add', rule, position, _revision(revision))


def move(path, name, position, revision, dry_run):
    """Move the rule `name`."""
    _edit(_editor(path), dry_run, 'move', name, position, _revision(revision))


def retire(path, name, revision, dry_run):
    """Remove the rule `name`."""
    _edit(_editor(path), dry_run, 'retire', name, _revision(revision))


def apply(path, file, revision, dry_run):
    """Make the accepted rules equal to those in `file`."""
    editor = _editor(path)
    from catkinshunt import configuration

    rule_set = configuration.read_rules_file(file, editor.services)
    _edit(editor, dry_run, 'apply', rule_set, _revision(revision))


def _edit(editor, dry_run, verb, *args):
    """Apply one edit and print the result."""
    from catkinshunt import configuration

    before = editor.read() if dry_run else None
    accepted = getattr(editor, verb)(*args, dry_run=bool(dry_run))
    if not dry_run:
        print(f'accepted revision {accepted.revision}')
        return
    differences = configuration.describe_differences(
        before.rule_set, accepted.rule_set
    )
    print(f'revision {before.revision}, nothing written; it would have')
    for line in differences or ('changed nothing',):
        print(f'  {line}')


def explain(path, file, event, fields):
    """Print, rule by rule, whether it matches and why not."""
    from catkinshunt import configuration
    from catkinshunt import rules

    subject = _subject(rules.Event if event else rules.Request, fields)
    if file is None:
        rule_set = _editor(path).read().rule_set
    else:
        rule_set = configuration.read_rules_file(file)
    for found in rule_set.explain(subject):
        if found.matched:
            print(f'{found.rule}: matches, and decides')
            return 0
        print(f'{found.rule}: no, {"; ".join(found.reasons)}')
    print('no rule matches', file=sys.stderr)
    return 1


def _subject(cls, fields):
    known = attrs.fields_dict(cls)
    for name, value in fields.items():
        if name not in known:
            raise errors.SettingsError(
                f'--{name}: unknown field, allowed: {", ".join(known)}'
            )
        kind = known[name].type
        if kind is str:
            fields[name] = str(value)
        elif not isinstance(value, kind):
            raise errors.SettingsError(
                f'--{name}: got {value!r}, allowed: true or false'
            )
    return cls(**fields)


def _revision(value):
    if value is None or type(value) is int:
        return value
    raise errors.SettingsError(
        f'--revision: got {value!r}, allowed: a whole number'
    )


def _editor(path):
    """Return an editor for the rules in the key-value service."""
    cfg = settings.load_settings(path, settings.OperatorSettings)
    from catkinshunt import configuration
    from catkinshunt import kvstore

    store = kvstore.HttpKeyValueStore(
        httpio.Address.parse(cfg.platform.key_value), cfg.timeout_s
    )
    return configuration.Editor(
        store,
        cfg.services or None,
        announce=lambda accepted: _edit_push.announce(cfg, accepted),
    )
