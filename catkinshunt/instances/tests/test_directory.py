"""Tests of the replica of the instance list."""

import json

import attrs
import hypothesis
from hypothesis import strategies as st
import pytest

from catkinshunt.dissemination.tests import fakes
from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt import instances
from standins import instance_list


def make_listing(revision, names, state='live'):
    """Return a `Listing` as read from the platform."""
    items = [
        attrs.evolve(fakes.make_instance(name), state=state).to_listing()
        for name in names
    ]
    value = {'revision': revision, 'instances': items}
    return instances.read_listing(json.dumps(value))


def _names(directory):
    return sorted(item.name for item in directory.instances)


def test_a_directory_shows_upstreams_and_members():
    directory = instances.Directory()
    assert directory.offer(make_listing(1, 'ab'), now=0.0)
    found = directory.upstreams('model-servers')
    assert [item.name for item in found] == ['a', 'b']
    assert directory.members is directory.members
    assert directory.find('a').state == 'live'
    assert directory.find('z') is None


_LISTS = st.lists(
    st.tuples(st.sets(st.sampled_from('abcde')), st.sampled_from('xy')),
    min_size=1,
    max_size=8,
)


@hypothesis.settings(derandomize=True, database=None, deadline=None)
@hypothesis.given(_LISTS, st.integers(0, 7))
def test_updates_lead_to_the_list_that_was_read(lists, behind):
    source_directory, other = instances.Directory(), instances.Directory()
    for number, (names, state) in enumerate(lists, 1):
        listing = make_listing(number, sorted(names), state)
        source_directory.offer(listing, now=0.0)
        if number <= behind:
            other.apply_update(
                source_directory.make_update(other.revision), 0.0
            )
    update = source_directory.make_update(other.revision)
    other.apply_update(update, now=1.0)
    assert set(other.instances) == set(source_directory.instances)
    assert other.revision == source_directory.revision


def test_a_change_of_one_instance_is_small():
    names = [f'i{number}' for number in range(200)]
    directory = instances.Directory()
    directory.offer(make_listing(1, names), now=0.0)
    directory.offer(make_listing(2, [*names, 'new']), now=1.0)
    update = directory.make_update(1)
    assert update.edits
    assert update.size < directory.make_update(0).size


def test_a_change_from_another_revision_is_rejected():
    """A peer offers a change that applies to another revision.

    Applying it would keep instances in the list that have been removed.
    """
    source_directory, other = instances.Directory(), instances.Directory()
    source_directory.offer(make_listing(1, 'abcdefgh'), now=0.0)
    other.offer(make_listing(2, 'xyz'), now=0.0)
    source_directory.offer(make_listing(3, 'bcdefgh'), now=0.0)
    update = source_directory.make_update(1)
    assert update.edits
    with pytest.raises(errors.PeerError, match='starts from 1'):
        other.apply_update(update, now=1.0)
    assert _names(other) == ['x', 'y', 'z']
    assert other.apply_update(source_directory.make_update(0), now=1.0)
    assert _names(other) == list('bcdefgh')


def test_an_old_list_does_not_restore_removed_instances():
    """An outdated list arrives late from a slow process."""
    directory = instances.Directory()
    directory.offer(make_listing(5, 'ab'), now=0.0)
    assert not directory.offer(make_listing(4, 'abc'), now=1.0)
    assert _names(directory) == ['a', 'b']


@pytest.mark.parametrize(
    'text',
    [
        'no list',
        '[]',
        '{"revision": 1}',
        '{"revision": 1, "instances": [{"name": "a"}]}',
        '{"revision": 1, "instances": [7]}',
    ],
)
def test_an_invalid_list_is_rejected(text):
    with pytest.raises(errors.PeerError):
        instances.read_listing(text)


def test_the_list_is_read_only_where_it_is_newer():
    platform = instance_list.InstanceList()
    listed = fakes.make_instance('a').to_listing()
    platform.update([listed])
    with httpio.HttpServer(platform.app) as server:
        address = httpio.Address('127.0.0.1', server.port)
        directory = instances.Directory()
        source = instances.ListSource(address, directory)
        source.fetch(0)
        source.fetch(0)
        assert _names(directory) == ['a']
        assert platform.calls == 2
        platform.update([])
        source.fetch(0)
        assert _names(directory) == []
    with pytest.raises(errors.PeerUnavailableError):
        source.fetch(0)
    assert directory.revision == 2
