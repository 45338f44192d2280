"""The platform's list of instances, read again and again."""

import json
import threading

from catkinshunt import base
from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt.instances import _instance
from catkinshunt import logs

_log = logs.get_logger('instances')


class Directory(base.BaseService):
    """Keeps the last list read; an unreachable list changes nothing.

    Args:
        address: `httpio.Address` of the platform's list.
        period_s: seconds between reads.
    """

    def __init__(self, address, period_s=1.0):
        self.address = address
        self.period_s = period_s
        self._revision = -1
        self._instances = ()
        self._stopped = threading.Event()
        self._thread = None

    def start(self):
        """Read the list once, then in the background."""
        self.refresh()
        self._thread = threading.Thread(
            target=self._run, name='instance-list', daemon=True
        )
        self._thread.start()
        return self

    def stop(self):
        """End the background reads."""
        self._stopped.set()

    def upstreams(self, service):
        """Return the upstream instances listed for `service`."""
        return [
            instance
            for instance in self._instances
            if instance.role == _instance.UPSTREAM
            and instance.service == service
        ]

    def refresh(self):
        """Read the list now."""
        try:
            reply = httpio.exchange(
                self.address,
                'GET',
                f'/instances?revision={self._revision}',
                timeout_s=2.0,
            )
        except errors.RequestError as exc:
            _log.warning('List not read: {}', exc)
            return
        if reply.status != 200:
            return
        value = json.loads(reply.body)
        self._instances = tuple(
            _instance.Instance.from_listing(item)
            for item in value['instances']
        )
        self._revision = value['revision']

    def _run(self):
        while not self._stopped.wait(self.period_s):
            self.refresh()
