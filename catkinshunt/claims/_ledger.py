"""At-most-once records in sharded documents with group commit."""

from concurrent import futures
import json
import threading
import zlib

from catkinshunt import checks
from catkinshunt.claims import _batch
from catkinshunt.claims import _document
from catkinshunt.claims import _schedule
from catkinshunt.claims import base
from catkinshunt import errors
from catkinshunt.kvstore import base as kvstore
from catkinshunt import logs

_LOG = logs.get_logger('claims')

#: Attempts at one write before its claims are rejected; each attempt after
#: the first follows a conflict or a lost response.
MAX_WRITE_ATTEMPTS = 8


class Ledger(base.BaseLedger):
    """Claims in `shards` documents of the key-value service.

    Claims that arrive while their shard is being written are batched, so
    that the next compare-and-swap writes all of them.

    Args:
        store: a `kvstore.base.BaseKeyValueStore`.
        prefix: prefix of the keys of the documents.
        shards: number of documents. The first ledger stores the number;
            later ones use the stored number.
        retention_s: minimum time for which a claim is stored, seconds; a
            compacted claim is stored up to one hour longer.
        answer_kept_s: time for which a small response is stored for
            replay, seconds; afterwards the claim is compacted to its state
            once its deadline has passed. Also the retry time when a
            document is full.
        body_limit_bytes: maximum size of a stored response body.
        shard_limit_bytes: maximum size of a document.
        commit_timeout_s: maximum time that a claim waits to be written.
        finish_delay_s: maximum time that an outcome waits to share a write
            with claims.
        writes_per_s: maximum number of writes per second of this process.
        committers: number of threads that write.
        outage_pause_s: time without calls to the store after a failed one.
    """

    def __init__(
        self,
        store,
        prefix='claims',
        shards=32,
        retention_s=6 * 3600.0,
        answer_kept_s=600.0,
        body_limit_bytes=1024,
        shard_limit_bytes=256 * 1024,
        commit_timeout_s=2.0,
        finish_delay_s=1.0,
        writes_per_s=100,
        committers=4,
        outage_pause_s=0.5,
    ):
        self.store = store
        self.prefix = prefix
        self.shards = shards
        self.retention_s = retention_s
        self.answer_kept_s = answer_kept_s
        self.body_limit_bytes = body_limit_bytes
        self.shard_limit_bytes = shard_limit_bytes
        self.commit_timeout_s = commit_timeout_s
        self.finish_delay_s = finish_delay_s
        self.writes_per_s = writes_per_s
        self.committers = committers
        self.outage_pause_s = outage_pause_s
        self._lock = threading.Lock()
        self._schedule = None
        self._pool = None
        self._shard_count = None
        self._outage_until = 0.0
        self._stopping = False
        self._cached_documents = {}

    def start(self):
        """Check the parameters and start the committer threads."""
        for name in ('shards', 'writes_per_s', 'committers'):
            checks.check_positive(getattr(self, name), name)
        for name in ('retention_s', 'commit_timeout_s', 'outage_pause_s'):
            checks.check_positive(getattr(self, name), name)
        self._schedule = _schedule.Schedule(self.writes_per_s)
        self._pool = futures.ThreadPoolExecutor(
            self.committers, thread_name_prefix='claims'
        )
        for _ in range(self.committers):
            self._pool.submit(self._run_committer)
        return self

    def stop(self):
        """Write pending operations and stop the threads.

        Outcomes whose first write fails are lost; a retry of such a request
        gets the state `UNKNOWN`.
        """
        if self._pool is None:
            return
        self._stopping = True
        self._schedule.close()
        self._pool.shutdown()
        self._pool = None

    def claim(self, account, key, request_digest, attempt, now, deadline):
        """See `base.BaseLedger.claim`."""
        self._check_outage(now)
        if self._stopping:
            raise errors.LeavingError('this entry is stopping', step='claim')
        identity = _document.compute_identity(account, key)
        record = _document.Record(attempt, request_digest, now, deadline)
        op = _batch.ClaimOp(identity, record, now)
        self._schedule.add_claim(self._shard_of(identity, now), op)
        try:
            return op.fut.result(min(self.commit_timeout_s, deadline - now))
        except futures.TimeoutError:
            return self._cancel(op)

    def finish(self, claim, outcome, now):
        """See `base.BaseLedger.finish`."""
        op = _batch.FinishOp(claim.identity, claim.attempt, outcome, now)
        self._enqueue_completion(op)

    def release(self, claim, now):
        """See `base.BaseLedger.release`."""
        op = _batch.ReleaseOp(claim.identity, claim.attempt, now)
        self._enqueue_completion(op)

    def report(self):
        """Return counters for operators."""
        return {
            'cached_shards': len(self._cached_documents),
            'pending': self._schedule.count_pending_claims(),
        }

    def _enqueue_completion(self, op):
        shard = self._shard_of(op.identity, op.now)
        self._schedule.add_completions(shard, [op], self.finish_delay_s)

    def _cancel(self, op):
        # A write in flight may grant the claim after the client got an
        # error. Cancelling the future decides the race: either the grant
        # came first and is used, or the committer sees the cancelled future
        # and releases the claim.
        if op.fut.cancel():
            raise self._make_error('the claim was not written in time')
        return op.fut.result()

    def _check_outage(self, now):
        # Without the upper bound a clock that is set back would cause all
        # claims to be rejected until it has caught up.
        if 0 < self._outage_until - now <= self.outage_pause_s:
            raise self._make_error('the key-value service is unreachable')

    def _make_error(self, message, cause=None):
        # A crashed entry may have executed an earlier attempt with the same
        # key. If the error said "not run", the client would repeat the
        # request under a new key and it would be executed twice.
        return errors.RecordUnavailableError(
            f'{message}; this attempt was not dispatched',
            step='claim',
            peer=getattr(cause, 'peer', ''),
            retry_after_s=self.outage_pause_s,
        )

    def _shard_of(self, identity, now):
        with self._lock:
            if self._shard_count is None:
                self._check_outage(now)
                self._shard_count = self._read_shard_count(now)
        number = zlib.crc32(identity.encode()) % self._shard_count
        return f'{self.prefix}/{number}'

    def _read_shard_count(self, now):
        # Entries with different shard counts would look up a key in
        # different documents and each grant it. The count stored first is
        # therefore used, whatever the setting.
        try:
            for _ in range(MAX_WRITE_ATTEMPTS):
                entry = self.store.get(f'{self.prefix}/layout')
                if entry is not None:
                    return self._decode_shard_count(entry.value)
                value = json.dumps({'shards': self.shards}).encode()
                try:
                    self.store.put(
                        f'{self.prefix}/layout', value, kvstore.ABSENT
                    )
                except (errors.ConflictError, errors.StoreUnknownError):
                    continue
                return self.shards
        except errors.StoreError as exc:
            self._outage_until = now + self.outage_pause_s
            raise self._make_error(str(exc), exc) from exc
        raise self._make_error('the shard count could not be read')

    def _decode_shard_count(self, value):
        try:
            count = json.loads(value)['shards']
            checks.check_positive(count, 'shards')
            if count != int(count):
                raise ValueError(f'{count} shards')
        except (KeyError, TypeError, ValueError) as exc:
            raise errors.StoreError(
                f'shard count of the claims cannot be decoded: {exc!r}',
                step='claim',
            ) from exc
        if count != self.shards:
            _LOG.warning(
                'Using the stored count of {} shards, not the configured {}.',
                count,
                self.shards,
            )
        return count

    def _run_committer(self):
        while True:
            item = self._schedule.take_batch()
            if item is None:
                return
            shard, batch = item
            try:
                self._commit(shard, batch)
            except Exception as exc:
                _LOG.exception('Write of shard {} failed.', shard)
                self._fail(shard, batch, exc)
            finally:
                self._schedule.end_write(shard)

    def _commit(self, shard, batch):
        stored = self._cached_documents.pop(shard, None)
        from_store = False
        for _ in range(MAX_WRITE_ATTEMPTS):
            try:
                batch.drop_cancelled()
                if not batch:
                    return
                if stored is None:
                    stored = self.store.get(shard) or kvstore.Entry(None, 0)
                    from_store = True
                written = self._write(shard, batch, stored)
            except (errors.ConflictError, errors.StoreUnknownError):
                # Another process wrote, or the response was lost. The document
                # is read again: attempts in it are granted, the others are
                # written again. An earlier write still in flight then fails
                # by its revision or is found at the next read.
                stored = None
                self._schedule.count_retry()
                continue
            except errors.StoreError as exc:
                self._outage_until = batch.now + self.outage_pause_s
                self._fail(shard, batch, exc)
                return
            if written is None and not from_store:
                # A claim held by another attempt may have been finished or
                # released since the document was cached.
                stored = None
                continue
            self._cached_documents[shard] = written or stored
            self._resolve_claims(shard, batch)
            return
        self._fail(shard, batch, None)

    def _write(self, shard, batch, stored):
        document = _document.Document.decode(
            stored.value, self.shard_limit_bytes
        )
        batch.apply(document, self)
        if not document.changed:
            return None
        value = document.encode()
        for op in batch.claim_ops:
            op.maybe_written = True
        revision = self.store.put(shard, value, stored.revision)
        return kvstore.Entry(value, revision)

    def _resolve_claims(self, shard, batch):
        releases = [
            op.make_release() for op in batch.claim_ops if not op.resolve()
        ]
        if releases:
            self._schedule.add_completions(shard, releases, 0.0)

    def _fail(self, shard, batch, cause):
        """Fail the claims; requeue the operations that must be written.

        While stopping, all pending operations are discarded instead.

        Args:
            shard: key of the document.
            batch: `Batch` that was not written.
            cause: error of the store or of the committer; None if the write
                failed `MAX_WRITE_ATTEMPTS` times.
        """
        _LOG.warning('Shard {} could not be written: {}.', shard, cause)
        error = self._make_error('the claim could not be written', cause)
        requeued = list(batch.completion_ops)
        for op in batch.claim_ops:
            op.fail(error)
            if op.maybe_written:
                # The write may have taken effect or may still do so. Without
                # the release a retry would get the state `IN_PROGRESS` of a
                # request that was never executed.
                requeued.append(op.make_release())
        if self._stopping:
            for op in self._schedule.discard_pending():
                op.fail(error)
        elif requeued:
            self._schedule.add_completions(
                shard, requeued, self.outage_pause_s
            )
