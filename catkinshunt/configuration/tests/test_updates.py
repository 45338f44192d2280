"""Tests of the keeper and of updates between processes."""

import threading

import hypothesis
from hypothesis import strategies as st
import pytest

from catkinshunt import configuration
from catkinshunt.configuration.tests import fakes
from catkinshunt import dissemination
from catkinshunt import errors


def _history(length, store=None):
    """Return the configurations of `length` edits, oldest first."""
    editor = configuration.Editor(store or fakes.FakeStore())
    found = [configuration.EMPTY]
    for number in range(length):
        found.append(editor.add(fakes.make_rule(f'r{number}')))
    return found


@pytest.mark.parametrize('first', [0, 1, 3, 5])
def test_an_update_leads_to_the_same_document(first):
    history = _history(5)
    update = configuration.make_update(history[5], first)
    found = configuration.apply_update(history[first], update)
    assert found.document == history[5].document
    assert found.rule_set == history[5].rule_set


def test_a_process_few_revisions_behind_gets_the_edits_only():
    history = _history(50)
    update = configuration.make_update(history[50], 49)
    assert update.document == b''
    assert update.size < len(history[50].deflated) / 3


def test_a_process_far_behind_gets_the_whole_document():
    history = _history(70)
    assert len(history[70].edits) < 70
    update = configuration.make_update(history[70], 1)
    assert update.document
    found = configuration.apply_update(history[1], update)
    assert found.document == history[70].document


@pytest.mark.parametrize(
    'change',
    [
        {'digest': b'x' * 32},
        {'document': b'not deflated'},
        {'edits': (b'{}',)},
        {'edits': (b'{"revision": 3, "edit_id": "x", "operations": 1}',)},
    ],
)
def test_an_update_that_does_not_fit_is_refused(change):
    """A message is damaged, or a process of another build sends it.

    Without the check two processes would decide by different rules.
    """
    history = _history(3)
    good = configuration.make_update(history[3], 2)
    fields = {
        'topic': good.topic,
        'revision': good.revision,
        'base_revision': good.base_revision,
        'edits': good.edits,
        'document': good.document,
        'digest': good.digest,
        **change,
    }
    update = dissemination.Update(**fields)
    with pytest.raises(errors.PeerError, match='update 3'):
        configuration.apply_update(history[2], update)


@hypothesis.settings(derandomize=True, database=None, deadline=None)
@hypothesis.given(st.lists(st.integers(0, 6), max_size=30))
def test_the_configuration_in_force_never_reverts(order):
    """Old reads, pushes and pulls arrive in any order and more than once."""
    history = _history(6)
    config_replica = configuration.ConfigurationReplica()
    told = []
    config_replica.subscribe(lambda found: told.append(found.revision))
    highest = 0
    for now, revision in enumerate(order):
        taken = config_replica.offer(history[revision], float(now))
        assert taken == (revision > highest)
        highest = max(highest, revision)
        assert config_replica.current is history[highest]
    assert told == sorted(set(told))


def test_wait_returns_when_a_newer_one_is_in_force():
    history = _history(1)
    config_replica = configuration.ConfigurationReplica()
    thread = threading.Thread(
        target=config_replica.offer, args=(history[1], 0.0)
    )
    thread.start()
    assert config_replica.wait(0, timeout_s=10).revision == 1
    thread.join()


def test_the_rules_stay_when_the_stored_document_is_broken():
    """Somebody writes to the key past the editor.

    The rules in force must stay, and the next good edit be taken.
    """
    store = fakes.FakeStore()
    config_replica = configuration.ConfigurationReplica()
    source = configuration.StoreSource(store, config_replica)
    history = _history(2, store)
    source.fetch(wait_s=1)
    broken = store.put(configuration.KEY, b'{"rules": 3}', 2)
    source.fetch(wait_s=1)
    assert config_replica.current.document == history[2].document
    third = history[2].edited('x', (configuration.Retire('r0'),))
    store.put(configuration.KEY, third.document, broken)
    source.fetch(wait_s=1)
    assert config_replica.revision == 3


def test_a_rules_file_with_comments_is_read(tmp_path):
    path = tmp_path / 'rules.json5'
    path.write_text(
        "{rules: [{name: 'a', when: {request: {}}, // all\n"
        "then: {refuse: {reason: 'closed'}}}]}"
    )
    found = configuration.read_rules_file(path, services=[])
    assert [rule.name for rule in found.rules] == ['a']
    path.write_text('{rules: [')
    with pytest.raises(errors.RuleError, match='cannot be read'):
        configuration.read_rules_file(path)
