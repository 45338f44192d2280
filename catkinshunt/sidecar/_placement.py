"""Brings the model that the rules place here into the engine."""

import hashlib
import json
import secrets
import threading

from catkinshunt import base
from catkinshunt import control
from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt import instances
from catkinshunt import logs

RETRY_S = 0.5
WAIT_S = 1.0
LOAD_TIMEOUT_S = 600.0
_log = logs.get_logger('placement')


class Placement(base.BaseService):
    """Fetches weights from the origin and gives the engine its order.

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
        self._token = secrets.token_hex(8)
        self._held = None
        self._wanted = {}
        self._served = {}
        self._stopped = threading.Event()

    def start(self):
        """Act on each configuration in the background."""
        thread = threading.Thread(
            target=self._run, name='placement', daemon=True
        )
        thread.start()
        return self

    def stop(self):
        """Take up no further placement."""
        self._stopped.set()

    def report(self):
        """Return the versions wanted and served, by model."""
        return {'wanted': self._wanted, 'served': self._served}

    def serve(self, path):
        """Return the response to the engine's pull of weights."""
        held = self._held
        if held is None or path != self._path(held[0]):
            raise errors.InvalidRequestError('unknown weights', step='pull')
        length = ('Content-Length', str(len(held[1])))
        return httpio.Response(200, [held[1]], (length,))

    def _run(self):
        seen = None
        revision = 0
        while not self._stopped.is_set():
            conf = self.follower.wait(revision, WAIT_S)
            revision = conf.revision
            # The list counts, too: where a holder has gone, another one of
            # the rule's instances takes its place.
            now_held = (revision, self.directory.revision)
            if now_held == seen or revision == 0:
                continue
            try:
                self._apply(conf)
                seen = now_held
            except errors.CatkinshuntError as exc:
                _log.warning('Placement failed: {}', exc)
                self._stopped.wait(RETRY_S)

    def _apply(self, conf):
        placement = control.choose_placement(
            conf.rule_set, self._instance(), self.directory.instances
        )
        rule, place = placement.rule, placement.place
        if place is None:
            return
        self._wanted = {place.model: place.version}
        if self._held and self._held[0][:2] == (place.model, place.version):
            return
        manifest = self._fetch_manifest(place)
        data = self._fetch_weights(place, manifest)
        self._held = ((place.model, place.version), data)
        self._order(place, manifest, conf.revision)
        self._served = {place.model: place.version}
        _log.info(
            'Rule {} placed {} {}.', rule.name, place.model, place.version
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

    def _fetch_manifest(self, place):
        return json.loads(self._get(place, 'manifest'))

    def _fetch_weights(self, place, manifest):
        data = self._get(place, 'weights')
        if hashlib.sha256(data).hexdigest() != manifest['digest']:
            raise errors.TransferError('wrong digest', step='verify')
        return data

    def _get(self, place, what):
        address = httpio.Address.parse(self.cfg.platform.origin)
        path = f'/models/{place.model}/{place.version}/{what}'
        reply = httpio.exchange(address, 'GET', path)
        if reply.status != 200:
            raise errors.TransferError(
                f'status {reply.status}', step=what, peer=str(address)
            )
        return reply.body

    def _path(self, key):
        return f'/weights/{self._token}/{key[0]}/{key[1]}'

    def _order(self, place, manifest, fencing_number):
        path = self._path((place.model, place.version))
        order = {
            'order': 'load',
            'model': place.model,
            'version': place.version,
            'digest': manifest['digest'],
            'weights_url': f'http://{self.cfg.host}:{self.port}{path}',
            'fencing_number': fencing_number,
        }
        upstream = httpio.Address.parse(self.cfg.upstream)
        body = json.dumps(order).encode()
        reply = httpio.exchange(
            upstream, 'POST', '/orders', body, timeout_s=LOAD_TIMEOUT_S
        )
        if reply.status != 200:
            raise errors.OrderError(
                f'status {reply.status}', step='order', peer=str(upstream)
            )
