"""One shard of the claims as it is kept in the key-value service."""

import base64
import hashlib
import json

import attrs

from catkinshunt.claims import base
from catkinshunt import errors

VERSION = 1
_IDENTITY_BYTES = 15
#: Room left for each unfinished claim, so that its finish always fits.
_FINISH_BYTES = 64
#: Of an identity, as much as is kept of an old claim; 72 bits.
_FRONT = 12
_HOUR_S = 3600
_BUCKET_BYTES = 20
_EMPTY_BYTES = 64
_RAN = 'r'
_UNKNOWN = 'u'
_STATE_OF_MARK = {_RAN: base.State.FINISHED, _UNKNOWN: base.State.UNKNOWN}


def identity_of(account, key):
    """Return the digest under which `account`'s `key` is recorded.

    The length goes in front, so that no two pairs give the same text.

    Examples:
        >>> identity_of('a', 'bc') == identity_of('ab', 'c')
        False
    """
    text = f'{len(account)}:{account}:{key}'.encode()
    return _short_digest(text)


def compute_request_digest(method, path, body):
    """Return the digest that tells a repeat from another request.

    Examples:
        >>> compute_request_digest('POST', '/', b'1') == compute_request_digest('POST', '/', b'2')
        False
    """
    head = f'{method} {path}\n'.encode()
    return _short_digest(head + body)


def _short_digest(data):
    digest = hashlib.sha256(data).digest()[:_IDENTITY_BYTES]
    return base64.urlsafe_b64encode(digest).decode()


@attrs.define
class Record:
    """One claim as it is kept.

    Attributes:
        attempt: the attempt that was granted.
        digest: digest of the request.
        claimed_at: seconds since the epoch.
        deadline: seconds since the epoch.
        status: HTTP status once finished, else 0.
        content_type: media type of the kept body.
        body: base64 of the kept body, or None.
    """

    attempt: str
    digest: str
    claimed_at: float
    deadline: float
    status: int = 0
    content_type: str = ''
    body: str | None = None

    def to_json(self):
        """Return the shortest list that `from_json` reads back."""
        row = [self.attempt, self.digest, self.claimed_at, self.deadline]
        if self.status:
            row.append(self.status)
        if self.body is not None:
            row += [self.content_type, self.body]
        return row

    @classmethod
    def from_json(cls, row):
        """Read a record; raises TypeError or ValueError if it is wrong."""
        record = cls(*row)
        texts = (record.attempt, record.digest, record.content_type)
        if not all(isinstance(text, str) for text in texts):
            raise ValueError('text expected')
        times = (record.claimed_at, record.deadline)
        if not all(type(value) in (int, float) for value in times):
            raise ValueError('number expected')
        if type(record.status) is not int:
            raise ValueError('status must be a whole number')
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
    """Return the bucket of an old claim: its hour and whether it ran."""
    hour = int(record.claimed_at // _HOUR_S)
    return f'{hour}{_RAN if record.status else _UNKNOWN}'


def _bucket_end(bucket):
    return (int(bucket[:-1]) + 1) * _HOUR_S


def _check_bucket(bucket, fronts):
    _bucket_end(bucket)
    if bucket[-1] not in _STATE_OF_MARK or len(fronts) % _FRONT:
        raise ValueError(f'wrong bucket {bucket!r}')


def _size(identity, record):
    row = json.dumps(record.to_json(), separators=(',', ':'))
    return len(identity) + len(row) + 4


class Document:
    """The claims of one shard, with the operations upon them.

    Claims past their deadline and the time that answers are kept shrink to
    the front of their identity, joined to one text for each hour. At 12
    bytes a claim, hours of them are rewritten with each write at little
    cost, while whole records would soon fill the document.

    Args:
        records: `Record` by identity.
        old: joined fronts of identities by bucket; see `_bucket_of`.
        limit_bytes: largest encoded size.
    """

    def __init__(self, records, old, limit_bytes):
        self.records = records
        self.old = old
        self.limit_bytes = limit_bytes
        self.changed = False
        self._wait_s = 1.0
        self._size = _EMPTY_BYTES + sum(
            _size(*item) + _FINISH_BYTES for item in records.items()
        )
        self._size += sum(
            len(fronts) + _BUCKET_BYTES for fronts in old.values()
        )

    @classmethod
    def decode(cls, value, limit_bytes):
        """Read the stored bytes; None stands for a shard not yet written.

        Raises:
            errors.StoreError: the value is not such a document. It is left
                as it is: taking it for empty would forget all its claims
                and let each of them run again.
        """
        if value is None:
            return cls({}, {}, limit_bytes)
        try:
            data = json.loads(value)
            if data['version'] != VERSION:
                raise ValueError(f'version {data["version"]!r}')
            records = {
                identity: Record.from_json(row)
                for identity, row in data['claims'].items()
            }
            old = dict(data['old'])
            for bucket, fronts in old.items():
                _check_bucket(bucket, fronts)
        except (
            AttributeError,
            KeyError,
            RecursionError,
            TypeError,
            ValueError,
        ) as exc:
            raise errors.StoreError(
                f'claims document cannot be read: {exc!r}', step='claims'
            ) from exc
        return cls(records, old, limit_bytes)

    def encode(self):
        """Return the bytes to store."""
        rows = {key: record.to_json() for key, record in self.records.items()}
        data = {'version': VERSION, 'claims': rows, 'old': self.old}
        return json.dumps(data, separators=(',', ':')).encode()

    def trim(self, now, retention_s, answer_kept_s):
        """Shrink claims that are old enough, drop those that are older."""
        self._wait_s = answer_kept_s
        for bucket in list(self.old):
            if now - _bucket_end(bucket) > retention_s:
                self._size -= len(self.old.pop(bucket)) + _BUCKET_BYTES
                self.changed = True
        for identity, record in list(self.records.items()):
            age_s = now - record.claimed_at
            if age_s > answer_kept_s and now > record.deadline:
                self._remove(identity)
                self._add_old(_bucket_of(record), identity[:_FRONT])

    def _add_old(self, bucket, front):
        if bucket not in self.old:
            self._size += _BUCKET_BYTES
        self.old[bucket] = self.old.get(bucket, '') + front
        self._size += len(front)

    def _old_state(self, identity):
        front = identity[:_FRONT]
        for bucket, fronts in self.old.items():
            at = fronts.find(front)
            while at >= 0 and at % _FRONT:
                at = fronts.find(front, at + 1)
            if at >= 0:
                return _STATE_OF_MARK[bucket[-1]]
        return None

    def claim(self, identity, record, now):
        """Grant `record` unless the identity is taken.

        Returns:
            A `base.Claim`.

        Raises:
            errors.OverloadedError: the document has no room.
        """
        held = self.records.get(identity)
        if held is None:
            old_state = self._old_state(identity)
            if old_state is not None:
                return base.Claim(
                    identity, record.attempt, old_state, record.deadline
                )
            self._check_room(identity, record)
            self._replace(identity, record)
            held = record
        outcome = None
        if held.digest != record.digest:
            state = base.State.MISMATCH
        elif held.status:
            state = base.State.FINISHED
            outcome = held.outcome()
        elif held.attempt == record.attempt:
            state = base.State.GRANTED
        elif now <= held.deadline:
            state = base.State.IN_PROGRESS
        else:
            state = base.State.UNKNOWN
        return base.Claim(
            identity, record.attempt, state, held.deadline, outcome
        )

    def finish(self, identity, attempt, outcome, body_limit_bytes):
        """Record `outcome` if `attempt` still holds the claim."""
        held = self.records.get(identity)
        if held is None or held.attempt != attempt or held.status:
            return
        done = attrs.evolve(held, status=outcome.status)
        if outcome.body is not None and len(outcome.body) <= body_limit_bytes:
            body = base64.b64encode(outcome.body).decode()
            kept = attrs.evolve(
                done, content_type=outcome.content_type, body=body
            )
            grown = _size(identity, kept) - _size(identity, done)
            if self._size + grown <= self.limit_bytes:
                done = kept
        self._replace(identity, done)

    def release(self, identity, attempt):
        """Remove the claim if `attempt` holds it and it did not finish."""
        held = self.records.get(identity)
        if held is not None and held.attempt == attempt and not held.status:
            self._remove(identity)

    def _check_room(self, identity, record):
        # A claim that fits while its finish does not would leave a request
        # that ran looking as if it might not have.
        needed = self._size + _size(identity, record) + _FINISH_BYTES
        if needed > self.limit_bytes:
            raise errors.OverloadedError(
                'no room for another claim',
                step='claim',
                retry_after_s=self._wait_s,
            )

    def _replace(self, identity, record):
        self._remove(identity)
        self.records[identity] = record
        self._size += _size(identity, record) + _FINISH_BYTES
        self.changed = True

    def _remove(self, identity):
        record = self.records.pop(identity, None)
        if record is not None:
            self._size -= _size(identity, record) + _FINISH_BYTES
            self.changed = True
