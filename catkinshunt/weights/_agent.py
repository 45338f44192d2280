"""Fetches the target version of a model and keeps it in memory."""

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
#: Number of instances that read the manifest from the origin; the others get
#: it from peers.
N_MANIFEST_ROOTS = 3
_MANIFEST_FANOUT = 8
_MANIFEST_TRIES = 4
_MAX_LEAN_TO_WAIT_FOR_STORE = 0.5
_log = logs.get_logger('weights')


@attrs.frozen
class TargetVersion:
    """A version that an instance should have.

    Args:
        model: name of the model.
        version: version of its weights.
        lean: 0 minimizes origin bytes, 1 the time until all members are
            complete.
    """

    model = attrs.field()
    version = attrs.field()
    lean = attrs.field(default=0.0)

    @property
    def key(self):
        """Model and version, which identify the weights."""
        return self.model, self.version


@attrs.frozen
class TransferReport:
    """State of the current transfer; sizes in bytes."""

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
    """Fetches the target version and serves it to peers.

    Args:
        own_name: name of this instance.
        key: deployment key.
        list_members: function of a `TargetVersion` that returns the
            `Member` tuple.
        origin: `httpio.Address` of the origin.
        weight_store: `httpio.Address` of the weight store, or None.
        link_bytes_per_s: rate of this instance's link, each direction.
        read_timeout_s: timeout of each read on a connection.
        random_state: seed or generator for breaking ties.
    """

    def __init__(
        self,
        own_name,
        key,
        list_members,
        origin,
        weight_store=None,
        link_bytes_per_s=1.25e9,
        read_timeout_s=3.0,
        random_state=None,
    ):
        self.own_name = own_name
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
        self._target = None
        self._transfer = None
        self._stopped = False

    def __repr__(self):
        # Excludes the key, which must not be logged.
        return (
            f'TransferAgent(own_name={self.own_name!r}, '
            f'origin={self.origin!r})'
        )

    def start(self):
        """Start the background thread that handles target versions."""
        threading.Thread(
            target=self._run, name='transfer-agent', daemon=True
        ).start()
        return self

    def stop(self):
        """Cancel the transfer and drop all chunks."""
        with self._changed:
            self._stopped = True
            self._cancel()
            self._changed.notify_all()
        self._pool.close()

    def offer(self, target):
        """Set the `TargetVersion`, or None for no version.

        The transfer of another version is cancelled at once.
        """
        with self._changed:
            if self._key(self._target) != self._key(target):
                self._cancel()
            self._target = target
            self._changed.notify_all()

    def transfer(self, model, version):
        """Return the `Transfer` of this version, or None."""
        transfer = self._transfer
        if transfer is None or transfer.failed:
            return None
        manifest = transfer.manifest
        if (manifest.model, manifest.version) != (model, version):
            return None
        return transfer

    def wait_complete(self, target, timeout_s):
        """Return the complete `Transfer` of `target`, or None on timeout."""
        deadline = time.monotonic() + timeout_s
        with self._changed:
            self._changed.wait_for(
                lambda: self.transfer(*target.key) is not None, timeout_s
            )
        transfer = self.transfer(*target.key)
        if transfer is None:
            return None
        left_s = max(0.0, deadline - time.monotonic())
        return transfer if transfer.wait_complete(left_s) else None

    def report(self, now):
        """Return the `TransferReport` of the current transfer, or None."""
        transfer = self._transfer
        if transfer is None:
            return None
        return TransferReport(
            model=transfer.manifest.model,
            version=transfer.manifest.version,
            n_chunks=len(transfer.manifest.chunks),
            n_held=transfer.store.bitmap.bit_count(),
            whole=transfer.store.is_complete,
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
                target = self._target
            try:
                self._begin_transfer(target)
            except Exception as exc:
                # If the thread ended here, no later version would be
                # fetched, without any sign of it.
                _log.error('Transfer could not be started: {!r}.', exc)
                with self._changed:
                    self._changed.wait(RETRY_S)

    def _has_work(self):
        if self._stopped:
            return True
        return self._target is not None and self._transfer is None

    def _cancel(self):
        transfer, self._transfer = self._transfer, None
        if transfer is not None:
            transfer.stop()
            _log.info('Cancelled version {}.', transfer.manifest.version)

    def _begin_transfer(self, target):
        source = self._origin_source(target)
        manifest = self._find_manifest(target, source)
        with self._changed:
            if self._stopped or self._key(self._target) != target.key:
                return
            if manifest is None:
                self._changed.wait(RETRY_S)
                return
            self._transfer = self._make_transfer(
                target, manifest, source
            ).start()
            self._changed.notify_all()

    def _make_transfer(self, target, manifest, source):
        timing = _timing.Timing.for_link(manifest, self.link_bytes_per_s)
        strategy = _swarm.SwarmStrategy(
            lean=target.lean,
            origin_copy_s=timing.copy_s / _timing.ORIGIN_LINK_RATIO,
            takeover_s=timing.takeover_s,
            random_state=self.random_state,
        )
        return _transfer.Transfer(
            manifest,
            self.own_name,
            lambda: self.list_members(target),
            strategy,
            self._peers,
            source,
            timing,
        )

    def _origin_source(self, target):
        return _sources.OriginSource(
            self.origin,
            self._pool,
            self.download_pacer,
            self.weight_store,
            wait_for_store=target.lean < _MAX_LEAN_TO_WAIT_FOR_STORE,
        )

    def _find_manifest(self, target, source):
        """Return the manifest from a peer or the origin, or None."""
        try:
            raw = self._fetch_manifest_from_peers(target)
            if raw is None:
                raw = source.fetch_manifest(*target.key)
            manifest = _manifest.Manifest.loads(raw)
        except errors.TransferError as exc:
            _log.warning(
                'Manifest of version {} is not available: {}.',
                target.version,
                exc,
            )
            return None
        if (manifest.model, manifest.version) != target.key:
            _log.warning('Manifest is not of the target version.')
            return None
        return manifest

    def _fetch_manifest_from_peers(self, target):
        # With 1,900 instances, the manifest alone would take as many bytes
        # from the origin as many chunks, so instances form a tree.
        members = {one.name: one for one in self.list_members(target)}
        names = set(members) | {self.own_name}
        order = _rendezvous.rank(f'manifest-{target.version}', sorted(names))
        position = order.index(self.own_name)
        if position < N_MANIFEST_ROOTS:
            return None
        parents = [(position - N_MANIFEST_ROOTS) // _MANIFEST_FANOUT]
        parents += range(N_MANIFEST_ROOTS)
        for _ in range(_MANIFEST_TRIES):
            for parent in parents:
                raw = self._fetch_manifest_from(members[order[parent]], target)
                if raw is not None:
                    return raw
            with self._changed:
                self._changed.wait(RETRY_S)
                if self._key(self._target) != target.key:
                    return None
        return None

    def _fetch_manifest_from(self, member, target):
        try:
            return self._peers.fetch_manifest(member.address, *target.key)
        except errors.TransferError:
            return None

    def _key(self, target):
        return None if target is None else target.key
