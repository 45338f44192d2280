"""Tests of the choice of chunks, senders and drawers."""

import collections

import pytest

from catkinshunt import weights

N_CHUNKS = 40
MEMBERS = tuple(
    weights.Member(f'instance-{i}', f'dc-{i % 2}') for i in range(20)
)
NAMES = tuple(one.name for one in MEMBERS)


def make_view(me, members=MEMBERS):
    return weights.TransferView(me, members, N_CHUNKS)


def make_swarm(**params):
    params = {'random_state': 1, 'takeover_s': 10.0, **params}
    return weights.SwarmStrategy(**params)


def drain(strategy, view, now):
    """Return all pulls that `strategy` chooses at `now`."""
    pulls = []
    while (pull := strategy.choose(view, now)) is not None:
        view.begin(pull)
        pulls.append(pull)
    return pulls


def test_rarest_chunk_comes_from_the_least_loaded_holder():
    strategy = make_swarm(n_neighbours=3, origin_copy_s=1e6)
    view = make_view('instance-0')
    a, b, c = strategy.neighbours(view, 0.0)
    view.observe(a, 0b0111, 0.5, 0.0)
    view.observe(b, 0b0101, 0.2, 0.0)
    view.observe(c, 0b0001, 0.0, 0.0)
    assert strategy.choose(view, 0.0) == weights.Pull(1, a)
    view.begin(weights.Pull(1, a))
    assert strategy.choose(view, 0.0) == weights.Pull(2, b)


def test_neighbours_are_bounded_and_skip_failed_and_depleted_peers():
    strategy = make_swarm(n_neighbours=4)
    view = make_view('instance-0')
    first = strategy.neighbours(view, 0.0)
    assert len(first) == 4
    view.avoid(first[0], 0.0, 5.0)
    view.observe(first[1], 0, 1.04, 0.0)
    later = strategy.neighbours(view, 1.0)
    assert len(later) == 4
    assert not {first[0], first[1]} & set(later)
    assert first[0] in strategy.neighbours(view, 6.0)


@pytest.mark.parametrize(('lean', 'copies'), [(0, 1), (0.5, 2.5), (1, 4)])
def test_lean_sets_the_origin_copies(lean, copies):
    drawn = collections.Counter()
    for name in NAMES:
        strategy = make_swarm(
            lean=lean, origin_copy_s=1e-6, max_pulls=N_CHUNKS
        )
        for pull in drain(strategy, make_view(name), 1.0):
            if pull.peer == weights.ORIGIN:
                drawn[pull.chunk] += 1
    assert len(drawn) == N_CHUNKS
    assert sum(drawn.values()) / N_CHUNKS == pytest.approx(copies, abs=0.4)
    assert max(drawn.values()) <= 4


def test_draws_are_spread_over_the_time_of_one_copy():
    """All instances learn of a version at once.

    If each drew its chunks at once, the origin would share its link among
    all of them and nobody would have a whole chunk to pass on for long.
    """
    early = [
        pull
        for name in NAMES
        for pull in drain(make_swarm(origin_copy_s=1.0), make_view(name), 0.25)
        if pull.peer == weights.ORIGIN
    ]
    assert 0 < len(early) <= N_CHUNKS * 0.3


def home_of(chunk):
    """Return the name that draws `chunk` first, and another one."""
    for name in NAMES:
        view = make_view(name)
        strategy = make_swarm(origin_copy_s=1e-6, max_pulls=N_CHUNKS)
        pulls = drain(strategy, view, 1.0)
        if weights.Pull(chunk, weights.ORIGIN) in pulls:
            return name
    raise AssertionError('nobody draws the chunk')


def test_a_failed_drawer_is_taken_over_without_a_stampede():
    """The instance that was to draw a chunk dies before it has it.

    Every other instance misses that chunk. They ask the drawers before
    themselves, and only the first that lives goes to the origin; otherwise
    the origin would send one copy to each of them.
    """
    drawer = home_of(3)
    to_origin = []
    for name in NAMES:
        if name == drawer:
            continue
        strategy = make_swarm(origin_copy_s=1e-6, max_pulls=N_CHUNKS)
        view = make_view(name)
        everything = (1 << N_CHUNKS) - 1
        view.bitmap = everything & ~(1 << 3)
        view.avoid(drawer, 0.0, 1000.0)
        pulls = drain(strategy, view, 15.0)
        if pulls == [weights.Pull(3, weights.ORIGIN)]:
            to_origin.append(name)
    assert len(to_origin) <= 2


def test_a_chunk_that_a_peer_holds_is_not_drawn_again():
    """A chunk is late at an instance only because its holders are busy.

    Going to the origin for it would cost origin bytes exactly when all
    links are full.
    """
    strategy = make_swarm(origin_copy_s=1e-6, max_pulls=N_CHUNKS)
    view = make_view('instance-0')
    drain(strategy, view, 1.0)
    peer = strategy.neighbours(view, 1.0)[0]
    view.observe(peer, (1 << N_CHUNKS) - 1, 0.0, 1e6)
    view.peer(peer).busy_until = 1e9
    view.progress_at = 1e6
    assert drain(strategy, view, 1e6 + 1.0) == []


def test_holders_that_never_have_a_place_do_not_block_for_ever():
    """Peers say that they hold the last chunk, and are always busy.

    An instance that went on waiting for them would never be whole.
    """
    strategy = make_swarm(origin_copy_s=1e-6, max_pulls=N_CHUNKS)
    view = make_view('instance-0')
    peer = strategy.neighbours(view, 0.0)[0]
    view.observe(peer, (1 << N_CHUNKS) - 1, 0.0, 110.0)
    view.peer(peer).busy_until = 1e9
    sources = {pull.peer for pull in drain(strategy, view, 110.0)}
    assert weights.ORIGIN in sources


def test_old_knowledge_of_a_dead_holder_does_not_stop_a_takeover():
    """The first drawer dies just after it got a chunk, and a peer knew.

    That peer no longer asks the dead one, so it believed that the chunk was
    held, never drew it, and the last chunk never came.
    """
    drawer = home_of(3)
    for name in NAMES:
        if name == drawer:
            continue
        strategy = make_swarm(origin_copy_s=1e-6, max_pulls=N_CHUNKS)
        view = make_view(name)
        view.bitmap = ((1 << N_CHUNKS) - 1) & ~(1 << 3)
        view.observe(drawer, 1 << 3, 2.0, 1.0)
        view.peer(drawer).busy_until = 0.0
        assert drain(strategy, view, 1e6) != []


def test_ordered_strategies_skip_a_failed_parent():
    """The one instance that another pulls from dies.

    Its children must go on from the next ancestor, or all below would never
    be whole.
    """
    for strategy in (
        weights.ChainStrategy(),
        weights.TreeStrategy(),
        weights.StripedStrategy(),
    ):
        for name in NAMES:
            view = make_view(name)
            for dead in strategy.neighbours(view, 0.0):
                view.avoid(dead, 0.0, 1000.0)
            after = strategy.neighbours(view, 1.0)
            assert all(view.usable(peer, 1.0) for peer in after)


def test_stripes_have_disjoint_interiors():
    strategy = weights.StripedStrategy(n_stripes=4)
    interior = collections.defaultdict(set)
    for name in NAMES:
        for stripe in range(4):
            parents = strategy.parents(list(NAMES), name, stripe)
            for parent in parents[:1]:
                interior[parent].add(stripe)
    assert max(len(stripes) for stripes in interior.values()) == 1


def test_a_new_list_keeps_what_is_known_of_peers():
    view = make_view('instance-0')
    view.observe('instance-1', 0b11, 0.5, 0.0)
    view.set_members(MEMBERS[:5])
    assert view.peer('instance-1').bitmap == 0b11
    assert not view.usable('instance-9', 0.0)


def test_a_drawer_goes_on_asking_a_holder_elsewhere():
    """A data centre's drawer asks an instance of another one for a chunk.

    What that one replied once counted as held, so the drawer asked again
    only when the knowledge was old, and its whole data centre waited.
    """
    asked = 0
    for me in NAMES:
        strategy = make_swarm(origin_copy_s=1e-6, max_pulls=N_CHUNKS)
        view = make_view(me)
        for pull in drain(strategy, view, 1.0):
            if pull.peer == weights.ORIGIN:
                continue
            view.observe(pull.peer, 1 << pull.chunk, 0.0, 1.0)
            view.postpone(pull, 2.0)
            again = drain(strategy, view, 2.0)
            assert pull.chunk in {one.chunk for one in again}
            asked += 1
            break
    assert asked
