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

#: Tries at one write before its claims are refused; each try after the
#: first follows a conflict or a lost answer.
MAX_WRITE_ATTEMPTS = 8


class Ledger(base.BaseLedger):
    """Claims in `shards` documents of the key-value service.

    Claims of one shard that arrive while it is being written gather for its
    next write, so one compare-and-swap carries all of them.

    Args:
        store: a `kvstore.base.BaseKeyValueStore`.
        prefix: keys of the documents begin with it.
        shards: documents to spread the claims over. The first ledger to run
            writes the count down; later ones keep to what is written.
        retention_s: how long a claim is remembered.
        answer_kept_s: how long a small answer is kept to be replayed; after
            it only that the request ran is known.
        body_limit_bytes: largest answer that is kept.
        shard_limit_bytes: largest document.
        commit_timeout_s: how long a claim may wait to be written.
        finish_delay_s: how long an outcome waits for claims to ride with.
        writes_per_s: most writes a second of this process.
        committers: threads that write.
        outage_pause_s: time without calls after one that failed.
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
        self._cached_entries = {}

    def start(self):
        """Check the parameters and start the committing threads."""
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
        """Write what is pending and end the threads.

        Outcomes that the service does not take at the first try are lost;
        a repeat of such a request is told that its outcome is not known.
        """
        if self._pool is None:
            return
        self._stopping = True
        self._schedule.close()
        self._pool.shutdown()
        self._pool = None

    def claim(self, account, key, request_digest, attempt, now, deadline):
        """Ask to run a request; see `base.BaseLedger.claim`."""
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
        """Record an outcome; see `base.BaseLedger.finish`."""
        op = _batch.FinishOp(claim.identity, claim.attempt, outcome, now)
        self._enqueue_completion(op)

    def release(self, claim, now):
        """Give back a claim; see `base.BaseLedger.release`."""
        op = _batch.ReleaseOp(claim.identity, claim.attempt, now)
        self._enqueue_completion(op)

    def report(self):
        """Return counters for operators."""
        return {
            'cached_shards': len(self._cached_entries),
            'pending': self._schedule.count_pending_claims(),
        }

    def _enqueue_completion(self, op):
        shard = self._shard_of(op.identity, op.now)
        self._schedule.add_completions(shard, [op], self.finish_delay_s)

    def _cancel(self, op):
        # The write may be on its way and grant the claim after the caller
        # was told "not run". Cancelling decides the race: either the grant
        # came first and is used, or whoever writes finds the future
        # cancelled and takes the claim back out of the document.
        if op.fut.cancel():
            raise self._make_error('the claim was not written in time')
        return op.fut.result()

    def _check_outage(self, now):
        # The upper bound keeps a clock that was set back from refusing all
        # claims until it has caught up.
        if 0 < self._outage_until - now <= self.outage_pause_s:
            raise self._make_error('the key-value service is not reached')

    def _make_error(self, message, cause=None):
        # An entry that died may have run an earlier try of the same key. Told
        # "not run", its caller would book again under a new key.
        return errors.RecordUnavailableError(
            f'{message}; nothing was dispatched now',
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
        # Entries that spread the same keys over different counts of shards
        # would each grant the same key. So the count that was written first
        # holds, and a change of the setting alone changes nothing.
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
        raise self._make_error('the layout of the claims was not read')

    def _decode_shard_count(self, value):
        try:
            count = json.loads(value)['shards']
            checks.check_positive(count, 'shards')
            if count != int(count):
                raise ValueError(f'{count} shards')
        except (KeyError, TypeError, ValueError) as exc:
            raise errors.StoreError(
                f'layout of the claims cannot be read: {exc!r}', step='claim'
            ) from exc
        if count != self.shards:
            _LOG.warning(
                'Keeping to {} shards as written, not {}.', count, self.shards
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
                _LOG.exception('Writing {} failed.', shard)
                self._fail(shard, batch, exc)
            finally:
                self._schedule.unlock(shard)

    def _commit(self, shard, batch):
        entry = self._cached_entries.pop(shard, None)
        from_store = False
        for _ in range(MAX_WRITE_ATTEMPTS):
            try:
                batch.drop_cancelled()
                if not batch:
                    return
                if entry is None:
                    entry = self.store.get(shard) or kvstore.Entry(None, 0)
                    from_store = True
                written = self._write(shard, batch, entry)
            except (errors.ConflictError, errors.StoreUnknownError):
                # Another entry wrote, or the answer to our write was lost.
                # Reading back tells: an attempt id found in the document is
                # granted, and one not found is written again. A write still
                # on its way then meets another revision or is found later.
                entry = None
                self._schedule.count_retry()
                continue
            except errors.StoreError as exc:
                self._outage_until = batch.now + self.outage_pause_s
                self._fail(shard, batch, exc)
                return
            if written is None and not from_store:
                # A claim held by another attempt may have been finished or
                # released since the document was kept here.
                entry = None
                continue
            self._cached_entries[shard] = written or entry
            self._complete(shard, batch)
            return
        self._fail(shard, batch, None)

    def _write(self, shard, batch, entry):
        document = _document.Document.decode(
            entry.value, self.shard_limit_bytes
        )
        batch.apply(document, self)
        if not document.changed:
            return None
        value = document.encode()
        for op in batch.claim_ops:
            op.maybe_written = True
        revision = self.store.put(shard, value, entry.revision)
        return kvstore.Entry(value, revision)

    def _complete(self, shard, batch):
        releases = [
            op.make_release() for op in batch.claim_ops if not op.complete()
        ]
        if releases:
            self._schedule.add_completions(shard, releases, 0.0)

    def _fail(self, shard, batch, cause):
        """Refuse the claims; keep what has to be written all the same."""
        _LOG.warning('Shard {} not written: {}.', shard, cause)
        error = self._make_error('the claim could not be written', cause)
        requeued = list(batch.completion_ops)
        for op in batch.claim_ops:
            op.fail(error)
            if op.maybe_written:
                # The write may have taken effect, or may yet: the claim is
                # taken out again, or the caller's repeat would be told that
                # a request is in progress which never ran.
                requeued.append(op.make_release())
        if self._stopping:
            for op in self._schedule.discard_pending():
                op.fail(error)
        elif requeued:
            self._schedule.add_completions(
                shard, requeued, self.outage_pause_s
            )
