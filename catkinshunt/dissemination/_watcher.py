"""Watches a source for new revisions while this process is elected."""

import threading

from catkinshunt import base
from catkinshunt import checks
from catkinshunt import errors
from catkinshunt import logs

WAIT_S = 30.0
STANDBY_CHECK_S = 0.5
#: Poll period of a process without any peer.
NO_PEERS_PERIOD_S = 1.0
RETRY_S = 0.5
MAX_RETRY_S = 5.0
_log = logs.get_logger('dissemination')


class Watcher(base.BaseService):
    """Fetches from one source in a background thread.

    A process without peers polls the source at random intervals instead of
    watching it, so that many processes that start while the instance list is
    unavailable do not all hold a watch.

    Args:
        source: a `BaseSource`.
        election: the `WatchElection` of its topic.
        members: as for `Disseminator`.
        wait_s: long-poll timeout of one fetch, in seconds.
        idle_s: seconds between checks of the election.
        random_state: seed or `random.Random`.
    """

    def __init__(
        self,
        source,
        election,
        members,
        wait_s=WAIT_S,
        idle_s=STANDBY_CHECK_S,
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
        """Start the thread, which watches while elected."""
        thread = threading.Thread(
            target=self._run, name=f'watch-{self.source.topic}', daemon=True
        )
        thread.start()
        return self

    def stop(self):
        """Stop watching, without waiting for a fetch in progress."""
        self._stopped.set()

    def _run(self):
        rng = checks.check_random_state(self.random_state)
        failures = 0
        while not self._stopped.is_set():
            members = self.members()
            is_elected = self.election.is_elected(members)
            self._set_watching(is_elected)
            if members and not is_elected:
                self._stopped.wait(self.idle_s)
                continue
            if self._fetch(self.wait_s if is_elected else 0):
                failures = 0
                pause_s = (
                    self.source.period_s if is_elected else NO_PEERS_PERIOD_S
                )
            else:
                failures += 1
                pause_s = min(RETRY_S * 2**failures, MAX_RETRY_S)
            # Jitter keeps watchers from reconnecting together after an outage.
            self._stopped.wait(pause_s * rng.uniform(0.5, 1.5))

    def _fetch(self, wait_s):
        try:
            self.source.fetch(wait_s)
        except errors.CatkinshuntError as exc:
            _log.warning('Fetch of {} failed: {}', self.source.topic, exc)
            return False
        except Exception as exc:
            # If the thread ended, the process would still answer probes, no
            # standby would take over, and new revisions would arrive from
            # other data centres only.
            _log.error(
                'Unexpected error in the fetch of {}: {!r}',
                self.source.topic,
                exc,
            )
            return False
        return True

    def _set_watching(self, is_elected):
        if is_elected != self.watching:
            self.watching = is_elected
            word = 'begins' if is_elected else 'ends'
            _log.info('Watch of {} {}.', self.source.topic, word)
