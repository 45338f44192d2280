"""Tests of the placement of model versions on instances."""

import attrs
import pytest

from catkinshunt import control
from catkinshunt.dissemination.tests import fakes
from catkinshunt import rules

FLEET = tuple(
    fakes.make_instance(f'i{number}', f'dc{number % 3}')
    for number in range(12)
)


def _load(*items):
    return rules.load_rule_set(
        {
            'rules': [
                {
                    'name': f'r{number}',
                    'when': {'event': {'kind': 'placement', **when}},
                    'then': then,
                }
                for number, (when, then) in enumerate(items)
            ]
        }
    )


def _place(version, **fields):
    return {'place': {'model': 'm', 'version': version, **fields}}


def _place_all(rule_set, fleet):
    found = {}
    for instance in fleet:
        placed = control.choose_placement(rule_set, instance, fleet)
        if placed.place is not None:
            found[instance.name] = placed.place.version
    return found


def test_the_first_rule_that_matches_decides():
    rule_set = _load(
        ({'data_centre': 'dc0'}, {'refuse': {'reason': 'mended'}}),
        ({'instance': 'i1'}, _place('8')),
        ({}, _place('7')),
    )
    found = _place_all(rule_set, FLEET)
    assert found['i1'] == '8'
    assert 'i0' not in found
    assert len(found) == 8


@pytest.mark.parametrize('replicas', [1, 4, 12, 99])
def test_as_many_replicas_as_wanted(replicas):
    rule_set = _load(({}, _place('7', replicas=replicas)))
    assert len(_place_all(rule_set, FLEET)) == min(replicas, 12)


def test_a_dead_replica_is_replaced_and_the_others_stay():
    """An instance with a replica dies and is removed from the list.

    The replica must be placed elsewhere, and the others must not move, since
    each move transfers the whole model.
    """
    rule_set = _load(({}, _place('7', replicas=4)))
    before = set(_place_all(rule_set, FLEET))
    dead = sorted(before)[0]
    fleet = [item for item in FLEET if item.name != dead]
    after = set(_place_all(rule_set, fleet))
    assert len(after) == 4
    assert before - {dead} < after
    leaving = [
        attrs.evolve(item, state='leaving') if item.name == dead else item
        for item in FLEET
    ]
    staying = [item for item in leaving if item.name != dead]
    assert {
        item.name
        for item in staying
        if control.choose_placement(rule_set, item, leaving).place
    } == after


def test_no_rule_means_no_placement():
    rule_set = _load(({'service': 'other'}, _place('7')))
    assert control.choose_placement(rule_set, FLEET[0], FLEET).rule is None
