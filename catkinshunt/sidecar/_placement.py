"""Loads the model version that the rules place here into the engine."""

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
CONFIG_WAIT_S = 1.0
#: Longest wait for a transfer before the rules are evaluated again.
TRANSFER_WAIT_S = 0.2
_log = logs.get_logger('placement')


class Placement(base.BaseService):
    """Keeps the engine at the model version that the rules place here.

    Args:
        cfg: `settings.SidecarSettings`.
        config_replica: replica of the active configuration.
        directory: `instances.Directory`.
    """

    def __init__(self, cfg, config_replica, directory):
        self.cfg = cfg
        self.config_replica = config_replica
        self.directory = directory
        self.port = None
        #: `httpio.UpstreamStatus` of the upstream beside this process.
        self.upstream_status = httpio.UpstreamStatus()
        self._agent = None
        self._wanted = {}
        self._served = {}
        self._stopped = threading.Event()

    def start(self):
        """Start the transfer agent and the placement thread."""
        platform = self.cfg.platform
        store = platform.weight_store
        self._engine = engines.HttpEngine(
            httpio.Address.parse(self.cfg.upstream),
            status=self.upstream_status,
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
        self._weights_endpoint = engines.WeightsEndpoint(
            self.cfg.host, self.port, self._agent.transfer
        )
        thread = threading.Thread(
            target=self._run, name='placement', daemon=True
        )
        thread.start()
        return self

    def stop(self):
        """Stop the placement thread and the transfer."""
        self._stopped.set()
        if self._agent is not None:
            self._agent.stop()

    def report(self):
        """Return wanted versions, served versions and the transfer."""
        status = {'wanted': self._wanted, 'served': self._served}
        if self._agent is not None:
            transfer = self._agent.report(time.monotonic())
            status['transfer'] = transfer and attrs.asdict(transfer)
        return status

    def serve(self, path):
        """Return the response to a weights request of the engine."""
        if self._agent is None:
            raise errors.InvalidRequestError('unknown weights', step='pull')
        return self._weights_endpoint.handle(path)

    def serve_chunks(self, environ):
        """Return the response to a chunk request of a peer."""
        if self._agent is None:
            raise errors.InvalidRequestError(
                'this instance serves no chunks', step='read'
            )
        return self._chunks.handle(environ)

    def observe(self, n_sent, n_received):
        """Count bytes of live requests; transfers leave them bandwidth."""
        if self._agent is not None:
            now = time.monotonic()
            self._agent.upload_pacer.observe(n_sent, now)
            self._agent.download_pacer.observe(n_received, now)

    def _run(self):
        applied = None
        revision = 0
        while not self._stopped.is_set():
            wait_s = CONFIG_WAIT_S if applied else TRANSFER_WAIT_S
            conf = self.config_replica.wait(revision, wait_s)
            revision = conf.revision
            # The instance list matters as well: when a replica leaves, the
            # placement rule selects another instance.
            current = (revision, self.directory.revision)
            try:
                if revision == 0 or (
                    current == applied and self._check_engine()
                ):
                    continue
                applied = current if self._apply(conf) else None
            except errors.CatkinshuntError as exc:
                _log.warning('Applying the placement failed: {}.', exc)
                self._stopped.wait(RETRY_S)
            except Exception as exc:
                # If the thread ended, the instance would keep serving its
                # old version and ignore every later rollout.
                _log.error('Unexpected error in placement: {!r}.', exc)
                applied = None
                self._stopped.wait(RETRY_S)

    def _check_engine(self):
        """Return whether the engine still has its versions; reset if not.

        An engine that restarts has no model and does not report it. Its
        requests would be rejected until the next change of the rules, while
        this instance counted as a serving replica.
        """
        if not self._served:
            return True
        try:
            engine_versions = self._engine.report()
        except errors.OrderError as exc:
            # The engine may be reachable again later with its model; a load
            # order would fail now anyway.
            _log.info('Engine report unavailable: {}.', exc)
            return True
        if self._served.items() <= engine_versions.items():
            return True
        _log.warning(
            'Engine has {} loaded, expected {}.', engine_versions, self._served
        )
        self._served = {}
        return False

    def _apply(self, conf):
        """Apply the placement of `conf`; return whether it is complete."""
        placement = control.choose_placement(
            conf.rule_set, self._own_instance(), self.directory.instances
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
        transfer = self._agent.wait_complete(wanted, TRANSFER_WAIT_S)
        if transfer is None:
            return False
        self._load_engine(transfer.manifest, conf.revision)
        _log.info(
            'Rule {} placed {} {}.',
            placement.rule.name,
            place.model,
            place.version,
        )
        return True

    def _load_engine(self, manifest, revision):
        self._engine.load(
            engines.LoadOrder(
                model=manifest.model,
                version=manifest.version,
                digest=manifest.digest,
                weights_url=self._weights_endpoint.make_url(
                    manifest.model, manifest.version
                ),
                fencing_number=revision,
            )
        )
        self._served = {manifest.model: manifest.version}

    def _list_members(self, wanted):
        """Return the members of the transfer of a version."""
        names = control.find_replica_names(
            self.config_replica.current.rule_set,
            self._own_instance(),
            self.directory.instances,
        )
        return tuple(
            weights.Member(member.name, member.data_centre, member.address)
            for member in self.directory.instances
            if member.name in names
        )

    def _own_instance(self):
        """Return this instance, which may not be listed yet."""
        address = httpio.Address(self.cfg.host, self.port or self.cfg.port)
        return instances.Instance(
            name=self.cfg.name,
            role='upstream',
            service=self.cfg.service,
            data_centre=self.cfg.data_centre,
            region=self.cfg.region,
            address=address,
        )
