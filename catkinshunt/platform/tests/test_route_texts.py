"""Tests that parsing after an edit gives the same as parsing anew."""

import copy
import json

import attrs
import hypothesis
from hypothesis import strategies as st
import pytest

from catkinshunt import catalog
from catkinshunt import platform
from catkinshunt.platform import _documents
from catkinshunt.platform import _route_texts
from catkinshunt import rules

HOSTS = ('a.example', 'B.example', 'b.example')
PATHS = ('/', '/p/', '/q/', '/p/q/', '/pö/')


def make_route(number, host=0, path=1, timeout_ms=800):
    return {
        'name': f'route-{number}',
        'host': HOSTS[host % len(HOSTS)],
        'path_prefix': PATHS[path % len(PATHS)],
        'timeout_ms': timeout_ms,
        'service': 'desk',
    }


def make_configuration(count, **changes):
    return {
        'version': 1,
        'routes': [
            make_route(n, host=n, path=n // 2, timeout_ms=10 * n)
            for n in range(count)
        ],
        'services': [{'name': 'desk'}],
        'tenants': [{'name': 't', 'api_keys': ['k1', 'k2']}],
        'limits': {'idle_timeout_ms': 1500},
        **changes,
    }


def dump(document, **options):
    return json.dumps(document, **options).encode()


def _add(document, number, other):
    routes = document['routes']
    routes.insert(other % (len(routes) + 1), make_route(number, other, number))


def _add_many(document, number, other):
    for step in range(100):
        _add(document, 1000 * number + step, other)


def _repeat(document, number, other):
    routes = document['routes']
    if routes:
        routes.insert(
            other % len(routes), copy.copy(routes[number % len(routes)])
        )


def _remove(document, number, other):
    routes = document['routes']
    del routes[number % (len(routes) + 1) :][: other % 3]
    if routes:
        del routes[number % len(routes)]


def _move(document, number, other):
    routes = document['routes']
    if routes:
        route = routes.pop(number % len(routes))
        routes.insert(other % (len(routes) + 1), route)


def _reverse(document, number, other):
    document['routes'].reverse()


def _change(name, choose):
    def change(document, number, other):
        routes = document['routes']
        if routes:
            routes[number % len(routes)][name] = choose(other)

    return change


def _split(document, number, other):
    routes = document['routes']
    if routes:
        routes[number % len(routes)]['split'] = [
            {'service': 'desk', 'weight': 90},
            {'service': f'service-{other}', 'weight': other},
        ]


def _change_keys(document, number, other):
    document['tenants'][0]['api_keys'] = [f'k{number}', f'k{other}']


def _change_idle_limit(document, number, other):
    document['limits']['idle_timeout_ms'] = 1000 + other


def _change_services(document, number, other):
    document['services'] = [{'name': 'desk', 'max_conns': other}]


def _reorder_members(document, number, other):
    members = list(document.items())
    document.clear()
    shift = number % len(members)
    document.update(members[shift:] + members[:shift])


def _invalidate(document, number, other):
    routes = document['routes']
    invalid = [3, 'route', None, [], {}, {'name': ['x']}, {'name': 'x'}]
    routes.insert(other % (len(routes) + 1), invalid[number % len(invalid)])


EDITS = st.sampled_from(
    [
        _add,
        _add_many,
        _repeat,
        _remove,
        _move,
        _reverse,
        _split,
        _change_keys,
        _change_idle_limit,
        _change_services,
        _reorder_members,
        _change('timeout_ms', lambda other: other),
        _change('path_prefix', lambda other: PATHS[other % len(PATHS)]),
        _change('host', lambda other: HOSTS[other % len(HOSTS)]),
        _change('name', lambda other: f'route-{other}'),
        _change('name', lambda other: [other]),
        _change('note', lambda other: '}, {]' * other),
        _change('note', lambda other: {'inner': [other]}),
        _change('public', lambda other: other % 2 == 0),
    ]
)
EDIT = st.tuples(EDITS, st.integers(0, 400), st.integers(0, 400))
DUMP_OPTIONS = st.sampled_from(
    [
        {},
        {},
        {'separators': (',', ':')},
        {'ensure_ascii': False},
        {'indent': 1},
    ]
)
#: Changes of the text after which it is invalid or has an unusual form.
TEXT_CHANGES = st.sampled_from(
    [
        lambda value: value,
        lambda value: value,
        lambda value: value,
        lambda value: value[:-1],
        lambda value: value[: len(value) // 2],
        lambda value: value + b' ',
        lambda value: value + b'}',
        lambda value: b'\xef\xbb\xbf' + value,
        lambda value: value.decode().encode('utf-16'),
        lambda value: value.replace(b'}', b'},', 1),
        lambda value: value.replace(b'{', b'{,', 1),
        lambda value: value.replace(b'"', b'\xff', 1),
        lambda value: value[:-1] + b', "routes": []}',
        lambda value: value[:-1] + b', "version": 77}',
        lambda value: value[:-1] + b', 3: 4}',
        lambda value: value[:-1] + b', }',
        lambda value: value[:-1] + b']',
        lambda value: value.replace(b'], "services"', b'}, "services"'),
        lambda value: value[:-1] + b', "x": ' + b'[' * 100000 + b'}',
        lambda value: value.replace(b'"routes"', b'"paths"'),
        lambda value: value.replace(b'route-1', b'\\u0072oute-1'),
    ]
)
REVISIONS = st.lists(
    st.tuples(
        st.lists(EDIT, max_size=3),
        st.booleans() | st.just(False),
        DUMP_OPTIONS,
        TEXT_CHANGES,
    ),
    min_size=1,
    max_size=6,
)


def parse(value, previous=None):
    """Return the declaration, or the text of the error."""
    try:
        return platform.parse_declaration(value, previous)
    except platform.InvalidDocumentError as exc:
        return str(exc)


def parse_whole(value):
    """Return the declaration by a parser of whole documents, or the error."""
    try:
        return _documents.parse_whole_declaration(value)
    except platform.InvalidDocumentError as exc:
        return str(exc)


def as_fields(found):
    if isinstance(found, str):
        return found
    fields = attrs.fields(catalog.Declaration)
    return {field.name: getattr(found, field.name) for field in fields}


@hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=150
)
@hypothesis.given(st.integers(0, 300), REVISIONS)
def test_a_configuration_is_the_same_whatever_came_before(count, revisions):
    document = make_configuration(count)
    previous = parse(dump(document))
    for revision, (edits, invalid, options, change) in enumerate(revisions):
        document['version'] = revision + 2
        for edit, number, other in edits:
            edit(document, number, other)
        sent = copy.deepcopy(document)
        if invalid:
            _invalidate(sent, revision, count)
        value = change(dump(sent, **options))
        found = parse(value, previous)
        assert as_fields(found) == as_fields(parse_whole(value))
        if isinstance(found, str):
            continue
        previous = found
        for host in HOSTS:
            for path in PATHS:
                req = rules.Request(host=host.lower(), path=path + 'x')
                scan = (r for r in found.rule_set.rules if r.when.matches(req))
                assert found.rule_set.match(req) is next(scan, None)


def parse_counting(value, previous=None):
    """Return the `Routes`, and how many of them were parsed."""
    made = []

    def make_rule(item):
        made.append(item)
        return rules.Rule(item['name'], None, None)

    steps = _route_texts.parse_steps(value, make_rule, previous)
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            return stop.value[1], len(made)


@pytest.mark.parametrize(
    ('edit', 'changed'),
    [
        ((_change('timeout_ms', lambda other: other), 150, 70000), 1),
        ((_split, 150, 5), 1),
        ((_add, 900, 150), 1),
        ((_add, 900, 0), 1),
        ((_add_many, 900, 150), 100),
        ((_remove, 150, 0), 1),
        ((_move, 250, 3), 1),
        ((_change_keys, 3, 4), 0),
        ((_change_idle_limit, 0, 5), 0),
        ((_reorder_members, 2, 0), 0),
    ],
)
def test_an_edit_parses_only_the_routes_that_changed(edit, changed):
    """Parsing all routes again would hold up all requests."""
    document = make_configuration(300)
    routes, count = parse_counting(dump(document))
    assert count == 300
    change, number, other = edit
    for step in range(3):
        change(document, number + step, other + step)
        after, count = parse_counting(dump(document), routes)
        # A move changes two places, each a route and its neighbour.
        assert count <= 4 * changed
        known = set(map(id, routes.rules))
        new_rules = [rule for rule in after.rules if id(rule) not in known]
        assert len(new_rules) <= changed
        routes = after


@pytest.mark.parametrize('routes', [[1, 2], ['a'], [[]]])
def test_a_route_that_is_no_object_is_not_reused(routes):
    """The text of the number 1 also begins the number 12."""
    value = dump(make_configuration(0, routes=routes))
    with pytest.raises(ValueError):
        for _ in _route_texts.parse_steps(value, lambda item: None):
            pass


def test_parsing_yields_after_a_limited_number_of_routes():
    """Parsing many routes at once would make each upstream look silent."""
    made = []

    def make_rule(item):
        made.append(item)
        return rules.Rule(item['name'], None, None)

    counts = []
    value = dump(make_configuration(500))
    for _ in _route_texts.parse_steps(value, make_rule):
        counts.append(len(made))
        made.clear()
    counts.append(len(made))
    assert sum(counts) == 500
    assert max(counts) <= _route_texts.ROUTES_PER_STEP
