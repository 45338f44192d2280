"""Stand-in for the platform's lagging list of instances."""

import threading
import time

import attrs

from catkinshunt import httpio
from standins import web


class InstanceList:
    """Keeps instances and shows them `lag_s` seconds late.

    Args:
        lag_s: seconds until a change is shown.
    """

    def __init__(self, lag_s=0.0):
        self.lag_s = lag_s
        self.calls = 0
        self._versions = [(0.0, 0, ())]
        self._lock = threading.Lock()
        self.app = web.App(
            ('GET', '/instances', self._get),
            ('PUT', '/instances', self._put),
        )

    def update(self, instances):
        """Replace the list by `instances`, dicts as shown to readers."""
        with self._lock:
            revision = self._versions[-1][1] + 1
            self._versions.append((time.monotonic(), revision, instances))

    def _put(self, call):
        self.update(call.json())
        return httpio.Response(200)

    def _get(self, call):
        self.calls += 1
        revision, instances = self._shown(time.monotonic())
        if call.query.get('revision') == str(revision):
            return httpio.Response(304)
        value = {'revision': revision, 'instances': instances}
        return httpio.Response.of_json(200, value)

    def _shown(self, now):
        with self._lock:
            for at, revision, instances in reversed(self._versions):
                if at + self.lag_s <= now:
                    return revision, instances
            return 0, ()


@attrs.frozen
class Listed:
    """One instance as the list shows it."""

    name: str
    service: str
    data_centre: str
    region: str
    address: str
    control_address: str = ''
    operator_address: str = ''
    role: str = 'upstream'
    state: str = 'live'
    started_at_ms: int = 0
