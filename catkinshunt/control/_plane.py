"""The control parts of a process, started and stopped together."""

from catkinshunt import base
from catkinshunt import configuration
from catkinshunt import dissemination
from catkinshunt.dissemination import grpc_transport
from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt import instances
from catkinshunt import kvstore
from catkinshunt import logs
from catkinshunt import peers

_log = logs.get_logger('control')


class ControlPlane(base.BaseService):
    """Keeps configuration and instance list up to date with the others.

    Args:
        cfg: `settings.EntrySettings` or `settings.SidecarSettings`.
        pull_period_s: mean seconds between pulls from peers.
        watch_wait_s: seconds that a watch of the key-value service waits.

    Attributes:
        keeper: `configuration.ConfigurationReplica`, the rules in force.
        directory: `instances.Directory`, the instances known.
        loop: `peers.LoopThread` of the process.
        pool: `peers.PeerPool` for calls to other processes.
    """

    def __init__(
        self,
        cfg,
        pull_period_s=dissemination.PULL_PERIOD_S,
        watch_wait_s=dissemination.WATCH_WAIT_S,
    ):
        self.cfg = cfg
        self.pull_period_s = pull_period_s
        self.watch_wait_s = watch_wait_s
        self.config_replica = configuration.ConfigurationReplica()
        self.directory = instances.Directory()
        self.loop = peers.LoopThread()
        self.pool = peers.PeerPool(cfg.deployment_key, self.loop)
        self._make_spreading()
        self._server = None

    @property
    def address(self):
        """Address that other processes call."""
        return httpio.Address(self.cfg.host, self._server.port)

    @property
    def watching(self):
        """Topics whose source this process watches."""
        return tuple(
            watcher.source.topic
            for watcher in self._watchers
            if watcher.watching
        )

    def start(self):
        """Listen, learn what the others know, then keep up with them."""
        self.loop.start()
        self._server = peers.PeerServer(
            [grpc_transport.Handler(self._disseminator)],
            self.cfg.host,
            self.cfg.control_port,
            self.cfg.deployment_key,
            self.loop,
        ).start()
        self._fetch(self._list_source)
        self._disseminator.start()
        if (
            self.config_replica.revision == 0
            and not self._disseminator.answered
        ):
            # Nobody to ask. One read brings the rules, if the service is up.
            self._fetch(self._store_source)
        for watcher in self._watchers:
            watcher.start()
        return self

    def stop(self):
        """Finish calls in progress, and end all threads."""
        if self._server is None:
            return
        for watcher in self._watchers:
            watcher.stop()
        self._server.stop()
        self._disseminator.stop()
        self.pool.close()
        self.loop.stop()
        self._server = None

    def _make_spreading(self):
        cfg, platform = self.cfg, self.cfg.platform
        store = kvstore.HttpKeyValueStore(
            httpio.Address.parse(platform.key_value)
        )
        self._store_source = configuration.StoreSource(
            store, self.config_replica
        )
        self._list_source = instances.ListSource(
            httpio.Address.parse(platform.instance_list),
            self.directory,
            platform.instance_list_period_s,
        )
        self._disseminator = dissemination.Disseminator(
            cfg.name,
            cfg.data_centre,
            (self.config_replica, self.directory),
            grpc_transport.GrpcPeerTransport(cfg.name, self.pool),
            self._members,
            pull_period_s=self.pull_period_s,
        )
        self._watchers = [
            self._make_watcher(source)
            for source in (self._store_source, self._list_source)
        ]
        self._disseminator.elections = [
            watcher.election for watcher in self._watchers
        ]
        self.config_replica.subscribe(self._disseminator.wake)
        self.config_replica.on_newer_revision(
            lambda revision, now: self._disseminator.observe_revision(
                self.config_replica.topic, revision, now
            )
        )

    def _make_watcher(self, source):
        election = dissemination.WatchElection(
            source.topic,
            self.cfg.name,
            self.cfg.data_centre,
            self._disseminator.peer_health,
        )
        return dissemination.Watcher(
            source, election, self._members, wait_s=self.watch_wait_s
        )

    def _members(self):
        return self.directory.members

    def _fetch(self, source):
        try:
            source.fetch(0)
        except errors.CatkinshuntError as exc:
            _log.warning('Not read at start: {}', exc)
