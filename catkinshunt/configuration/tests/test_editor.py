"""Tests of edits, concurrent ones among them."""

import concurrent.futures

import hypothesis
from hypothesis import strategies as st
import pytest

from catkinshunt import configuration
from catkinshunt.configuration.tests import fakes
from catkinshunt import errors
from catkinshunt import rules

make_rule = fakes.make_rule


def _names(found):
    return [rule.name for rule in found.rule_set.rules]


@pytest.fixture(name='store')
def _store():
    return fakes.FakeStore()


@pytest.fixture(name='editor')
def _editor(store):
    return configuration.Editor(store, pause_s=0)


def test_each_edit_raises_the_revision(editor):
    assert editor.read().revision == 0
    assert editor.add(make_rule('a')).revision == 1
    assert _names(editor.add(make_rule('b'), position=0)) == ['b', 'a']
    assert _names(editor.move('a', 0)) == ['a', 'b']
    assert _names(editor.retire('b')) == ['a']
    assert editor.read().revision == 4


@pytest.mark.parametrize(
    ('edit', 'text'),
    [
        (lambda e: e.add(make_rule('a', '/x')), "'a' already exists"),
        (lambda e: e.add(make_rule('b'), position=9), 'position must be'),
        (lambda e: e.add(make_rule('b', '/a')), 'cannot be reached'),
        (lambda e: e.add({'name': 'b'}), 'field when'),
        (lambda e: e.move('b', 0), "no rule 'b'"),
        (lambda e: e.move('a', -1), 'position must be'),
        (lambda e: e.retire('b'), "no rule 'b'"),
        (lambda e: e.add(make_rule('b', reason='x' * 10**6)), 'bytes'),
    ],
)
def test_an_edit_that_cannot_be_accepted_writes_nothing(
    editor, store, edit, text
):
    editor.add(make_rule('a'))
    with pytest.raises(errors.RuleError, match=text):
        edit(editor)
    assert store.calls['put'] == 1
    assert editor.read().revision == 1


def test_a_dry_run_shows_the_result_and_writes_nothing(editor, store):
    before = editor.add(make_rule('a'))
    after = editor.add(make_rule('b'), dry_run=True)
    assert configuration.describe_differences(
        before.rule_set, after.rule_set
    ) == ("added 'b' at 1",)
    assert store.calls['put'] == 1


def test_a_conflict_names_what_changed(editor):
    """Two operators edit the same revision of the rules.

    The second edit is rejected with a description of the first instead of
    undoing it.
    """
    seen = editor.add(make_rule('a')).revision
    editor.add(make_rule('b'))
    editor.move('b', 0)
    editor.retire('a')
    with pytest.raises(errors.ConflictError) as caught:
        editor.add(make_rule('c'), expected_revision=seen)
    assert caught.value.changes == (
        "revision 2 added 'b' at 1",
        "revision 3 moved 'b' to 0",
        "revision 4 retired 'a'",
    )
    assert "retired 'a'" in str(caught.value)
    with pytest.raises(errors.ConflictError, match='never accepted'):
        editor.retire('b', expected_revision=9)


def test_an_edit_between_read_and_write_is_reported_as_conflict(editor, store):
    """Another edit is written between the read and the write of an edit."""
    editor.add(make_rule('a'))
    other = configuration.Editor(store)
    store.before_put = lambda: other.add(make_rule('b'))
    with pytest.raises(errors.ConflictError, match="added 'b'"):
        editor.retire('a')
    assert _names(editor.read()) == ['a', 'b']


@pytest.mark.parametrize('later_edits', [0, 3])
def test_a_lost_answer_is_resolved_by_reading_back(editor, store, later_edits):
    """The write takes effect, its response is lost, other edits follow.

    After an error the operator would add the rule a second time.
    """
    editor.add(make_rule('a'))
    other = configuration.Editor(store)
    read = store.get

    def get(key):
        store.get = read
        for number in range(later_edits):
            other.add(make_rule(f'later-{number}'))
        return read(key)

    put = store.put

    def lose(*args):
        put(*args)
        store.put = put
        store.get = get
        raise errors.StoreUnknownError('lost')

    store.put = lose
    assert editor.add(make_rule('b')).revision == 2
    assert _names(editor.read())[:2] == ['a', 'b']
    assert editor.read().revision == 2 + later_edits


def test_a_lost_write_is_retried(editor, store):
    """The connection breaks before the service receives the write."""
    store.lose_writes = 2
    assert editor.add(make_rule('a')).revision == 1
    assert _names(editor.read()) == ['a']


def test_an_outage_after_a_lost_answer_is_reported_as_unknown(editor, store):
    """The response is lost and the service goes down before the read back.

    The edit may come into force later, so the error asks to look for it.
    """
    put = store.put

    def lose(*args):
        put(*args)
        store.down = True
        raise errors.StoreUnknownError('lost')

    store.put = lose
    with pytest.raises(errors.StoreUnknownError, match='look for edit'):
        editor.add(make_rule('a'))
    store.down = False
    assert _names(editor.read()) == ['a']


def test_an_outage_before_the_write_is_reported_as_not_written(editor, store):
    """The service is down when the operator edits; nothing is written."""
    store.down = True
    with pytest.raises(errors.StoreUnavailableError):
        editor.add(make_rule('a'))


def test_concurrent_editors_lose_no_accepted_edit(store):
    """Four operators edit concurrently, and some responses are lost.

    Each edit reported as accepted must be in the rules at its own revision;
    the accepted revisions must be consecutive.
    """
    store.lose_answers = 3

    def work(prefix):
        editor = configuration.Editor(store, pause_s=0, tries=20)
        accepted = {}
        for number in range(8):
            name = f'{prefix}-{number}'
            while name not in accepted:
                try:
                    accepted[name] = editor.add(make_rule(name)).revision
                except errors.ConflictError:
                    continue
        return accepted

    with concurrent.futures.ThreadPoolExecutor(4) as pool:
        histories = list(pool.map(work, 'abcd'))
    accepted = {}
    for history in histories:
        accepted.update(history)
    final = configuration.Editor(store).read()
    assert sorted(accepted.values()) == list(range(1, 33))
    in_order = sorted(accepted, key=accepted.get)
    assert _names(final) == in_order
    assert final.revision == 32


_RULES = st.lists(
    st.tuples(st.sampled_from('abcdef'), st.sampled_from(['x', 'y'])),
    unique_by=lambda item: item[0],
)


def _load(items):
    documents = [make_rule(name, reason=reason) for name, reason in items]
    return rules.load_rule_set({'rules': documents})


@hypothesis.settings(derandomize=True, database=None, deadline=None)
@hypothesis.given(_RULES, _RULES)
def test_apply_yields_exactly_the_wanted_rules(before, after):
    editor = configuration.Editor(fakes.FakeStore())
    editor.apply(_load(before))
    found = editor.apply(_load(after))
    assert found.rule_set == _load(after)
    assert editor.apply(_load(after)).revision == found.revision
