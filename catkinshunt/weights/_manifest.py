"""Manifest of the weights of one model version."""

import hashlib
import json

import attrs

from catkinshunt import errors

DIGEST_LENGTH = 64
MAX_MANIFEST_BYTES = 16 * 1024 * 1024
_FIELDS = (
    'model',
    'version',
    'size_bytes',
    'chunk_bytes',
    'chunks',
    'digest',
)


@attrs.frozen
class Manifest:
    """Sizes and SHA-256 digests of one version of a model.

    Args:
        model: name of the model.
        version: version of its weights.
        size_bytes: total length of the weights.
        chunk_bytes: length of each chunk except the last.
        chunks: hex digest of each chunk, in order.
        digest: hex digest of the complete weights.

    Examples:
        >>> manifest = Manifest.from_bytes('drafts', '7', b'abcde', 2)
        >>> len(manifest.chunks), manifest.chunk_range(2)
        (3, (4, 5))
        >>> Manifest.loads(manifest.dumps()) == manifest
        True
    """

    model = attrs.field()
    version = attrs.field()
    size_bytes = attrs.field()
    chunk_bytes = attrs.field()
    chunks = attrs.field(repr=len)
    digest = attrs.field()

    @classmethod
    def from_bytes(cls, model, version, data, chunk_bytes):
        """Return the manifest of `data` split into chunks."""
        starts = range(0, len(data), chunk_bytes)
        parts = (data[start : start + chunk_bytes] for start in starts)
        return cls(
            model=model,
            version=version,
            size_bytes=len(data),
            chunk_bytes=chunk_bytes,
            chunks=tuple(hashlib.sha256(part).hexdigest() for part in parts),
            digest=hashlib.sha256(data).hexdigest(),
        )

    @classmethod
    def loads(cls, raw):
        """Parse a manifest from JSON bytes.

        Raises:
            ManifestError: `raw` is incomplete or inconsistent; the message
                names the field.
        """
        if len(raw) > MAX_MANIFEST_BYTES:
            raise _error(f'is longer than {MAX_MANIFEST_BYTES} bytes')
        try:
            fields = json.loads(raw)
        except (ValueError, RecursionError) as exc:
            raise _error(f'is not JSON: {exc}') from exc
        _check_fields(fields)
        return cls(**{**fields, 'chunks': tuple(fields['chunks'])})

    def dumps(self):
        """Return the manifest as JSON bytes."""
        return json.dumps(attrs.asdict(self)).encode()

    def chunk_range(self, index):
        """Return the byte offsets (start, end) of chunk `index`."""
        first = index * self.chunk_bytes
        return first, min(first + self.chunk_bytes, self.size_bytes)

    def check(self, index, data):
        """Verify `data` against the digest of chunk `index` and return it.

        Raises:
            CorruptChunkError: the length or the digest differs.
        """
        first, end = self.chunk_range(index)
        if len(data) != end - first:
            raise errors.CorruptChunkError(
                f'chunk {index} has {len(data)} bytes, not {end - first}',
                step='verify chunk',
            )
        if hashlib.sha256(data).hexdigest() != self.chunks[index]:
            raise errors.CorruptChunkError(
                f'digest of chunk {index} does not match', step='verify chunk'
            )
        return data


def _error(text):
    return errors.ManifestError(f'manifest {text}', step='read manifest')


def _check_fields(fields):
    if not isinstance(fields, dict):
        raise _error('is not a JSON object')
    for name in _FIELDS:
        if name not in fields:
            raise _error(f'has no field {name}')
    unknown = sorted(set(fields) - set(_FIELDS))
    if unknown:
        raise _error(f'has unknown fields {", ".join(unknown)}')
    for name in ('model', 'version'):
        _check_name(name, fields[name])
    for name in ('size_bytes', 'chunk_bytes'):
        _check_size(name, fields[name])
    _check_digest('digest', fields['digest'])
    _check_chunks(fields)


def _check_name(name, value):
    if not isinstance(value, str) or not value:
        raise _error(f'field {name} must be a non-empty string')


def _check_size(name, value):
    if isinstance(value, bool) or not isinstance(value, int) or value <= 0:
        raise _error(f'field {name} must be a positive integer')


def _check_digest(name, value):
    hexadecimal = isinstance(value, str) and not set(value) - set(
        '0123456789abcdef'
    )
    if not hexadecimal or len(value) != DIGEST_LENGTH:
        raise _error(f'field {name} must be {DIGEST_LENGTH} hex digits')


def _check_chunks(fields):
    chunks = fields['chunks']
    if not isinstance(chunks, list):
        raise _error('field chunks must be a list')
    wanted = -(-fields['size_bytes'] // fields['chunk_bytes'])
    if len(chunks) != wanted:
        raise _error(f'field chunks has {len(chunks)} digests, not {wanted}')
    for index, digest in enumerate(chunks):
        _check_digest(f'chunks[{index}]', digest)
