"""Tests of the router: subsets, health, locality and refusals."""

import collections

import pytest

from catkinshunt import errors
from catkinshunt import routing


def make_views(count, service='model', **fields):
    return [
        routing.UpstreamView(f'u{i}', f'127.0.0.1:{i + 1}', service, **fields)
        for i in range(count)
    ]


def make_router(views, **params):
    router = routing.Router(
        routing.PowerOfTwoChoices(random_state=1),
        entry='e1',
        health=routing.HealthTracker(random_state=1),
        **params,
    )
    router.offer(views)
    return router


def send(router, now, result='answered', req=None, **fields):
    choice = router.choose(req or routing.RouteRequest('model'), now)
    seen = routing.Observation(
        choice.upstream, routing.Result(result), **fields
    )
    router.observe(seen, now)
    return choice.upstream.name


def test_failed_upstream_gets_one_probe():
    """An upstream dies and each try to connect to it fails.

    Without a pause every request would first run into it and answers would
    come late. After the pause exactly one request tries it.
    """
    router = make_router(make_views(2))
    dead = send(router, 0.0, 'failed')
    assert {send(router, 0.1) for _ in range(20)}.isdisjoint({dead})
    probe = router.choose(routing.RouteRequest('model'), 1.0)
    assert probe.upstream.name == dead
    others = {send(router, 1.0) for _ in range(20)}
    assert dead not in others
    answered = routing.Observation(probe.upstream, routing.Result.ANSWERED)
    router.observe(answered, 1.1)
    assert dead in {send(router, 1.2) for _ in range(20)}


def test_probe_is_never_non_idempotent():
    """A suspect upstream may die again with the request that tries it.

    A booking that went along would end with an unknown outcome, which the
    caller would notice as a booking to be checked by hand.
    """
    router = make_router(make_views(2))
    dead = send(router, 0.0, 'failed')
    booking = routing.RouteRequest('model', idempotent=False)
    assert send(router, 9.0, req=booking) != dead


def test_leaving_gets_nothing_at_once():
    """An upstream says in a refusal that it is leaving.

    The instance list lags and still names it as serving; a caller whose
    request went there would be refused or cut.
    """
    views = make_views(2)
    router = make_router(views)
    left = send(router, 0.0, 'refused', state='leaving')
    late = next(view for view in views if view.name == left)
    router.offer(make_views(2))
    router.observe(routing.Observation(late, routing.Result.ANSWERED), 0.1)
    assert left not in {send(router, 1.0 + i / 10) for i in range(50)}


def test_list_names_leaving_and_back():
    router = make_router(make_views(2))
    views = make_views(2)
    views[0].state = routing.State.LEAVING
    router.offer(views)
    assert {send(router, 0.0) for _ in range(20)} == {'u1'}
    router.offer(make_views(2))
    assert {send(router, 0.0) for _ in range(20)} == {'u0', 'u1'}


def test_replaced_instance_starts_afresh():
    """A dead instance is replaced by one of the same name elsewhere.

    Answers of the old one may still come in; counting them for the new one
    would hide its load, and callers would wait there.
    """
    router = make_router(make_views(1))
    old = router.choose(routing.RouteRequest('model'), 0.0)
    router.offer([routing.UpstreamView('u0', '127.0.0.1:99', 'model')])
    new = router.choose(routing.RouteRequest('model'), 0.0)
    failed = routing.Observation(old.upstream, routing.Result.FAILED)
    router.observe(failed, 0.1)
    assert new.upstream.state == routing.State.SERVING
    assert not router.health.has_record('u0')
    assert new.upstream.in_flight == 1


def test_refusal_names_when_to_come_back():
    router = make_router(make_views(1))
    send(router, 0.0, 'failed')
    with pytest.raises(errors.RefusedError) as caught:
        router.choose(routing.RouteRequest('model'), 0.1)
    assert caught.value.ran == 'no'
    assert 0 < caught.value.retry_after_s <= 0.5


def drafts(version='', **given):
    return routing.RouteRequest(
        'model', model='drafts', model_version=version, **given
    )


@pytest.mark.parametrize(
    'version, expected', [('v1', {'u1', 'u4'}), ('', {'u1', 'u2', 'u4'})]
)
def test_model_version_and_tried_are_respected(version, expected):
    views = make_views(5)
    views[0].model_versions = {'drafts/v1'}
    views[1].model_versions = {'drafts/v1', 'drafts/v2'}
    views[2].model_versions = {'drafts/v2'}
    views[3].model_versions = ()
    router = make_router(views)
    req = drafts(version, excluded={'u0'})
    assert {send(router, 0.0, req=req) for _ in range(40)} == expected


def test_old_knowledge_of_versions_is_no_refusal():
    """All upstreams have changed over to a new version since they replied.

    An entry that trusted its old knowledge would refuse each request for the
    new version for ever, since only replies bring new knowledge.
    """
    views = make_views(2)
    for view in views:
        view.model_versions = {'drafts/v1'}
    router = make_router(views)
    req = drafts('v2')
    first = send(router, 0.0, req=req, model_versions={'drafts/v2'})
    assert {send(router, 0.0, req=req) for _ in range(9)} == {first}


def test_replaced_runner_without_a_model_is_left_until_it_has_one():
    """A runner is replaced and has no weights yet, while others serve.

    Requests went to it again and again, were refused, and spent the retry
    budget, so that callers were refused though other runners had room. It
    is asked again now and then, or it would stay idle when it is ready.
    """
    views = make_views(2)
    views[0].model_versions = {'drafts/v1'}
    router = make_router(views)
    counts = collections.Counter()
    for tick in range(100):
        empty = router.choose(drafts(), tick / 10)
        counts[empty.upstream.name] += 1
        served = {'drafts/v1'} if empty.upstream.name == 'u0' else set()
        router.observe(
            routing.Observation(
                empty.upstream,
                routing.Result.REFUSED,
                model_versions=frozenset(served),
            ),
            tick / 10,
        )
    assert 1 <= counts['u1'] <= 6
    ready = 0
    for tick in range(40):
        now = 20 + tick / 10
        served = frozenset({'drafts/v1'})
        ready += send(router, now, req=drafts(), model_versions=served) == 'u1'
    assert ready >= 10


def test_subsets_bound_the_mesh_and_cover_all():
    views = make_views(200)
    seen = collections.Counter()
    for entry in range(40):
        order = routing.rank_upstreams(f'e{entry}', views)[:64]
        seen.update(view.name for view in order)
    assert len(seen) == 200
    assert max(seen.values()) <= 3 * 40 * 64 / 200


def test_subset_widens_past_unusable_upstreams():
    """Most of an entry's own subset dies while other upstreams are well.

    A fixed subset would refuse requests that the fleet could answer.
    """
    views = make_views(20)
    router = make_router(views, subset_size=4)
    for view in routing.rank_upstreams('e1', views)[:4]:
        router.observe(
            routing.Observation(view, routing.Result.FAILED), now=0.0
        )
    assert len({send(router, 0.01) for _ in range(50)}) == 4


@pytest.mark.parametrize('near_load, expected', [(0, {'u0'}), (99, None)])
def test_near_first_until_busy(near_load, expected):
    views = make_views(3)
    views[0].data_centre = 'here'
    views[0].reported_load = near_load
    views[0].reported_at = 0.0
    router = make_router(views, data_centre='here')
    names = {send(router, 0.0) for _ in range(30)}
    assert names == expected or 'u0' not in names


def test_stale_report_fades():
    """Load reports stop coming while an upstream was busy.

    If the last report held for ever the upstream would never get work again
    and callers would wait at the others.
    """
    views = make_views(2)
    views[0].reported_load = 50
    views[0].reported_at = 0.0
    for view in views:
        view.in_flight = 1
    assert routing.estimate_load(views[0], 0.0) == 51
    assert routing.estimate_load(views[0], 300.0) < 1.01
