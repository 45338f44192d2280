"""Tests of decoding the document of a configuration."""

import json

import pytest

from catkinshunt import configuration
from catkinshunt.configuration.tests import fakes


def _history(length):
    editor = configuration.Editor(fakes.FakeStore())
    found = [configuration.EMPTY]
    for number in range(length):
        found.append(editor.add(fakes.make_rule(f'r{number}')))
    return found


@pytest.mark.parametrize('behind', [1, 3])
def test_unchanged_rules_are_not_decoded_again(behind):
    """Thousands of rules are in force, and one is added every few seconds.

    Decoding all of them at each change takes a watcher 52 ms of processor
    time for 1,000 rules, of which one changed.
    """
    history = _history(8)
    previous = history[8 - behind]
    found = configuration.Configuration.from_bytes(
        history[8].document, previous=previous
    )
    assert found.document == history[8].document
    for decoded_rule, previous_rule in zip(
        found.encoded_rules, previous.encoded_rules, strict=False
    ):
        assert decoded_rule is previous_rule


@pytest.mark.parametrize('previous', [None, 0, 6])
def test_a_document_that_differs_from_its_edits_is_decoded_completely(
    previous,
):
    """The document is written without the editor and keeps old edits.

    A process that only replayed these would use rules that were replaced.
    """
    history = _history(6)
    document = json.loads(history[6].document)
    document['revision'] = 9
    document['rules'].reverse()
    value = json.dumps(document).encode()
    found = configuration.Configuration.from_bytes(
        value, previous=None if previous is None else history[previous]
    )
    assert [item.rule.name for item in found.encoded_rules] == [
        f'r{number}' for number in reversed(range(6))
    ]
