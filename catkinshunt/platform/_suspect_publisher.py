"""Publishes suspects in the store, for entries that start later."""

import asyncio
import collections
import contextlib
import itertools

import attrs

from catkinshunt import errors
from catkinshunt import logs
from catkinshunt import notifier
from catkinshunt.platform import _documents
from catkinshunt import quarantine
from catkinshunt import rendezvous

#: Entries that write the key of a suspect, so that one of them may fail.
WRITER_COUNT = 2
#: Seconds between two checks for suspects that have been cleared.
CHECK_PERIOD_S = 0.5
#: Seconds from a write to one that only drops requests which have completed.
REWRITE_DELAY_S = 1.0
#: Shortest lease that is worth two calls.
MIN_LEASE_S = 1.0
#: Most suspects with a key at a time. If many upstreams end together, such as
#: those of a rack, many requests are suspected of two crashes, and nearly all
#: of them complete soon after.
MAX_SUSPECTS = 4
#: Most crashes of a suspect in its key, and most requests and messages for
#: each crash. A message has 1.2 KB at most.
MAX_CRASHES, MAX_REQUESTS, MAX_MESSAGES = 5, 24, 3
#: Most writes of one entry within this time in seconds. Writes that only drop
#: requests which have completed may use half of them.
MAX_WRITES, WRITE_WINDOW_S = 8, 10.0

_log = logs.get_logger('quarantine')


class ObservedQuarantine(quarantine.Quarantine):
    """A quarantine that wakes a waiting task at each new crash.

    Attributes:
        news_count: number of reports so far that told something new.
    """

    def __init__(self):
        super().__init__()
        self.news_count = 0
        self._news = notifier.Notifier()

    def record_crash(self, *args, **kwargs):
        """See `quarantine.Quarantine.record_crash`."""
        new = super().record_crash(*args, **kwargs)
        if new:
            self.news_count += 1
            self._news.notify_all()
        return new

    async def wait_for_news(self, count):
        """Wait until `news_count` is not `count` any more."""
        while self.news_count == count:
            await self._news.wait()


@attrs.frozen
class _Published:
    """What this entry last wrote to the key of a suspect.

    Times are seconds on the clock of the quarantine.

    Attributes:
        last_crash_at: time of the latest crash in it.
        content: upstream, time and suspects of each crash.
        at: time of the write.
    """

    last_crash_at: float
    content: tuple
    at: float


class SuspectPublisher:
    """Writes a key for each request or part at two crashes or more.

    Entries exchange suspects by gossip. If all of them restarted at the same
    time, the request would have to crash the same number of upstreams again.
    An entry that starts restores the crashes (`_apply.apply_suspect`). The key
    is bound to a lease, and is removed earlier if the suspect completes.

    Args:
        client: `StoreClient`.
        quarantined: `ObservedQuarantine` of this entry.
        live_entries: `catalog.LiveEntries`.
        name: name of this entry.
        boottime: returns seconds on the clock of the quarantine.
        unix_time: returns the Unix time in seconds.
    """

    def __init__(
        self, client, quarantined, live_entries, name, boottime, unix_time
    ):
        self.client = client
        self.quarantined = quarantined
        self.live_entries = live_entries
        self.name = name
        self.boottime = boottime
        self.unix_time = unix_time
        self._published = {}
        self._written_at = collections.deque(maxlen=MAX_WRITES)
        self._changes = client.eras.changes

    async def run(self):
        """Write keys until cancelled."""
        outage = logs.OutageLogger(
            _log,
            'Publishing the suspected requests failed: {}.',
            'The suspected requests are published.',
        )
        while True:
            news_count = self.quarantined.news_count
            try:
                await self._publish_new()
                outage.end()
            except errors.StoreError as exc:
                outage.begin(exc)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_PERIOD_S):
                    await self.quarantined.wait_for_news(news_count)

    async def _publish_new(self):
        if self.client.eras.changes != self._changes:
            self._changes = self.client.eras.changes
            self._published.clear()
        suspects = find_lasting_suspects(self.quarantined)
        await self._remove_cleared(suspects)
        for suspect in suspects.ranked[:MAX_SUSPECTS]:
            if not self._is_writer(suspect):
                continue
            found = suspects.select_evidence(suspect)
            if self._is_due(suspect, found):
                await self._write(suspect, found)

    def _is_due(self, suspect, found):
        """Return whether the key of a suspect has to be written now.

        Args:
            suspect: the fingerprint.
            found: its evidence, see `_LastingSuspects.select_evidence`.
        """
        now = self.boottime()
        writes = sum(now - at < WRITE_WINDOW_S for at in self._written_at)
        before = self._published.get(suspect)
        if before is None or found[-1].crash.at > before.last_crash_at:
            return writes < MAX_WRITES
        return (
            writes < MAX_WRITES // 2
            and now - before.at >= REWRITE_DELAY_S
            and _content(found) != before.content
        )

    def _is_writer(self, suspect):
        names = sorted({*self.live_entries.names(), self.name})
        return self.name in rendezvous.rank(suspect, names)[:WRITER_COUNT]

    async def _write(self, suspect, found):
        now = self.boottime()
        last_at = found[-1].crash.at
        lease_s = _documents.SUSPECT_LEASE_S - (now - last_at)
        if lease_s < MIN_LEASE_S:
            return
        self._written_at.append(now)
        lease = await self.client.grant_lease(lease_s)
        reports = [
            report
            for each in found
            for report in itertools.islice(
                quarantine.split_crash_report(
                    each.crash.upstream,
                    each.run_s,
                    each.crash.service_size,
                    self.boottime() - each.crash.at,
                    each.parts,
                ),
                MAX_MESSAGES,
            )
        ]
        value = _documents.dump_suspect(reports, self.unix_time())
        await self.client.write(_documents.suspect_key(suspect), value, lease)
        self._published[suspect] = _Published(last_at, _content(found), now)

    async def _remove_cleared(self, suspects):
        now = self.boottime()
        for suspect, published in list(self._published.items()):
            ends_at = published.last_crash_at + _documents.SUSPECT_LEASE_S
            # A suspect that was quarantined keeps its key until the lease
            # ends: entries may end before `QuarantinePublisher` has written.
            is_cleared = (
                suspect not in suspects
                and self.quarantined.remaining_s(suspect, now) == 0
            )
            if is_cleared and now < ends_at:
                await self.client.remove(_documents.suspect_key(suspect))
            if suspect not in suspects or now >= ends_at:
                del self._published[suspect]


@attrs.frozen
class _CrashEvidence:
    """A crash, and those of its requests that are still suspected.

    Attributes:
        crash: the crash.
        run_s: seconds for which each such request had run, by fingerprint.
        parts: fingerprints of the parts of each request that have not
            completed since, by the fingerprint of the request.
    """

    crash: object
    run_s: dict
    parts: dict

    @property
    def traits(self):
        """The suspected requests and parts, as a set."""
        return {*self.run_s, *itertools.chain(*self.parts.values())}


@attrs.frozen
class _LastingSuspects:
    """The traits that were at two crashes or more.

    Attributes:
        ranked: the traits, the most suspected one first.
        evidence: lists of `_CrashEvidence`, the oldest first, by trait, also
            of other traits.
    """

    ranked: list
    evidence: dict

    def __contains__(self, trait):
        return trait in self.ranked

    def select_evidence(self, trait):
        """Return the evidence against a trait that its key can hold.

        These are the last `MAX_CRASHES` crashes, with the requests that tell
        most of each.
        """
        counts = {each: len(found) for each, found in self.evidence.items()}
        return [
            _select(each, trait, counts)
            for each in self.evidence[trait][-MAX_CRASHES:]
        ]


def find_lasting_suspects(quarantined):
    """Return the `_LastingSuspects` of a `quarantine.Quarantine`."""
    found = collections.defaultdict(list)
    for crash, run_s in quarantined.unresolved_crashes():
        if crash.is_explained:
            continue
        parts = {
            request: tuple(
                p for p in crash.parts[request] if p not in crash.cleared
            )
            for request in run_s
            if request in crash.parts
        }
        evidence = _CrashEvidence(crash, run_s, parts)
        for trait in evidence.traits:
            found[trait].append(evidence)

    def rank(trait):
        longest_s = max(e.crash.longest_run_s(trait) for e in found[trait])
        return -len(found[trait]), longest_s, trait

    lasting = [
        trait
        for trait in found
        if len(found[trait]) > 1 and quarantined.is_isolated(trait)
    ]
    return _LastingSuspects(sorted(lasting, key=rank), dict(found))


def _select(evidence, trait, counts):
    """Return evidence of `MAX_REQUESTS` requests at most.

    Those with the trait come first, then those at the most crashes.

    Args:
        evidence: `_CrashEvidence`.
        trait: the trait whose key it is for.
        counts: number of crashes by trait.
    """

    def rank(request):
        own = {request, *evidence.parts.get(request, ())}
        return trait not in own, -max(counts[each] for each in own), request

    kept = sorted(evidence.run_s, key=rank)[:MAX_REQUESTS]
    return _CrashEvidence(
        evidence.crash,
        {each: evidence.run_s[each] for each in kept},
        {
            each: evidence.parts[each]
            for each in kept
            if each in evidence.parts
        },
    )


def _content(found):
    return tuple(
        (each.crash.upstream, each.crash.at, frozenset(each.traits))
        for each in found
    )
