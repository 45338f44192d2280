"""Stored document of one shard of claims."""

import base64
import hashlib
import json

import attrs

from catkinshunt.claims import base
from catkinshunt import errors

FORMAT_VERSION = 1
_IDENTITY_BYTES = 15
#: Space reserved for each claim, so that the status of its finish always
#: fits; the body is stored only if there is space left.
_FINISH_RESERVE_BYTES = 64
#: Length of the identity prefix that a compacted claim keeps: 72 bits.
_PREFIX_CHARS = 12
_HOUR_S = 3600
_BUCKET_OVERHEAD_BYTES = 20
_EMPTY_DOCUMENT_BYTES = 64
#: Last character of the keys of compacted claims in the stored document.
_FINISHED_MARK = 'r'
_UNKNOWN_MARK = 'u'
_STATE_BY_MARK = {
    _FINISHED_MARK: base.State.FINISHED,
    _UNKNOWN_MARK: base.State.UNKNOWN,
}


def compute_identity(account, key):
    """Return the digest of an account and an idempotency key.

    The length of the account comes first, so that different pairs cannot
    yield the same text.

    Examples:
        >>> compute_identity('a', 'bc') == compute_identity('ab', 'c')
        False
    """
    text = f'{len(account)}:{account}:{key}'.encode()
    return _short_digest(text)


def compute_request_digest(method, path, body):
    """Return the digest that distinguishes a retry from another request.

    Examples:
        >>> first = compute_request_digest('POST', '/', b'1')
        >>> first == compute_request_digest('POST', '/', b'2')
        False
    """
    head = f'{method} {path}\n'.encode()
    return _short_digest(head + body)


def _short_digest(data):
    digest = hashlib.sha256(data).digest()[:_IDENTITY_BYTES]
    return base64.urlsafe_b64encode(digest).decode()


@attrs.define
class Record:
    """One stored claim.

    Attributes:
        attempt: the attempt that was granted.
        digest: digest of the request.
        claimed_at: seconds since the epoch.
        deadline: seconds since the epoch.
        status: HTTP status if finished, else 0.
        content_type: media type of the stored body.
        body: base64 of the stored body, or None.
    """

    attempt: str
    digest: str
    claimed_at: float
    deadline: float
    status: int = 0
    content_type: str = ''
    body: str | None = None

    def to_json(self):
        """Return the shortest list that `from_json` accepts."""
        row = [self.attempt, self.digest, self.claimed_at, self.deadline]
        if self.status:
            row.append(self.status)
        if self.body is not None:
            row += [self.content_type, self.body]
        return row

    @classmethod
    def from_json(cls, row):
        """Decode a record; raise TypeError or ValueError if it is invalid."""
        record = cls(*row)
        texts = (record.attempt, record.digest, record.content_type)
        if not all(isinstance(text, str) for text in texts):
            raise ValueError('expected a string')
        times = (record.claimed_at, record.deadline)
        if not all(type(value) in (int, float) for value in times):
            raise ValueError('expected a number')
        if type(record.status) is not int:
            raise ValueError('status must be an integer')
        if record.body is not None:
            base64.b64decode(record.body, validate=True)
        return record

    def outcome(self):
        """Return the recorded `base.Outcome`."""
        body = self.body
        if body is not None:
            body = base64.b64decode(body)
        return base.Outcome(self.status, self.content_type, body)


def _bucket_of(record):
    """Return the bucket of a compacted claim: its hour and state mark."""
    hour = int(record.claimed_at // _HOUR_S)
    return f'{hour}{_FINISHED_MARK if record.status else _UNKNOWN_MARK}'


def _bucket_end(bucket):
    return (int(bucket[:-1]) + 1) * _HOUR_S


def _check_bucket(bucket, prefixes):
    _bucket_end(bucket)
    if bucket[-1] not in _STATE_BY_MARK or len(prefixes) % _PREFIX_CHARS:
        raise ValueError(f'invalid bucket {bucket!r}')


def _record_size_bytes(identity, record):
    row = json.dumps(record.to_json(), separators=(',', ':'))
    return len(identity) + len(row) + 4


class Document:
    """Claims of one shard and the operations on them.

    A claim that is past its deadline and whose response is no longer stored
    is compacted to a prefix of its identity. Prefixes are concatenated in
    one string per hour and state. At 12 bytes a claim, rewriting several
    hours of them with each write is cheap; complete records would soon fill
    the document.

    Args:
        records: `Record` by identity.
        compacted: concatenated identity prefixes by bucket; see
            `_bucket_of`.
        limit_bytes: maximum encoded size.
    """

    def __init__(self, records, compacted, limit_bytes):
        self.records = records
        self.compacted = compacted
        self.limit_bytes = limit_bytes
        self.changed = False
        self._retry_after_s = 1.0
        self._size_bytes = _EMPTY_DOCUMENT_BYTES + sum(
            _record_size_bytes(*item) + _FINISH_RESERVE_BYTES
            for item in records.items()
        )
        self._size_bytes += sum(
            len(prefixes) + _BUCKET_OVERHEAD_BYTES
            for prefixes in compacted.values()
        )

    @classmethod
    def decode(cls, value, limit_bytes):
        """Decode the stored bytes; None is a shard that was never written.

        Raises:
            errors.StoreError: the value is not a valid document. It is not
                overwritten: treating it as empty would lose its claims and
                allow their requests to be executed again.
        """
        if value is None:
            return cls({}, {}, limit_bytes)
        try:
            data = json.loads(value)
            if data['version'] != FORMAT_VERSION:
                raise ValueError(f'version {data["version"]!r}')
            records = {
                identity: Record.from_json(row)
                for identity, row in data['claims'].items()
            }
            compacted = dict(data['old'])
            for bucket, prefixes in compacted.items():
                _check_bucket(bucket, prefixes)
        except (
            AttributeError,
            KeyError,
            RecursionError,
            TypeError,
            ValueError,
        ) as exc:
            raise errors.StoreError(
                f'claims document cannot be decoded: {exc!r}', step='claims'
            ) from exc
        return cls(records, compacted, limit_bytes)

    def encode(self):
        """Return the bytes to store."""
        rows = {key: record.to_json() for key, record in self.records.items()}
        data = {
            'version': FORMAT_VERSION,
            'claims': rows,
            'old': self.compacted,
        }
        return json.dumps(data, separators=(',', ':')).encode()

    def compact(self, now, retention_s, answer_kept_s):
        """Compact claims after `answer_kept_s`; drop after `retention_s`.

        The retention time of a compacted claim starts at the end of the
        hour in which it was claimed.
        """
        self._retry_after_s = answer_kept_s
        for bucket in list(self.compacted):
            if now - _bucket_end(bucket) > retention_s:
                self._size_bytes -= (
                    len(self.compacted.pop(bucket)) + _BUCKET_OVERHEAD_BYTES
                )
                self.changed = True
        for identity, record in list(self.records.items()):
            age_s = now - record.claimed_at
            if age_s > answer_kept_s and now > record.deadline:
                self._remove(identity)
                self._add_compacted(
                    _bucket_of(record), identity[:_PREFIX_CHARS]
                )

    def _add_compacted(self, bucket, prefix):
        if bucket not in self.compacted:
            self._size_bytes += _BUCKET_OVERHEAD_BYTES
        self.compacted[bucket] = self.compacted.get(bucket, '') + prefix
        self._size_bytes += len(prefix)

    def _compacted_state(self, identity):
        prefix = identity[:_PREFIX_CHARS]
        for bucket, prefixes in self.compacted.items():
            offset = prefixes.find(prefix)
            while offset >= 0 and offset % _PREFIX_CHARS:
                offset = prefixes.find(prefix, offset + 1)
            if offset >= 0:
                return _STATE_BY_MARK[bucket[-1]]
        return None

    def claim(self, identity, record, now):
        """Grant `record` unless the identity is already claimed.

        Returns:
            A `base.Claim`.

        Raises:
            errors.OverloadedError: the document is full.
        """
        stored = self.records.get(identity)
        if stored is None:
            compacted_state = self._compacted_state(identity)
            if compacted_state is not None:
                return base.Claim(
                    identity, record.attempt, compacted_state, record.deadline
                )
            self._check_space(identity, record)
            self._replace(identity, record)
            stored = record
        outcome = None
        if stored.digest != record.digest:
            state = base.State.MISMATCH
        elif stored.status:
            state = base.State.FINISHED
            outcome = stored.outcome()
        elif stored.attempt == record.attempt:
            state = base.State.GRANTED
        elif now <= stored.deadline:
            state = base.State.IN_PROGRESS
        else:
            state = base.State.UNKNOWN
        return base.Claim(
            identity, record.attempt, state, stored.deadline, outcome
        )

    def finish(self, identity, attempt, outcome, body_limit_bytes):
        """Record `outcome` if `attempt` holds the unfinished claim.

        Otherwise, for example if the claim is compacted, it is dropped.
        """
        stored = self.records.get(identity)
        if stored is None or stored.attempt != attempt or stored.status:
            return
        finished = attrs.evolve(stored, status=outcome.status)
        if outcome.body is not None and len(outcome.body) <= body_limit_bytes:
            body = base64.b64encode(outcome.body).decode()
            with_body = attrs.evolve(
                finished, content_type=outcome.content_type, body=body
            )
            growth_bytes = _record_size_bytes(
                identity, with_body
            ) - _record_size_bytes(identity, finished)
            if self._size_bytes + growth_bytes <= self.limit_bytes:
                finished = with_body
        self._replace(identity, finished)

    def release(self, identity, attempt):
        """Remove the claim if `attempt` holds it and it is unfinished."""
        stored = self.records.get(identity)
        if (
            stored is not None
            and stored.attempt == attempt
            and not stored.status
        ):
            self._remove(identity)

    def _check_space(self, identity, record):
        # If a claim fitted but its finish did not, a request that ran would
        # later have an unknown outcome.
        needed = (
            self._size_bytes
            + _record_size_bytes(identity, record)
            + _FINISH_RESERVE_BYTES
        )
        if needed > self.limit_bytes:
            raise errors.OverloadedError(
                'claims shard is full',
                step='claim',
                retry_after_s=self._retry_after_s,
            )

    def _replace(self, identity, record):
        self._remove(identity)
        self.records[identity] = record
        self._size_bytes += (
            _record_size_bytes(identity, record) + _FINISH_RESERVE_BYTES
        )
        self.changed = True

    def _remove(self, identity):
        record = self.records.pop(identity, None)
        if record is not None:
            self._size_bytes -= (
                _record_size_bytes(identity, record) + _FINISH_RESERVE_BYTES
            )
            self.changed = True
