"""Tests of applying the operator's configuration in steps."""

import json

from catkinshunt import catalog
from catkinshunt.platform import _apply
from catkinshunt.platform.tests import test_route_texts
from catkinshunt import watch_relay


def make_item(revision, **changes):
    document = test_route_texts.make_configuration(200, **changes)
    value = json.dumps({**document, 'version': revision}).encode()
    return watch_relay.Item('op/config', value, revision)


def test_a_configuration_is_applied_whole_in_the_last_step():
    """Requests between two steps must be judged by one configuration."""
    known = catalog.Catalog()
    _apply.apply_configuration(make_item(1), known)
    before = known.declaration
    changed = make_item(2, routes=[test_route_texts.make_route(0)] * 200)
    seen = [
        known.declaration is before
        for _ in _apply.configuration_steps(changed, known)
    ]
    assert len(seen) > 1 and all(seen)
    assert known.declaration.revision == 2


def test_a_newer_configuration_between_two_steps_stays_in_force():
    known = catalog.Catalog()
    _apply.apply_configuration(make_item(1), known)
    steps = _apply.configuration_steps(make_item(2), known)
    next(steps)
    _apply.apply_configuration(make_item(3), known)
    for _ in steps:
        pass
    assert known.declaration.revision == 3


def test_an_invalid_configuration_keeps_the_old_one_in_force():
    known = catalog.Catalog()
    _apply.apply_configuration(make_item(1), known)
    before = known.declaration
    _apply.apply_configuration(make_item(2, routes=[{}]), known)
    assert known.declaration is before
