"""Keeps the wanted version of a model present and whole here."""

import threading
import time

import attrs

from catkinshunt import base
from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt import logs
from catkinshunt.weights import _link_pacer
from catkinshunt.weights import _manifest
from catkinshunt.weights import _rendezvous
from catkinshunt.weights import _sources
from catkinshunt.weights import _swarm
from catkinshunt.weights import _timing
from catkinshunt.weights import _transfer

RETRY_S = 0.5
#: Instances that read the manifest from the origin; the others ask them.
MANIFEST_READERS = 3
_MANIFEST_FANOUT = 8
_MANIFEST_TRIES = 4
_LEAN_TO_TIME = 0.5
_log = logs.get_logger('weights')


@attrs.frozen
class TargetVersion:
    """A version that an instance is to hold.

    Args:
        model: name of the model.
        version: version of its weights.
        lean: 0 leans towards origin bytes, 1 towards time to N.
    """

    model = attrs.field()
    version = attrs.field()
    lean = attrs.field(default=0.0)

    @property
    def key(self):
        """What two wishes for the same weights have in common."""
        return self.model, self.version


@attrs.frozen
class TransferReport:
    """State of the present transfer; sizes in bytes."""

    model = attrs.field()
    version = attrs.field()
    n_chunks = attrs.field()
    n_held = attrs.field()
    whole = attrs.field()
    peer_bytes = attrs.field()
    store_bytes = attrs.field()
    origin_bytes = attrs.field()
    sent_bytes = attrs.field()
    corrupt_chunks = attrs.field()
    failures = attrs.field()


class TransferAgent(base.BaseService):
    """Fetches the wanted version and serves it to peers.

    Args:
        me: name of this instance.
        key: the deployment's key.
        list_members: function of a `TargetVersion` that returns the `Member` tuple.
        origin: `httpio.Address` of the origin.
        weight_store: `httpio.Address` of the weight store, or None.
        link_bytes_per_s: rate of this instance's link, each direction.
        read_timeout_s: longest silence on a connection.
        random_state: seed or generator for ties.
    """

    def __init__(
        self,
        me,
        key,
        list_members,
        origin,
        weight_store=None,
        link_bytes_per_s=1.25e9,
        read_timeout_s=3.0,
        random_state=None,
    ):
        self.me = me
        self.key = key
        self.list_members = list_members
        self.origin = origin
        self.weight_store = weight_store
        self.link_bytes_per_s = link_bytes_per_s
        self.read_timeout_s = read_timeout_s
        self.random_state = random_state
        self.upload_pacer = _link_pacer.LinkPacer(link_bytes_per_s)
        self.download_pacer = _link_pacer.LinkPacer(link_bytes_per_s)
        self._pool = httpio.ConnectionPool(read_timeout_s)
        self._peers = _sources.PeerSource(key, self._pool, self.download_pacer)
        self._changed = threading.Condition()
        self._wanted = None
        self._transfer = None
        self._stopped = False

    def __repr__(self):
        # The key must not reach a log through repr.
        return f'TransferAgent(me={self.me!r}, origin={self.origin!r})'

    def start(self):
        """Act on offers in the background."""
        threading.Thread(
            target=self._run, name='transfer-agent', daemon=True
        ).start()
        return self

    def stop(self):
        """End the transfer and drop what is held."""
        with self._changed:
            self._stopped = True
            self._cancel()
            self._changed.notify_all()
        self._pool.close()

    def offer(self, wanted):
        """Make `wanted` the version to hold; None holds nothing.

        The transfer of another version is cancelled at once.
        """
        with self._changed:
            if self._key(self._wanted) != self._key(wanted):
                self._cancel()
            self._wanted = wanted
            self._changed.notify_all()

    def transfer(self, model, version):
        """Return the `Transfer` of exactly this version, or None."""
        transfer = self._transfer
        if transfer is None or transfer.failed:
            return None
        manifest = transfer.manifest
        if (manifest.model, manifest.version) != (model, version):
            return None
        return transfer

    def wait_complete(self, wanted, timeout_s):
        """Return the whole `Transfer` of `wanted`, or None after a while."""
        deadline = time.monotonic() + timeout_s
        with self._changed:
            self._changed.wait_for(
                lambda: self.transfer(*wanted.key) is not None, timeout_s
            )
        transfer = self.transfer(*wanted.key)
        if transfer is None:
            return None
        left_s = max(0.0, deadline - time.monotonic())
        return transfer if transfer.wait_complete(left_s) else None

    def report(self, now):
        """Return the `TransferReport` of the present transfer, or None."""
        transfer = self._transfer
        if transfer is None:
            return None
        return TransferReport(
            model=transfer.manifest.model,
            version=transfer.manifest.version,
            n_chunks=len(transfer.manifest.chunks),
            n_held=transfer.store.bitmap.bit_count(),
            whole=transfer.store.whole,
            peer_bytes=transfer.counters.peer_bytes,
            store_bytes=transfer.origin_source.store_bytes,
            origin_bytes=transfer.origin_source.origin_bytes,
            sent_bytes=transfer.upload_limiter.sent_bytes,
            corrupt_chunks=transfer.counters.corrupt_chunks,
            failures=transfer.counters.failures,
        )

    def _run(self):
        while True:
            with self._changed:
                self._changed.wait_for(self._has_work)
                if self._stopped:
                    return
                wanted = self._wanted
            try:
                self._begin(wanted)
            except Exception as exc:
                # If the thread ended here, no later version would ever be
                # fetched, and nothing would say so.
                _log.error('Transfer did not begin: {!r}', exc)
                with self._changed:
                    self._changed.wait(RETRY_S)

    def _has_work(self):
        if self._stopped:
            return True
        return self._wanted is not None and self._transfer is None

    def _cancel(self):
        transfer, self._transfer = self._transfer, None
        if transfer is not None:
            transfer.stop()
            _log.info('Version {} is dropped.', transfer.manifest.version)

    def _begin(self, wanted):
        source = self._origin_source(wanted)
        manifest = self._find_manifest(wanted, source)
        with self._changed:
            if self._stopped or self._key(self._wanted) != wanted.key:
                return
            if manifest is None:
                self._changed.wait(RETRY_S)
                return
            self._transfer = self._make(wanted, manifest, source).start()
            self._changed.notify_all()

    def _make(self, wanted, manifest, source):
        timing = _timing.Timing.of(manifest, self.link_bytes_per_s)
        strategy = _swarm.SwarmStrategy(
            lean=wanted.lean,
            origin_copy_s=timing.link_s / _timing.ORIGIN_LINK_RATIO,
            takeover_s=timing.takeover_s,
            random_state=self.random_state,
        )
        return _transfer.Transfer(
            manifest,
            self.me,
            lambda: self.list_members(wanted),
            strategy,
            self._peers,
            source,
            timing,
        )

    def _origin_source(self, wanted):
        return _sources.OriginSource(
            self.origin,
            self._pool,
            self.download_pacer,
            self.weight_store,
            wait_for_store=wanted.lean < _LEAN_TO_TIME,
        )

    def _find_manifest(self, wanted, source):
        """Return the manifest from a peer or the origin, or None."""
        try:
            raw = self._ask_peers(wanted)
            if raw is None:
                raw = source.fetch_manifest(*wanted.key)
            manifest = _manifest.Manifest.loads(raw)
        except errors.TransferError as exc:
            _log.warning('No manifest of {}: {}', wanted.version, exc)
            return None
        if (manifest.model, manifest.version) != wanted.key:
            _log.warning('Manifest names another version than wanted.')
            return None
        return manifest

    def _ask_peers(self, wanted):
        # At 1,900 instances the manifest alone would draw as much from the
        # origin as many chunks, so it comes down a tree of instances.
        members = {one.name: one for one in self.list_members(wanted)}
        names = set(members) | {self.me}
        order = _rendezvous.rank(f'manifest-{wanted.version}', sorted(names))
        place = order.index(self.me)
        if place < MANIFEST_READERS:
            return None
        parents = [(place - MANIFEST_READERS) // _MANIFEST_FANOUT]
        parents += range(MANIFEST_READERS)
        for _ in range(_MANIFEST_TRIES):
            for parent in parents:
                raw = self._ask_peer(members[order[parent]], wanted)
                if raw is not None:
                    return raw
            with self._changed:
                self._changed.wait(RETRY_S)
                if self._key(self._wanted) != wanted.key:
                    return None
        return None

    def _ask_peer(self, member, wanted):
        try:
            return self._peers.fetch_manifest(member.address, *wanted.key)
        except errors.TransferError:
            return None

    def _key(self, wanted):
        return None if wanted is None else wanted.key
