"""Tests of handing documents on, over messages in memory."""

import pytest

from catkinshunt import configuration
from catkinshunt.configuration.tests import fakes as store_fakes
from catkinshunt import dissemination
from catkinshunt.dissemination.tests import fakes


def make_history(length):
    """Return the configurations of `length` edits, oldest first."""
    editor = configuration.Editor(store_fakes.FakeStore())
    found = [configuration.EMPTY]
    for number in range(length):
        found.append(editor.add(store_fakes.make_rule(f'r{number}')))
    return found


HISTORY = make_history(80)


def settle(fleet, revision, rounds=12, now=0.0):
    """Push and pull until nobody is behind; return the rounds taken."""
    for number in range(rounds):
        if not fleet.behind(revision):
            return number
        fleet.push(now + number)
        fleet.pull(now + number)
    return rounds


@pytest.mark.parametrize('size', [2, 10, 60])
def test_a_revision_reaches_every_process(size):
    fleet = fakes.Fleet(size)
    fleet.accept(HISTORY[1], ['i0'])
    assert settle(fleet, 1) < 8
    fleet.accept(HISTORY[2], ['i1'])
    assert settle(fleet, 2) < 8


def test_pushes_alone_reach_nearly_all_and_each_offers_once():
    fleet = fakes.Fleet(100)
    fleet.accept(HISTORY[1], list(fleet.config_replicas))
    fleet.push(0.0)
    fleet.network.messages = 0
    fleet.accept(HISTORY[2], ['i0'])
    for number in range(10):
        fleet.push(float(number))
    assert len(fleet.behind(2)) < 10
    assert fleet.network.messages <= 4 * 100


def test_dead_processes_do_not_hold_up_the_others():
    """One process in ten has died and the instance list still shows it.

    Offers to the dead are lost; the living must get the revision all the
    same, and after a while no more calls go to the dead.
    """
    fleet = fakes.Fleet(60)
    fleet.network.dead = {f'i{n}' for n in range(0, 60, 10)}
    fleet.accept(HISTORY[1], ['i1'])
    assert settle(fleet, 1) < 8
    for number in range(40):
        fleet.pull(20.0 + number)
    disseminator = fleet.disseminators['i1']
    chosen = disseminator.neighbours._chosen
    assert not set(chosen) & fleet.network.dead


def test_a_group_that_was_cut_off_catches_up():
    """A region loses the others for a while; edits go on outside of it.

    When the link is back, its processes must get the newest revision, also
    those that have no neighbour outside.
    """
    fleet = fakes.Fleet(40, data_centres=2)
    fleet.accept(HISTORY[1], ['i0'])
    settle(fleet, 1)
    fleet.network.groups = {m.name: m.data_centre for m in fleet.members}
    for revision in range(2, 80):
        fleet.accept(HISTORY[revision], ['i0'])
        settle(fleet, revision, rounds=2, now=revision)
    settle(fleet, 79, now=100.0)
    inside = {m.name for m in fleet.members if m.data_centre == 'dc1'}
    assert set(fleet.behind(79)) == inside
    fleet.network.groups = {}
    assert settle(fleet, 79, now=1000.0) < 10
    documents = {k.current.document for k in fleet.config_replicas.values()}
    assert documents == {HISTORY[79].document}


def test_a_process_that_starts_in_an_outage_takes_the_highest():
    """The key-value service is down and some peers are behind.

    The new process must start with the newest rules that a peer knows, and
    a peer behind must not bring it back.
    """
    fleet = fakes.Fleet(4)
    fleet.accept(HISTORY[4], ['i0'])
    fleet.accept(HISTORY[3], ['i1', 'i2'])
    member = fakes.make_instance('new')
    fleet.members = (*fleet.members, member)
    fleet.add(member)
    disseminator, config_replica = (
        fleet.disseminators['new'],
        fleet.config_replicas['new'],
    )
    for number in range(3):
        disseminator.catch_up(float(number))
    assert config_replica.revision == 4
    for name in ('i1', 'i2'):
        update = fleet.config_replicas[name].make_update(0)
        assert disseminator.handle_offer(update, name, 5.0) == 4
    assert config_replica.current.document == HISTORY[4].document


def test_an_offer_that_skips_revisions_is_completed_by_a_pull():
    """A process missed a revision and is offered only the edit after it.

    Taking the edit alone would leave it with rules that nobody accepted.
    """
    fleet = fakes.Fleet(2)
    fleet.accept(HISTORY[1], ['i1'])
    fleet.accept(HISTORY[3], ['i0'])
    update = fleet.config_replicas['i0'].make_update(2)
    receiver = fleet.disseminators['i1']
    assert receiver.handle_offer(update, 'i0', 0.0) == 1
    receiver.pull(0.0)
    assert fleet.config_replicas['i1'].current.document == HISTORY[3].document


def test_a_header_with_a_newer_revision_leads_to_a_pull():
    fleet = fakes.Fleet(2)
    fleet.accept(HISTORY[1], ['i0'])
    receiver = fleet.disseminators['i1']
    topic = configuration.ConfigurationReplica.topic
    receiver.observe_revision(topic, 1, now=10.0)
    assert receiver._something_to_do()
    receiver.pull(10.0)
    assert fleet.config_replicas['i1'].revision == 1
    receiver.observe_revision(topic, 1, now=20.0)
    assert not receiver._something_to_do()


def test_hints_without_a_name_are_not_followed_at_every_request():
    """Each request of a burst names a newer revision than ours.

    A pull for each would be more work than the requests themselves.
    """
    fleet = fakes.Fleet(2)
    receiver = fleet.disseminators['i1']
    receiver.observe_revision(
        configuration.ConfigurationReplica.topic, 9, now=10.0
    )
    receiver.pull(10.0)
    receiver.observe_revision(
        configuration.ConfigurationReplica.topic, 9, now=10.1
    )
    assert not receiver._something_to_do()
    receiver.observe_revision(
        configuration.ConfigurationReplica.topic, 9, now=10.3
    )
    assert receiver._something_to_do()


def _make_elections(members, data_centre='dc0'):
    found = {}
    for member in members:
        if member.data_centre == data_centre:
            peer_health = dissemination.PeerHealth()
            found[member.name] = dissemination.WatchElection(
                'configuration', member.name, data_centre, peer_health
            )
    return found


def _on_duty(elections, members):
    return {
        name for name, election in elections.items() if election.check(members)
    }


def test_few_processes_of_each_data_centre_watch():
    members = fakes.Fleet(200, data_centres=4).members
    for number in range(4):
        elections = _make_elections(members, f'dc{number}')
        assert len(_on_duty(elections, members)) == 2


def test_a_dead_watcher_is_replaced_by_one_deputy():
    """A watcher dies and the instance list still shows it.

    Its deputies find out by calling it. One of them must begin to watch,
    and only one, even where every process has noticed.
    """
    members = fakes.Fleet(100).members
    elections = _make_elections(members)
    before = _on_duty(elections, members)
    dead = sorted(before)[0]
    del elections[dead]
    for election in elections.values():
        for now in (0.0, 1.0):
            election.peer_health.observe(dead, False, now)
    after = _on_duty(elections, members)
    assert len(after) == 2
    assert before - {dead} < after
    for election in elections.values():
        election.peer_health.observe(dead, True, 2.0)
    assert _on_duty(elections, members) == before - {dead}


def test_a_process_that_is_not_listed_yet_does_not_watch():
    members = fakes.Fleet(10).members
    peer_health = dissemination.PeerHealth()
    election = dissemination.WatchElection(
        'configuration', 'new', 'dc0', peer_health
    )
    assert not election.check(members)
