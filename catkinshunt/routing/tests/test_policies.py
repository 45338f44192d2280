"""Tests of the policies on fixed candidates."""

import collections

import pytest

from catkinshunt import routing

POLICIES = [
    routing.Random(random_state=0),
    routing.LeastInFlight(random_state=0),
    routing.PowerOfTwoChoices(random_state=0),
    routing.PrefixAffinity(random_state=0),
]


def make_views(count):
    return [
        routing.UpstreamView(f'u{i}', f'127.0.0.1:{i + 1}', 'model')
        for i in range(count)
    ]


@pytest.mark.parametrize('policy', POLICIES, ids=repr)
def test_chooses_a_candidate_and_gives_a_reason(policy):
    views = make_views(3)
    req = routing.RouteRequest('model', prefix=b'setup')
    choice = policy.choose(req, views, 0.0)
    assert choice.upstream in views
    assert choice.candidates == 3
    assert choice.grounds


@pytest.mark.parametrize('policy', POLICIES[1:3], ids=repr)
def test_prefers_the_less_loaded_upstream(policy):
    views = make_views(2)
    views[0].in_flight = 5
    req = routing.RouteRequest('model')
    names = {policy.choose(req, views, 0.0).upstream.name for _ in range(9)}
    assert names == {'u1'}


def test_affinity_is_the_same_at_each_entry():
    """Entries receive different cache events, or none at all.

    If affinity depended on them, entries would send one prefix to different
    engines, each of which would compute it again, and delay first tokens.
    """
    homes = collections.defaultdict(set)
    for seed in range(4):
        policy = routing.PrefixAffinity(random_state=seed)
        for prefix in (b'a', b'b', b'c'):
            req = routing.RouteRequest('model', prefix=prefix)
            choice = policy.choose(req, make_views(30), 0.0)
            homes[prefix].add(choice.upstream.name)
    assert all(len(names) == 1 for names in homes.values())


def test_affinity_spills_a_hot_prefix():
    """Many requests share one prompt prefix.

    Without a load bound, one engine would get all of them while others idle.
    """
    policy = routing.PrefixAffinity(random_state=0)
    views = make_views(10)
    req = routing.RouteRequest('model', prefix=b'hot')
    for _ in range(100):
        policy.choose(req, views, 0.0).upstream.in_flight += 1
    assert max(view.in_flight for view in views) <= 16


def test_removing_an_upstream_moves_only_its_own_prefixes():
    policy = routing.PrefixAffinity(random_state=0, homes=1)
    views = make_views(10)
    reqs = [
        routing.RouteRequest('model', prefix=str(i).encode())
        for i in range(200)
    ]
    before = [policy.choose(req, views, 0.0).upstream.name for req in reqs]
    after = [policy.choose(req, views[1:], 0.0).upstream.name for req in reqs]
    moved = sum(a != b for a, b in zip(before, after, strict=True))
    assert moved == before.count('u0')


def test_invalid_parameter_is_named():
    policy = routing.PrefixAffinity(bound=0)
    req = routing.RouteRequest('model', prefix=b'a')
    with pytest.raises(ValueError, match='bound'):
        policy.choose(req, make_views(2), 0.0)
