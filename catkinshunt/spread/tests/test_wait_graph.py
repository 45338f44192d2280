import pytest

from catkinshunt.spread import _wait_graph


def test_cycle_of_two_is_found():
    wait_graph = _wait_graph.WaitGraph()
    wait_graph.set_source(3, 'b')
    wait_graph.note_requester(3, 'b', now=1.0)
    assert wait_graph.find_cycle(3, 'a', now=1.2) == {'a', 'b'}


def test_all_members_find_the_same_cycle():
    """Otherwise several members would fetch the chunk from the origin."""
    names = ('a', 'b', 'c')
    cycles = []
    for position, me in enumerate(names):
        source, last = names[(position + 1) % 3], names[(position + 2) % 3]
        wait_graph = _wait_graph.WaitGraph()
        wait_graph.set_source(3, source)
        wait_graph.extend_chain(3, source, (last, me))
        cycles.append(wait_graph.find_cycle(3, me, now=0.0))
    assert cycles == [set(names)] * 3


def test_old_requests_expire():
    wait_graph = _wait_graph.WaitGraph()
    wait_graph.set_source(3, 'b')
    wait_graph.note_requester(3, 'b', now=1.0)
    assert (
        wait_graph.find_cycle(3, 'a', now=1.0 + _wait_graph.REQUEST_TTL_S)
        == set()
    )


def test_chain_to_the_origin_is_no_cycle():
    wait_graph = _wait_graph.WaitGraph()
    wait_graph.set_source(3, 'b')
    wait_graph.extend_chain(3, 'b', ('origin',))
    wait_graph.note_requester(3, 'c', now=1.0)
    assert wait_graph.find_cycle(3, 'a', now=1.0) == set()


def test_chain_of_a_previous_source_is_ignored():
    wait_graph = _wait_graph.WaitGraph()
    wait_graph.set_source(3, 'b')
    wait_graph.set_source(3, 'c')
    wait_graph.extend_chain(3, 'b', ('a',))
    assert wait_graph.find_cycle(3, 'a', now=0.0) == set()


@pytest.mark.parametrize('text', ['', '[]', '{"x": []}', '{"1": 2}', 'null'])
def test_invalid_chains_are_rejected(text):
    with pytest.raises(ValueError):
        _wait_graph.load_chains(text)


def test_chains_survive_a_round_trip():
    chains = {3: ('b', 'origin'), 40: ('c',)}
    assert _wait_graph.load_chains(_wait_graph.dump_chains(chains)) == chains
