"""Tests of matching rules and of explanations."""

import hypothesis
from hypothesis import strategies as st
import pytest

from catkinshunt import errors
from catkinshunt import rules

RULE_SET = rules.load_rule_set(
    {
        'rules': [
            {
                'name': 'bookings',
                'when': {
                    'request': {
                        'service': 'order-desk',
                        'method': {'not': 'GET'},
                    }
                },
                'then': {'route': {'service': 'order-desk'}},
            },
            {
                'name': 'sheets',
                'when': {'request': {'service': {'prefix': 'model-'}}},
                'then': {'route': {'service': 'model-servers'}},
            },
            {
                'name': 'hold',
                'when': {'event': {'kind': 'placement'}},
                'then': {'place': {'model': 'm', 'version': '2'}},
            },
        ]
    }
)


@pytest.mark.parametrize(
    ('subject', 'name'),
    [
        (rules.Request(service='order-desk', method='POST'), 'bookings'),
        (rules.Request(service='order-desk', method='GET'), None),
        (rules.Request(service='model-servers'), 'sheets'),
        (rules.Event(kind='placement', service='model-servers'), 'hold'),
        (rules.Event(kind='other'), None),
    ],
)
def test_the_first_matching_rule_applies(subject, name):
    rule = RULE_SET.match(subject)
    assert (rule and rule.name) == name


def test_an_explanation_names_each_clause_that_is_not_met():
    request = rules.Request(service='order-desk', method='GET')
    found = RULE_SET.explain(request)
    assert [item.matched for item in found] == [False, False, False]
    assert found[0].reasons == ("method is 'GET', must be not 'GET'",)
    assert "must be text beginning with 'model-'" in found[1].reasons[0]
    assert found[2].reasons == ('decides on events, not requests',)


_VALUES = st.sampled_from(['', 'a', 'ab', 'b', 'ba'])
_CONDITIONS = st.recursive(
    st.one_of(
        _VALUES.map(rules.Equal),
        st.lists(_VALUES, min_size=1, max_size=3).map(rules.OneOf),
        _VALUES.map(rules.Prefix),
    ),
    lambda inner: inner.map(rules.Not),
    max_leaves=3,
)


def _clauses(fields):
    return [rules.Clause(name, cond) for name, cond in fields.items()]


_RULES = st.dictionaries(
    st.sampled_from(['service', 'path']), _CONDITIONS, max_size=2
).map(lambda f: rules.Rule('r', rules.When('request', _clauses(f)), None))


@hypothesis.settings(derandomize=True, database=None, deadline=None)
@hypothesis.given(st.lists(_RULES, max_size=6), _VALUES, _VALUES)
def test_the_index_finds_the_same_rule_as_a_scan(items, service, path):
    request = rules.Request(service=service, path=path)
    scan = (rule for rule in items if rule.when.matches(request))
    assert rules.RuleSet(items).match(request) is next(scan, None)


def _make_rule(subject, field, condition):
    clauses = [rules.Clause(field, condition)]
    return rules.Rule('r', rules.When(subject, clauses), None)


_NAMED = st.lists(_VALUES, min_size=1, max_size=3).map(rules.OneOf)
_HOST_RULES = st.builds(
    _make_rule, st.just('request'), st.just('host'), _NAMED
)
_MIXED_RULES = st.builds(
    _make_rule,
    st.sampled_from(['request', 'event']),
    st.sampled_from(['service', 'region']),
    st.one_of(_NAMED, _CONDITIONS),
)
#: Rules, and in which order each of several revisions contains them.
_REVISIONS = st.one_of(
    st.lists(_HOST_RULES, min_size=1, max_size=8),
    st.lists(st.one_of(_HOST_RULES, _MIXED_RULES), min_size=1, max_size=8),
).flatmap(
    lambda known: st.tuples(
        st.just(known),
        st.lists(
            st.lists(st.sampled_from(range(len(known))), max_size=10).map(
                sorted
            )
            | st.permutations(range(len(known))),
            min_size=2,
            max_size=5,
        ),
    )
)


@hypothesis.settings(derandomize=True, database=None, deadline=None)
@hypothesis.given(_REVISIONS)
def test_a_revised_rule_set_finds_the_same_rule_as_a_scan(known_and_orders):
    known, orders = known_and_orders
    revised = rules.RuleSet()
    for order in orders:
        items = [known[number] for number in order]
        revised = revised.revised(items)
        assert revised == rules.RuleSet(items)
        for value in ['', 'a', 'ab', 'b', 'ba', 'c']:
            for subject in (
                rules.Request(host=value),
                rules.Request(service=value, region=value),
                rules.Event(service=value, region=value),
            ):
                scan = (
                    rule
                    for rule in items
                    if rule.when.subject == subject.keyword
                    and rule.when.matches(subject)
                )
                assert revised.match(subject) is next(scan, None)


def test_a_repeated_rule_keeps_its_first_place_in_a_revised_rule_set():
    first, second, third = (
        _make_rule('request', 'host', rules.Equal('a')) for _ in range(3)
    )
    repeated = [first, second, first]
    revised = rules.RuleSet(repeated).revised([*repeated, third])
    assert revised.match(rules.Request(host='a')) is first


@hypothesis.settings(derandomize=True, database=None, deadline=None)
@hypothesis.given(_CONDITIONS, _CONDITIONS, _VALUES)
def test_an_implied_condition_matches_whatever_the_first_matches(
    one, two, value
):
    if one.implies(two) and one.matches(value):
        assert two.matches(value)


@hypothesis.settings(derandomize=True, database=None, deadline=None)
@hypothesis.given(st.lists(_RULES, max_size=5))
def test_only_rules_that_never_apply_are_reported_as_unreachable(items):
    named = [
        rules.Rule(f'r{index}', rule.when, rules.Refuse('closed'))
        for index, rule in enumerate(items)
    ]
    rule_set = rules.RuleSet(named)
    values = ['', 'a', 'ab', 'b', 'ba', 'c']
    applied_rules = {
        rule_set.match(rules.Request(service=service, path=path))
        for service in values
        for path in values
    }
    try:
        rules.load_rule_set(rules.dump_rule_set(rule_set))
    except errors.RuleError as exc:
        unreachable = {problem.rule for problem in exc.problems}
        assert not unreachable & {rule.name for rule in applied_rules if rule}
