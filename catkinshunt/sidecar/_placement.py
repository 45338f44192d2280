"""Brings the model that the rules place here into the engine."""

import threading
import time

import attrs

from catkinshunt import base
from catkinshunt import control
from catkinshunt import engines
from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt import instances
from catkinshunt import logs
from catkinshunt import weights

RETRY_S = 0.5
WAIT_S = 1.0
#: Longest wait for weights before the rules are looked at again.
WHOLE_WAIT_S = 0.2
_log = logs.get_logger('placement')


class Placement(base.BaseService):
    """Keeps the engine at the model version that the rules place here.

    Args:
        cfg: `settings.SidecarSettings`.
        follower: holds the configuration in force.
        directory: `instances.Directory`.
    """

    def __init__(self, cfg, follower, directory):
        self.cfg = cfg
        self.follower = follower
        self.directory = directory
        self.port = None
        self._agent = None
        self._wanted = {}
        self._served = {}
        self._stopped = threading.Event()

    def start(self):
        """Act on each configuration in the background."""
        platform = self.cfg.platform
        store = platform.weight_store
        self._engine = engines.HttpEngine(
            httpio.Address.parse(self.cfg.upstream)
        )
        self._agent = weights.TransferAgent(
            self.cfg.name,
            self.cfg.deployment_key,
            self._list_members,
            httpio.Address.parse(platform.origin),
            httpio.Address.parse(store) if store else None,
            self.cfg.link_bytes_per_s,
        ).start()
        self._chunks = weights.ChunkApp(
            self._agent, self.cfg.deployment_key, self._agent.upload_pacer
        )
        self._slot = engines.WeightsEndpoint(
            self.cfg.host, self.port, self._agent.transfer
        )
        thread = threading.Thread(
            target=self._run, name='placement', daemon=True
        )
        thread.start()
        return self

    def stop(self):
        """Take up no further placement and end the transfer."""
        self._stopped.set()
        if self._agent is not None:
            self._agent.stop()

    def report(self):
        """Return the versions wanted and served, and the transfer."""
        found = {'wanted': self._wanted, 'served': self._served}
        if self._agent is not None:
            transfer = self._agent.report(time.monotonic())
            found['transfer'] = transfer and attrs.asdict(transfer)
        return found

    def serve(self, path):
        """Return the response to the engine's pull of weights."""
        if self._agent is None:
            raise errors.InvalidRequestError('unknown weights', step='pull')
        return self._slot.handle(path)

    def serve_chunks(self, environ):
        """Return the response to a peer's pull of a chunk."""
        if self._agent is None:
            raise errors.InvalidRequestError('no chunks here', step='read')
        return self._chunks.handle(environ)

    def observe(self, n_sent, n_received):
        """Count bytes of live requests, to which a transfer yields."""
        if self._agent is not None:
            now = time.monotonic()
            self._agent.upload_pacer.observe(n_sent, now)
            self._agent.download_pacer.observe(n_received, now)

    def _run(self):
        seen = None
        revision = 0
        while not self._stopped.is_set():
            wait_s = WAIT_S if seen else WHOLE_WAIT_S
            conf = self.follower.wait(revision, wait_s)
            revision = conf.revision
            # The list counts, too: where a holder has gone, another one of
            # the rule's instances takes its place.
            now_held = (revision, self.directory.revision)
            try:
                if revision == 0 or (now_held == seen and self._keeps()):
                    continue
                seen = now_held if self._apply(conf) else None
            except errors.CatkinshuntError as exc:
                _log.warning('Placement failed: {}', exc)
                self._stopped.wait(RETRY_S)
            except Exception as exc:
                # If the thread ended here, the instance would answer its
                # requests and stay at its version through every rollout.
                _log.error('Placement broke: {!r}', exc)
                seen = None
                self._stopped.wait(RETRY_S)

    def _keeps(self):
        """Return whether the engine still holds what it was ordered to.

        An engine that restarts comes back empty and tells nobody. Every
        request sent to it would be refused until the next change of the
        rules, while this instance counted as a replica that serves.
        """
        if not self._served:
            return True
        try:
            held = self._engine.report()
        except errors.OrderError as exc:
            # It may come back as it was; orders would fail now anyway.
            _log.info('Engine not asked: {}', exc)
            return True
        if self._served.items() <= held.items():
            return True
        _log.warning('Engine holds {} and not {}.', held, self._served)
        self._served = {}
        return False

    def _apply(self, conf):
        """Come closer to `conf`; return whether nothing is left to do."""
        placement = control.choose_placement(
            conf.rule_set, self._instance(), self.directory.instances
        )
        place = placement.place
        if place is None:
            return True
        self._wanted = {place.model: place.version}
        if self._served == self._wanted:
            return True
        wanted = weights.TargetVersion(
            place.model, place.version, place.time_preference
        )
        self._agent.offer(wanted)
        transfer = self._agent.wait_complete(wanted, WHOLE_WAIT_S)
        if transfer is None:
            return False
        self._order(transfer.manifest, conf.revision)
        _log.info(
            'Rule {} placed {} {}.',
            placement.rule.name,
            place.model,
            place.version,
        )
        return True

    def _order(self, manifest, revision):
        self._engine.load(
            engines.LoadOrder(
                model=manifest.model,
                version=manifest.version,
                digest=manifest.digest,
                weights_url=self._slot.make_url(
                    manifest.model, manifest.version
                ),
                fencing_number=revision,
            )
        )
        self._served = {manifest.model: manifest.version}

    def _list_members(self, wanted):
        """Return the instances that want the same version."""
        names = control.find_replica_names(
            self.follower.current.rule_set,
            self._instance(),
            self.directory.instances,
        )
        return tuple(
            weights.Member(one.name, one.data_centre, one.address)
            for one in self.directory.instances
            if one.name in names
        )

    def _instance(self):
        """Return the own instance; the list may not show it yet."""
        address = httpio.Address(self.cfg.host, self.port or self.cfg.port)
        return instances.Instance(
            name=self.cfg.name,
            role='upstream',
            service=self.cfg.service,
            data_centre=self.cfg.data_centre,
            region=self.cfg.region,
            address=address,
        )
