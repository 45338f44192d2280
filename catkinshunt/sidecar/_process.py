"""Starts and stops the components of a sidecar."""

import time

from catkinshunt import base
from catkinshunt import control
from catkinshunt import httpio
from catkinshunt import metrics
from catkinshunt.sidecar import _app
from catkinshunt.sidecar import _placement
from catkinshunt import weights


class SidecarProcess(base.BaseService):
    """The sidecar process of one upstream instance.

    Args:
        cfg: `settings.SidecarSettings`.
    """

    def __init__(self, cfg):
        self.cfg = cfg

    def start(self):
        """Listen, then start following the configuration."""
        self._control = control.ControlPlane(self.cfg)
        self._placement = _placement.Placement(
            self.cfg, self._control.config_replica, self._control.directory
        )
        self._app = _app.SidecarApp(self.cfg, self._placement)
        registry = metrics.Registry()
        app = control.RevisionMiddleware(
            self._app, self._control.config_replica, self.cfg.deployment_key
        )
        app = weights.LiveTrafficApp(app, self._placement.observe)
        self._server = httpio.HttpServer(
            metrics.InstrumentedApp(app, registry),
            self.cfg.host,
            self.cfg.port,
            self.cfg.threads,
            budget=metrics.make_caller_budget(
                self.cfg, registry, time.monotonic
            ),
        ).start()
        self._serving = True
        self._control.start()
        if self.cfg.is_engine:
            self._placement.port = self._server.port
            self._placement.start()
        self._operators = metrics.start_operator_server(
            self.cfg, registry, lambda: self._serving, self.report
        )
        return self

    def report(self):
        """Return the content of ``/status``."""
        return {
            'name': self.cfg.name,
            'state': 'serving' if self._serving else 'leaving',
            'revision': self._control.config_replica.revision,
            **self._placement.report(),
        }

    @property
    def address(self):
        """Address for entries and peers."""
        return httpio.Address(self.cfg.host, self._server.port)

    def stop(self):
        """Reject new requests, finish those in progress, then stop."""
        self._serving = False
        self._app.leave()
        self._app.admission.join(self.cfg.stop_timeout_s)
        self._server.join(self.cfg.stop_timeout_s)
        self._server.stop()
        self._operators.stop()
        self._placement.stop()
        self._control.stop()
