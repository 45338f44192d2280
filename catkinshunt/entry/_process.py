"""Starts and stops the components of an entry."""

import time

import attrs

from catkinshunt import base
from catkinshunt import claims
from catkinshunt import control
from catkinshunt.entry import _app
from catkinshunt.entry import _at_most_once
from catkinshunt import httpio
from catkinshunt import kvstore
from catkinshunt import metrics


class EntryProcess(base.BaseService):
    """The process of an entry instance.

    Args:
        cfg: `settings.EntrySettings`.
    """

    def __init__(self, cfg):
        self.cfg = cfg

    def start(self):
        """Start following configuration and instances, then listen."""
        self._control = control.ControlPlane(self.cfg).start()
        store = kvstore.HttpKeyValueStore(
            httpio.Address.parse(self.cfg.platform.key_value)
        )
        self._ledger = claims.Ledger(
            store, **attrs.asdict(self.cfg.claims)
        ).start()
        self._app = _app.EntryApp(
            self.cfg,
            self._control.config_replica,
            self._control.directory,
            _at_most_once.AtMostOnce(
                self._ledger, self._ledger.body_limit_bytes
            ),
        )
        registry = metrics.Registry()
        self._server = httpio.HttpServer(
            metrics.InstrumentedApp(self._app, registry),
            self.cfg.host,
            self.cfg.port,
            self.cfg.threads,
            budget=metrics.make_caller_budget(
                self.cfg, registry, time.monotonic
            ),
        ).start()
        self._serving = True
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
            'wanted': {},
            'served': {},
        }

    @property
    def address(self):
        """Address for callers."""
        return httpio.Address(self.cfg.host, self._server.port)

    def stop(self):
        """Reject new requests, finish those in progress, then stop."""
        self._serving = False
        self._app.leave()
        self._server.join(self.cfg.stop_timeout_s)
        self._server.stop()
        self._ledger.stop()
        self._operators.stop()
        self._control.stop()
