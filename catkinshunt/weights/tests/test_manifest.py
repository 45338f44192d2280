"""Tests of parsing manifests."""

import json

import hypothesis
from hypothesis import strategies as st
import pytest

from catkinshunt import errors
from catkinshunt import weights

MANIFEST = weights.Manifest.from_bytes('drafts', '7', b'abcdefgh', 3)


@pytest.mark.parametrize(
    ('field', 'value', 'named'),
    [
        ('model', '', 'model'),
        ('version', 7, 'version'),
        ('size_bytes', -1, 'size_bytes'),
        ('size_bytes', True, 'size_bytes'),
        ('chunk_bytes', '3', 'chunk_bytes'),
        ('digest', 'ab', 'digest'),
        ('chunks', {}, 'chunks'),
        ('chunks', ['0' * 64], 'chunks has 1 digests, not 3'),
        ('chunks', ['0' * 64, None, '0' * 64], r'chunks\[1\]'),
    ],
)
def test_invalid_field_is_named_in_the_error(field, value, named):
    fields = {**json.loads(MANIFEST.dumps()), field: value}
    with pytest.raises(errors.ManifestError, match=named):
        weights.Manifest.loads(json.dumps(fields).encode())


def test_missing_and_unknown_fields_are_named():
    fields = json.loads(MANIFEST.dumps())
    with pytest.raises(errors.ManifestError, match='unknown fields extra'):
        weights.Manifest.loads(json.dumps({**fields, 'extra': 1}).encode())
    del fields['digest']
    with pytest.raises(errors.ManifestError, match='no field digest'):
        weights.Manifest.loads(json.dumps(fields).encode())


@hypothesis.settings(derandomize=True, database=None, max_examples=200)
@hypothesis.given(
    st.integers(0, len(MANIFEST.dumps()) - 1), st.binary(max_size=4)
)
def test_truncated_manifest_is_rejected(end, tail):
    """The connection breaks while the manifest is read, or bytes are damaged.

    Parsing must fail: weights verified against part of a manifest would be
    part of a model.
    """
    raw = MANIFEST.dumps()[:end] + tail
    if raw == MANIFEST.dumps():
        return
    with pytest.raises(errors.ManifestError):
        weights.Manifest.loads(raw)
