"""Asks a source for new revisions while the own process is on duty."""

import threading

from catkinshunt import base
from catkinshunt import checks
from catkinshunt import errors
from catkinshunt import logs

WAIT_S = 30.0
IDLE_S = 0.5
#: Pause of a process that knows no other one.
ALONE_S = 1.0
RETRY_S = 0.5
MAX_RETRY_S = 5.0
_log = logs.get_logger('dissemination')


class Watcher(base.BaseService):
    """Fetches from one source in a thread of its own.

    A process that knows no other one asks by itself, without waiting there
    and with pauses at random, so that many which start while the instance
    list is out of reach do not all hold a watch.

    Args:
        source: a `BaseSource`.
        duty: the `WatchElection` for its topic.
        members: as for `Disseminator`.
        wait_s: seconds that one call may wait at the source.
        idle_s: seconds between looks whether the duty has come.
        random_state: seed or `random.Random`.
    """

    def __init__(
        self,
        source,
        election,
        members,
        wait_s=WAIT_S,
        idle_s=IDLE_S,
        random_state=None,
    ):
        self.source = source
        self.election = election
        self.members = members
        self.wait_s = wait_s
        self.idle_s = idle_s
        self.random_state = random_state
        self.watching = False
        self._stopped = threading.Event()

    def start(self):
        """Watch in the background whenever on duty."""
        thread = threading.Thread(
            target=self._run, name=f'watch-{self.source.topic}', daemon=True
        )
        thread.start()
        return self

    def stop(self):
        """End the watch; a call that waits at the source is abandoned."""
        self._stopped.set()

    def _run(self):
        rng = checks.check_random_state(self.random_state)
        failures = 0
        while not self._stopped.is_set():
            members = self.members()
            on_duty = self.election.check(members)
            self._note(on_duty)
            if members and not on_duty:
                self._stopped.wait(self.idle_s)
                continue
            if self._fetch(self.wait_s if on_duty else 0):
                failures = 0
                pause_s = self.source.period_s if on_duty else ALONE_S
            else:
                failures += 1
                pause_s = min(RETRY_S * 2**failures, MAX_RETRY_S)
            # Spread, so that watchers do not return from an outage together.
            self._stopped.wait(pause_s * rng.uniform(0.5, 1.5))

    def _fetch(self, wait_s):
        try:
            self.source.fetch(wait_s)
        except errors.CatkinshuntError as exc:
            _log.warning('Source of {}: {}', self.source.topic, exc)
            return False
        except Exception as exc:
            # If the thread ended here, the process would still answer its
            # deputies, none of them would take over, and new revisions
            # would come from other data centres only.
            _log.error('Source of {} broke: {!r}', self.source.topic, exc)
            return False
        return True

    def _note(self, on_duty):
        if on_duty != self.watching:
            self.watching = on_duty
            word = 'begins' if on_duty else 'ends'
            _log.info('Watch of {} {}.', self.source.topic, word)
