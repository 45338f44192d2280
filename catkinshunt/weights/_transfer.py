"""Transfer of one model version to this instance and its peers."""

import queue
import threading
import time

import attrs

from catkinshunt import base as package_base
from catkinshunt import errors
from catkinshunt import logs
from catkinshunt.weights import _store
from catkinshunt.weights import _upload_limiter
from catkinshunt.weights import _view
from catkinshunt.weights import base

#: Maximum number of concurrent pulls from the origin.
MAX_ORIGIN_PULLS = 4
#: A peer that sent a corrupt chunk is avoided this many times longer.
CORRUPT_AVOID_FACTOR = 30
_INITIAL_QUERY_TIMEOUT_S = 2.0
_ORIGIN_RETRY_S = 1.0
_QUERY = object()
_STOP = object()
_log = logs.get_logger('weights')


@attrs.define
class Counters:
    """Counters of one transfer."""

    peer_bytes = attrs.field(default=0)
    pulls = attrs.field(default=0)
    queries = attrs.field(default=0)
    failures = attrs.field(default=0)
    corrupt_chunks = attrs.field(default=0)


class Transfer(package_base.BaseService):
    """Pulls the chunks of one version and makes them available to peers.

    One thread schedules pulls and queries; one thread per peer, and a few for
    the origin, execute them.

    Args:
        manifest: `Manifest` of the version.
        own_name: name of this instance.
        list_members: function that returns the tuple of `Member` that take
            part.
        strategy: a `BaseStrategy`.
        peer_source: `PeerSource`.
        origin_source: `OriginSource`.
        timing: `Timing`.
    """

    def __init__(
        self,
        manifest,
        own_name,
        list_members,
        strategy,
        peer_source,
        origin_source,
        timing,
    ):
        self.manifest = manifest
        self.own_name = own_name
        self.list_members = list_members
        self.strategy = strategy
        self.peer_source = peer_source
        self.origin_source = origin_source
        self.timing = timing
        self.store = _store.ChunkStore(manifest)
        self.upload_limiter = _upload_limiter.UploadLimiter(
            manifest.size_bytes,
            strategy.budget_copies,
            strategy.max_uploads,
            timing.budget_decay_s,
        )
        self.counters = Counters()
        self.changed = threading.Condition()
        self._members = {}
        self._task_queues = {}
        self._queried_at = {}

    def start(self):
        """Start to pull in the background."""
        now = time.monotonic()
        self._view = _view.TransferView(
            self.own_name, self._read_members(), len(self.manifest.chunks), now
        )
        self._members_read_at = now
        threading.Thread(
            target=self._run,
            name=f'transfer-{self.manifest.version}',
            daemon=True,
        ).start()
        return self

    def stop(self):
        """Cancel the transfer, drop all chunks and reject new ones."""
        self.store.cancel()
        with self.changed:
            self.changed.notify_all()

    @property
    def failed(self):
        """Whether the version cannot complete or was superseded."""
        return self.store.cancelled

    def wait_complete(self, timeout_s):
        """Wait until complete or failed; return whether complete."""
        with self.changed:
            self.changed.wait_for(
                lambda: self.store.is_complete or self.failed, timeout_s
            )
        return self.store.is_complete

    def _run(self):
        self._query_neighbours()
        while not (self.store.is_complete or self.failed):
            with self.changed:
                now = time.monotonic()
                self._refresh_members(now)
                self._schedule(now)
                self.changed.wait(self.timing.poll_s)
        for task_queue in self._task_queues.values():
            task_queue.put(_STOP)
        if self.store.is_complete:
            self.upload_limiter.start_budget_decay(time.monotonic())
            _log.info(
                'Version {} of {} is whole.',
                self.manifest.version,
                self.manifest.model,
            )

    def _query_neighbours(self):
        # Peers may have all chunks, for example after a restart of this
        # process; fetching before they have replied would cost origin bytes.
        with self.changed:
            names = self._neighbours(time.monotonic())
            for name in names:
                self._enqueue_query(name, time.monotonic())
            self.changed.wait_for(
                lambda: (
                    self.failed or all(map(self._has_replied_or_failed, names))
                ),
                _INITIAL_QUERY_TIMEOUT_S,
            )

    def _has_replied_or_failed(self, name):
        peer = self._view.peer(name)
        return peer.observed_at > 0 or peer.consecutive_failures > 0

    def _neighbours(self, now):
        return self.strategy.neighbours(self._view, now)

    def _schedule(self, now):
        for name in self._neighbours(now):
            peer = self._view.peer(name)
            age_s = now - max(
                peer.observed_at, self._queried_at.get(name, 0.0)
            )
            idle = self._view.n_pulls < self.strategy.max_pulls
            due_s = self.timing.poll_s if idle else self.timing.refresh_s
            if not peer.pulls and age_s >= due_s:
                self._enqueue_query(name, now)
        while (pull := self.strategy.choose(self._view, now)) is not None:
            self._view.begin(pull)
            self._enqueue(pull.peer, pull)

    def _enqueue_query(self, name, now):
        self._queried_at[name] = now
        self._enqueue(name, _QUERY)

    def _enqueue(self, name, item):
        if name not in self._task_queues:
            self._task_queues[name] = queue.SimpleQueue()
            n_threads = MAX_ORIGIN_PULLS if name == base.ORIGIN else 1
            for _ in range(n_threads):
                threading.Thread(
                    target=self._run_worker,
                    args=(name, self._task_queues[name]),
                    name=f'pull-{name}',
                    daemon=True,
                ).start()
        self._task_queues[name].put(item)

    def _run_worker(self, name, task_queue):
        while (item := task_queue.get()) is not _STOP:
            if item is _QUERY:
                self._execute_query(name)
            else:
                self._execute_pull(item)
        task_queue.put(_STOP)

    def _execute_query(self, name):
        self.counters.queries += 1
        try:
            reply = self.peer_source.fetch_state(
                self._address(name), self.manifest
            )
        except errors.TransferError:
            with self.changed:
                now = time.monotonic()
                self._view.avoid(name, now, self.timing.avoid_s)
                self.changed.notify_all()
        else:
            self._observe(name, reply)

    def _execute_pull(self, pull):
        self.counters.pulls += 1
        try:
            data = self._fetch(pull)
            self.store.put(pull.chunk, data)
        except errors.SourceBusyError as exc:
            wait_s = exc.retry_after_s
            wait_s = self.timing.poll_s if wait_s is None else wait_s
            self._update_view(
                pull, self._view.postpone, time.monotonic() + wait_s
            )
        except errors.CorruptChunkError as exc:
            self.counters.corrupt_chunks += 1
            _log.warning('Rejected a chunk from {}: {}.', pull.peer, exc)
            avoid_s = self.timing.avoid_s * CORRUPT_AVOID_FACTOR
            self._update_view(pull, self._view.fail, time.monotonic(), avoid_s)
        except errors.TransferError as exc:
            self._handle_failed_pull(pull, exc)
        else:
            self._update_view(pull, self._view.finish, time.monotonic())

    def _handle_failed_pull(self, pull, exc):
        if self.failed:
            return
        self.counters.failures += 1
        _log.info('Pull of chunk {} failed: {}.', pull.chunk, exc)
        now = time.monotonic()
        if pull.peer == base.ORIGIN:
            # There is no other origin, so repeated failures must not
            # increase the retry delay.
            self._update_view(pull, self._view.postpone, now + _ORIGIN_RETRY_S)
        else:
            self._update_view(pull, self._view.fail, now, self.timing.avoid_s)

    def _update_view(self, pull, update, *args):
        with self.changed:
            update(pull, *args)
            self.changed.notify_all()

    def _fetch(self, pull):
        if pull.peer == base.ORIGIN:
            return self.origin_source.fetch(
                self.manifest, pull.chunk, self.timing.chunk_timeout_s
            )
        reply = self.peer_source.fetch(
            self._address(pull.peer),
            self.manifest,
            pull.chunk,
            self.timing.chunk_timeout_s,
        )
        self._observe(pull.peer, reply)
        if reply.data is None:
            raise errors.SourceBusyError(
                'no free upload slot, or chunk not present', step='pull'
            )
        self.counters.peer_bytes += len(reply.data)
        return reply.data

    def _observe(self, name, reply):
        all_chunks = (1 << len(self.manifest.chunks)) - 1
        with self.changed:
            self._view.observe(
                name,
                reply.bitmap & all_chunks,
                reply.uploaded_copies,
                time.monotonic(),
            )
            self.changed.notify_all()

    def _address(self, name):
        member = self._members.get(name)
        if member is None or member.address is None:
            raise errors.TransferError('peer is not a member', peer=name)
        return member.address

    def _read_members(self):
        members = {one.name: one for one in self.list_members()}
        members.setdefault(self.own_name, _view.Member(self.own_name))
        self._members = members
        return tuple(members.values())

    def _refresh_members(self, now):
        if now - self._members_read_at < self.timing.refresh_s:
            return
        self._members_read_at = now
        before = set(self._members)
        members = self._read_members()
        if set(self._members) != before:
            self._view.set_members(members)
