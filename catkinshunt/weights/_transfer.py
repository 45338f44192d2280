"""Brings one version of one model to this instance, and on to peers."""

import queue
import threading
import time

import attrs

from catkinshunt import base as package_base
from catkinshunt import errors
from catkinshunt import logs
from catkinshunt.weights import _upload_limiter
from catkinshunt.weights import _store
from catkinshunt.weights import _view
from catkinshunt.weights import base

#: Draws from the origin that this instance has under way at most.
ORIGIN_TASKS = 4
#: A peer that sent a wrong chunk is left alone this many times longer.
CORRUPT_FACTOR = 30
_GREETING_S = 2.0
_STORE_RETRY_S = 1.0
_ASK = object()
_END = object()
_log = logs.get_logger('weights')


@attrs.define
class Counters:
    """What a transfer moved and met."""

    peer_bytes = attrs.field(default=0)
    pulls = attrs.field(default=0)
    asks = attrs.field(default=0)
    failures = attrs.field(default=0)
    corrupt_chunks = attrs.field(default=0)


class Transfer(package_base.BaseService):
    """One version on its way; also serves it once whole.

    One thread decides; one more for each peer, and a few for the origin,
    carry out what was decided.

    Args:
        manifest: `Manifest` of the version.
        me: name of this instance.
        list_members: function that returns the `Member` tuple wanting it.
        strategy: a `BaseStrategy`.
        peer_source: `PeerSource`.
        origin_source: `OriginSource`.
        timing: `Timing`.
    """

    def __init__(
        self,
        manifest,
        me,
        list_members,
        strategy,
        peer_source,
        origin_source,
        timing,
    ):
        self.manifest = manifest
        self.me = me
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
        self._tasks = {}
        self._asked_at = {}

    def start(self):
        """Begin to pull in the background."""
        now = time.monotonic()
        self._view = _view.TransferView(
            self.me, self._list(), len(self.manifest.chunks), now
        )
        self._listed_at = now
        threading.Thread(
            target=self._run,
            name=f'transfer-{self.manifest.version}',
            daemon=True,
        ).start()
        return self

    def stop(self):
        """Cancel: drop all chunks, take and serve none any more."""
        self.store.cancel()
        with self.changed:
            self.changed.notify_all()

    @property
    def failed(self):
        """Whether the version can never be whole, or was superseded."""
        return self.store.cancelled

    def wait_complete(self, timeout_s):
        """Wait until the version is whole, or has failed; returns whole."""
        with self.changed:
            self.changed.wait_for(
                lambda: self.store.is_complete or self.failed, timeout_s
            )
        return self.store.is_complete

    def _run(self):
        self._greet()
        while not (self.store.is_complete or self.failed):
            with self.changed:
                now = time.monotonic()
                self._relist(now)
                self._hand_out(now)
                self.changed.wait(self.timing.poll_s)
        for task in self._tasks.values():
            task.put(_END)
        if self.store.is_complete:
            self.upload_limiter.start_budget_decay(time.monotonic())
            _log.info(
                'Version {} of {} is whole.',
                self.manifest.version,
                self.manifest.model,
            )

    def _greet(self):
        # Peers may hold everything already, as after a restart of this
        # process; drawing before they were asked would cost origin bytes.
        with self.changed:
            names = self._neighbours(time.monotonic())
            for name in names:
                self._ask(name, time.monotonic())
            self.changed.wait_for(
                lambda: self.failed or all(map(self._known, names)),
                _GREETING_S,
            )

    def _known(self, name):
        peer = self._view.peer(name)
        return peer.observed_at > 0 or peer.consecutive_failures > 0

    def _neighbours(self, now):
        return self.strategy.neighbours(self._view, now)

    def _hand_out(self, now):
        for name in self._neighbours(now):
            peer = self._view.peer(name)
            age_s = now - max(peer.observed_at, self._asked_at.get(name, 0.0))
            idle = self._view.n_pulls < self.strategy.max_pulls
            due_s = self.timing.poll_s if idle else self.timing.refresh_s
            if not peer.pulls and age_s >= due_s:
                self._ask(name, now)
        while (pull := self.strategy.choose(self._view, now)) is not None:
            self._view.begin(pull)
            self._put(pull.peer, pull)

    def _ask(self, name, now):
        self._asked_at[name] = now
        self._put(name, _ASK)

    def _put(self, name, item):
        if name not in self._tasks:
            self._tasks[name] = queue.SimpleQueue()
            n_threads = ORIGIN_TASKS if name == base.ORIGIN else 1
            for _ in range(n_threads):
                threading.Thread(
                    target=self._serve_task,
                    args=(name, self._tasks[name]),
                    name=f'pull-{name}',
                    daemon=True,
                ).start()
        self._tasks[name].put(item)

    def _serve_task(self, name, task):
        while (item := task.get()) is not _END:
            if item is _ASK:
                self._carry_out_ask(name)
            else:
                self._carry_out(item)
        task.put(_END)

    def _carry_out_ask(self, name):
        self.counters.asks += 1
        try:
            reply = self.peer_source.ask(self._address(name), self.manifest)
        except errors.TransferError:
            with self.changed:
                now = time.monotonic()
                self._view.avoid(name, now, self.timing.avoid_s)
                self.changed.notify_all()
        else:
            self._observe(name, reply)

    def _carry_out(self, pull):
        self.counters.pulls += 1
        try:
            data = self._fetch(pull)
            self.store.offer(pull.chunk, data)
        except errors.SourceBusyError as exc:
            wait_s = exc.retry_after_s
            wait_s = self.timing.poll_s if wait_s is None else wait_s
            self._end(pull, self._view.postpone, time.monotonic() + wait_s)
        except errors.CorruptChunkError as exc:
            self.counters.corrupt_chunks += 1
            _log.warning('Chunk of {} refused: {}', pull.peer, exc)
            avoid_s = self.timing.avoid_s * CORRUPT_FACTOR
            self._end(pull, self._view.fail, time.monotonic(), avoid_s)
        except errors.TransferError as exc:
            self._fail(pull, exc)
        else:
            self._end(pull, self._view.finish, time.monotonic())

    def _fail(self, pull, exc):
        if self.failed:
            return
        self.counters.failures += 1
        _log.info('Pull of chunk {} failed: {}', pull.chunk, exc)
        now = time.monotonic()
        if pull.peer == base.ORIGIN:
            # There is no other origin to turn to, so its absence must not
            # lengthen the wait from one try to the next.
            self._end(pull, self._view.postpone, now + _STORE_RETRY_S)
        else:
            self._end(pull, self._view.fail, now, self.timing.avoid_s)

    def _end(self, pull, note, *args):
        with self.changed:
            note(pull, *args)
            self.changed.notify_all()

    def _fetch(self, pull):
        if pull.peer == base.ORIGIN:
            return self.origin_source.fetch(
                self.manifest, pull.chunk, self.timing.chunk_s
            )
        reply = self.peer_source.fetch(
            self._address(pull.peer),
            self.manifest,
            pull.chunk,
            self.timing.chunk_s,
        )
        self._observe(pull.peer, reply)
        if reply.data is None:
            raise errors.SourceBusyError('no place or no chunk', step='pull')
        self.counters.peer_bytes += len(reply.data)
        return reply.data

    def _observe(self, name, reply):
        everything = (1 << len(self.manifest.chunks)) - 1
        with self.changed:
            self._view.observe(
                name,
                reply.bitmap & everything,
                reply.uploaded_copies,
                time.monotonic(),
            )
            self.changed.notify_all()

    def _address(self, name):
        member = self._members.get(name)
        if member is None or member.address is None:
            raise errors.TransferError('has left the list', peer=name)
        return member.address

    def _list(self):
        members = {one.name: one for one in self.list_members()}
        members.setdefault(self.me, _view.Member(self.me))
        self._members = members
        return tuple(members.values())

    def _relist(self, now):
        if now - self._listed_at < self.timing.refresh_s:
            return
        self._listed_at = now
        before = set(self._members)
        members = self._list()
        if set(self._members) != before:
            self._view.set_members(members)
