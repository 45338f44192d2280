"""Tests of loading, validating and dumping rules documents."""

import pytest

from catkinshunt import errors
from catkinshunt import rules

ROUTE = {'route': {'service': 'desk'}}
ANY = {'request': {}}


def _rule(name='a', when=None, then=None):
    return {
        'name': name,
        'when': ANY if when is None else when,
        'then': ROUTE if then is None else then,
    }


def _problems(*items):
    with pytest.raises(errors.RuleError) as caught:
        rules.load_rule_set({'rules': list(items)}, services=['desk'])
    found = caught.value.problems
    for problem in found:
        assert str(problem) in str(caught.value)
    return [(problem.rule, problem.field) for problem in found]


@pytest.mark.parametrize(
    ('item', 'field'),
    [
        (_rule(when={'request': {'colour': 'x'}}), 'when.request.colour'),
        (_rule(when={'request': {'path': 3}}), 'when.request.path'),
        (
            _rule(when={'request': {'idempotent': 'yes'}}),
            'when.request.idempotent',
        ),
        (
            _rule(when={'request': {'idempotent': {'prefix': 'y'}}}),
            'when.request.idempotent.prefix',
        ),
        (
            _rule(when={'request': {'path': {'one_of': []}}}),
            'when.request.path.one_of',
        ),
        (
            _rule(when={'request': {'path': {'like': 'x'}}}),
            'when.request.path',
        ),
        (_rule(when={'request': {'service': 'x'}}), 'when.request.service'),
        (
            _rule(when={'request': {'service': {'not': 'x'}}}),
            'when.request.service',
        ),
        (_rule(when={'answer': {}}), 'when.answer'),
        (_rule(when={}), 'when'),
        (_rule(when={'event': {}}), 'then.route'),
        (_rule(then={}), 'then'),
        (_rule(then={'route': {}}), 'then.route.service'),
        (_rule(then={'route': {'service': 'x'}}), 'then.route.service'),
        (
            _rule(then={'route': {'service': 'desk', 'deadline_s': '3'}}),
            'then.route.deadline_s',
        ),
        (
            _rule(then={'route': {'service': 'desk', 'deadline': 3}}),
            'then.route.deadline',
        ),
        (
            _rule(then={'refuse': {'reason': 'x', 'retry_after_s': 0}}),
            'then.refuse.retry_after_s',
        ),
        (
            _rule(
                when={'event': {}},
                then={'place': {'model': 'm', 'version': '1', 'lean': 2}},
            ),
            'then.place.lean',
        ),
        ({**_rule(), 'if': 1}, 'if'),
    ],
)
def test_a_problem_names_the_rule_and_the_field(item, field):
    assert _problems(item) == [('a', field)]


def test_all_problems_are_reported_together():
    found = _problems(
        _rule('a', when={'request': {'path': 3}}),
        _rule('b', then={}),
        'not a rule',
        {'when': ANY, 'then': ROUTE},
    )
    assert found == [
        ('a', 'when.request.path'),
        ('b', 'then'),
        ('#3', ''),
        ('#4', 'name'),
    ]


def test_a_duplicate_name_is_rejected():
    narrow = {'request': {'path': '/x'}}
    assert _problems(_rule('a', narrow), _rule('a')) == [('a', 'name')]


@pytest.mark.parametrize(
    ('earlier', 'later'),
    [
        ({}, {'path': '/x'}),
        ({'path': {'prefix': '/v1'}}, {'path': '/v1/chat'}),
        ({'path': {'prefix': '/v1'}}, {'path': {'prefix': '/v1/'}}),
        ({'method': {'one_of': ['GET', 'PUT']}}, {'method': 'PUT'}),
        ({'method': {'not': 'GET'}}, {'method': {'one_of': ['PUT']}}),
        (
            {'method': {'not': 'GET'}},
            {'method': {'not': {'one_of': ['GET', 'PUT']}}},
        ),
        ({'path': {'not': {'prefix': '/a'}}}, {'path': {'prefix': '/b'}}),
        ({'path': '/x'}, {'path': '/x', 'method': 'GET'}),
    ],
)
def test_a_rule_that_an_earlier_one_covers_is_rejected(earlier, later):
    first = _rule('first', {'request': earlier})
    second = _rule('second', {'request': later})
    assert _problems(first, second) == [('second', 'when')]
    document = {'rules': [second, first]}
    assert len(rules.load_rule_set(document).rules) == 2


@pytest.mark.parametrize('document', [None, [], {}, {'rules': {}}])
def test_a_document_without_a_list_of_rules_is_rejected(document):
    with pytest.raises(errors.RuleError, match='rules'):
        rules.load_rule_set(document)


def test_a_dumped_rule_set_equals_its_document():
    when = {
        'request': {
            'path': {'prefix': '/v1'},
            'method': {'not': {'one_of': ['PUT', 'POST']}},
            'idempotent': True,
        }
    }
    place = {'place': {'model': 'm', 'version': '1', 'lean': 0.3}}
    document = {
        'rules': [
            _rule('a', when),
            _rule('b', {'event': {'kind': 'placement'}}, place),
            _rule('c', None, {'refuse': {'reason': 'closed'}}),
        ]
    }
    rule_set = rules.load_rule_set(document)
    assert rules.dump_rule_set(rule_set) == document
