import concurrent.futures
import threading

from catkinshunt import httpio
from standins import deployment
from standins import scene

#: Seconds for which the first list waits for the second one to pass it.
_WAIT_S = 0.3
PLACE = {
    'data_centre': 'larisa-a',
    'region': 'Thessalia',
    'control_port': 1,
    'operator_port': 2,
}


class SlowList(scene.Scene):
    """Passes on a list of one instance after any other that is sent."""

    def __init__(self, deployed):
        super().__init__(deployed, launcher=None)
        self.links = self.listing = None
        self.shown = []
        self._others = threading.Event()

    def ask(self, launched, method, path, value=None):
        if path != '/instances':
            return {'port': 3}
        if len(value) == 1:
            self._others.wait(_WAIT_S)
        else:
            self._others.set()
        self.shown.append([item['name'] for item in value])
        return None


def test_instances_that_start_side_by_side_are_all_listed():
    """An older list that arrives last hides an instance for good."""
    subject = SlowList(deployment.load('indus'))
    address = httpio.Address('127.0.0.1', 4)
    names = ['portal-0', 'records-0']
    with concurrent.futures.ThreadPoolExecutor() as pool:
        futs = [
            pool.submit(subject._list, name, 'upstream', '', PLACE, address)
            for name in names
        ]
        for fut in futs:
            fut.result()
    assert sorted(subject.shown[-1]) == names
