"""Local copy of the platform state in one process."""

import collections
import math

import attrs

from catkinshunt import base
from catkinshunt import logs
from catkinshunt import notifier

#: Seconds for which a removed upstream may still be used if there is no
#: other. After a store outage, expired entries of live upstreams reappear
#: within 2 s; requests to an upstream must stop within 2 s of its removal.
REMOVED_GRACE_S = 1.5
#: Seconds after the last confirmation of its mark from which a pending version
#: counts as due. It is longer than the time between two confirmations, which
#: is 0.85 s if something changes at the end of a watch.
PENDING_TRUST_S = 1.1
#: Newest versions of a model that are kept; each becomes due separately.
MAX_VERSIONS = 8
#: Maximum number of leaving upstreams, and of removed ones, that are
#: remembered for lists that are older than that.
MAX_REMEMBERED = 2000
#: Maximum number of upstreams listed in one log line.
MAX_LOGGED_UPSTREAMS = 20

_log = logs.get_logger('catalog')


@attrs.define
class AnnouncedVersion:
    """A version of a model's weights that the operator wants served.

    Attributes:
        version: version number; a higher one is newer.
        announced_after: time in seconds on the catalog's clock after which it
            was announced. The grace period until the version is due counts
            from it, see `Catalog.due_version`; minus infinity if the version
            is due at once.
        is_pending: the version was announced before this process started,
            but the store marks it as not due yet; `announced_after` is then
            a time at which the mark existed.
        marked_at: the latest time at which the mark is known to have existed,
            if it has been missing since; None while it exists.
        is_due: its mark has ended. An older list may contain the mark again.
        found: the version was already in the store at the first read, so it
            may have been announced long before `announced_after`.
    """

    version: int
    announced_after: float
    is_pending: bool = False
    marked_at: float | None = None
    is_due: bool = False
    found: bool = False


class Catalog(base.ParamsMixin):
    """Newest declaration, announced versions, upstreams and their age.

    Times are seconds on a clock that also counts during a system suspend.

    Args:
        key_trust_s: age of the state in seconds from which account keys are
            no longer accepted, since a key may have been revoked.
        absence_trust_s: age of the state in seconds from which something
            missing from the declaration may exist in a newer one.
        pending_trust_s: age of the state in seconds from which pending
            versions count as due, since their marks may have ended.

    Examples:
        >>> catalog = Catalog(key_trust_s=3.0, absence_trust_s=2.0)
        >>> catalog.confirm(now=10.0)
        >>> catalog.can_trust_keys(now=12.5), catalog.can_trust_keys(now=13.5)
        (True, False)
        >>> [catalog.can_trust_absence(now) for now in (11.5, 12.5)]
        [True, False]
    """

    def __init__(
        self,
        key_trust_s=3.0,
        absence_trust_s=2.0,
        pending_trust_s=PENDING_TRUST_S,
    ):
        self.key_trust_s = key_trust_s
        self.absence_trust_s = absence_trust_s
        self.pending_trust_s = pending_trust_s
        self.declaration = None
        self._versions = {}
        self._confirmed_at = None
        self._upstreams = {}
        self._removed = {}
        # `Upstream.key` by id, the oldest first: of those that leave, of
        # those that were removed, and of those that had left or been removed
        # before the latest change of the era.
        self._leaves = {}
        self._removed_keys = {}
        self._doubted = {}
        self._doubted_until = -math.inf
        self._notifier = notifier.Notifier()

    async def wait_for_change(self):
        """Wait for the first read, or a change of a version or upstream."""
        await self._notifier.wait()

    @property
    def is_loaded(self):
        """Whether the state has been read at least once."""
        return self.declaration is not None and self._confirmed_at is not None

    def confirm(self, now):
        """Record that the state was the newest one at `now`."""
        if self._confirmed_at is None:
            self._confirmed_at = now
            self._notifier.notify_all()
        self._confirmed_at = max(self._confirmed_at, now)

    @property
    def confirmed_at(self):
        """Time of the latest confirmation in seconds, or None."""
        return self._confirmed_at

    def age_s(self, now):
        """Return the seconds since the latest confirmation, or None."""
        if self._confirmed_at is None:
            return None
        return now - self._confirmed_at

    def can_trust_keys(self, now):
        """Return whether account keys may be accepted."""
        age_s = self.age_s(now)
        return age_s is not None and age_s < self.key_trust_s

    def can_trust_absence(self, now):
        """Return whether requests for undeclared names may be rejected."""
        age_s = self.age_s(now)
        return age_s is not None and age_s < self.absence_trust_s

    def declare(self, declaration):
        """Replace the declaration if `declaration` is newer.

        Returns:
            Whether it was replaced.
        """
        current = self.declaration
        if current is not None and declaration.revision <= current.revision:
            return False
        self.declaration = declaration
        _log.info(
            'Revision {} is in force.',
            declaration.revision,
            revision=declaration.revision,
            rules=len(declaration.rule_set.rules),
        )
        if current is None:
            self._notifier.notify_all()
        return True

    def add_announced_version(
        self, model, version, announced_after, found=False
    ):
        """Record that the operator wants `version` of `model` served.

        Args:
            model: name of the model.
            version: version number.
            announced_after: time in seconds on the catalog's clock after
                which it was announced.
            found: whether it may have been announced long before that.

        Returns:
            Whether it is newer than the versions known before.
        """
        current = self.newest_version(model)
        if current is not None and version <= current.version:
            return False
        known = self._versions.setdefault(model, [])
        known.append(AnnouncedVersion(version, announced_after, found=found))
        while len(known) > MAX_VERSIONS:
            dropped = known.pop(0)
            # Once the dropped version is due, those before it are outdated.
            # The next one takes over its time, so that this still holds.
            known[0].announced_after = min(
                known[0].announced_after, dropped.announced_after
            )
        _log.info(
            'Operator announced version {} of {}.',
            version,
            model,
            version=version,
        )
        self._notifier.notify_all()
        return True

    def mark_pending(self, model, version, now, previous=None):
        """Mark a version found at the first read as not due yet.

        Args:
            model: name of the model.
            version: version number.
            now: time in seconds at which the mark existed.
            previous: version that was announced before it, or None.
        """
        for number in (previous, version):
            if number is not None:
                self._add_passed_over(model, number)
        announced = self._find_version(model, version)
        if announced is not None and announced.is_pending:
            announced.marked_at = None
        if (
            announced is not None
            and math.isinf(announced.announced_after)
            and not announced.is_due
        ):
            announced.announced_after = now
            announced.is_pending = True
            _log.info('Version {} of {} is not due yet.', version, model)
            self._notifier.notify_all()

    def _add_passed_over(self, model, version):
        """Add a version that the store replaced before it was read."""
        if self._find_version(model, version) is not None:
            return
        newer = self.next_version(model, version)
        if newer is None:
            return
        announced_after = newer.announced_after
        if newer.is_pending:
            # The mark only shows that the newer version is not due yet.
            announced_after = -math.inf
        known = self._versions[model]
        known.insert(
            known.index(newer),
            AnnouncedVersion(version, announced_after, found=True),
        )

    def end_pending(self, model, version):
        """Remove the pending mark of a version, which may then be due."""
        announced = self._find_version(model, version)
        if announced is not None and announced.is_pending:
            announced.announced_after = -math.inf
            announced.is_pending = False
            announced.is_due = True
            _log.info('Version {} of {} is due.', version, model)
            self._notifier.notify_all()

    def pending_versions(self):
        """Return the (model, version) pairs marked as pending."""
        return [
            (model, announced.version)
            for model, known in self._versions.items()
            for announced in known
            if announced.is_pending
        ]

    def _find_version(self, model, version):
        for announced in self._versions.get(model, ()):
            if announced.version == version:
                return announced
        return None

    def announced_models(self):
        """Return the models for which a version was announced."""
        return list(self._versions)

    def announced_versions(self):
        """Return all (model, `AnnouncedVersion`) pairs, the oldest first."""
        return [
            (model, announced)
            for model, known in self._versions.items()
            for announced in known
        ]

    def newest_version(self, model):
        """Return the newest `AnnouncedVersion` of a model, or None."""
        known = self._versions.get(model)
        return known[-1] if known else None

    def next_version(self, model, version):
        """Return the oldest `AnnouncedVersion` above `version`, or None."""
        for announced in self._versions.get(model, ()):
            if announced.version > version:
                return announced
        return None

    def previous_version(self, model, version):
        """Return the highest version number below `version`, or None."""
        below = [
            announced.version
            for announced in self._versions.get(model, ())
            if announced.version < version
        ]
        return below[-1] if below else None

    def due_version(self, model, grace_s, now, lead_s=0.0):
        """Return the newest version that is due, or None.

        A version is due `grace_s` seconds after it was announced, even if a
        newer one was announced meanwhile: from then on no request may start
        on an older version. A pending one is due once its mark was last seen
        `pending_trust_s` ago.

        Args:
            model: name of the model.
            grace_s: grace period in seconds.
            now: time in seconds on the catalog's clock.
            lead_s: seconds by which versions whose time is known count as
                due sooner. That of a pending one is not known.
        """
        due = [
            announced.version
            for announced in self._versions.get(model, ())
            if self._is_due(announced, grace_s, now, lead_s)
        ]
        return due[-1] if due else None

    def _is_due(self, announced, grace_s, now, lead_s):
        """Return whether an `AnnouncedVersion` is due, see `due_version`."""
        if now + lead_s - announced.announced_after > grace_s:
            return True
        if not announced.is_pending:
            return False
        marked_at = announced.marked_at
        if marked_at is None:
            marked_at = announced.announced_after
            if self._confirmed_at is not None:
                marked_at = max(marked_at, self._confirmed_at)
        return now - marked_at > self.pending_trust_s

    def begin_era(self, now, confirm_s):
        """Expect lists that are older than what is known.

        What is known stays until a later statement. An upstream that has left
        or been removed, and is listed again, may only be in the older list;
        likewise an earlier start of it. It is not used until `put_upstream`
        reports a change of it, or until `confirm_s` have passed, after which a
        dead one is not listed any more. The mark of a pending version may be
        missing until `mark_pending` reports it.

        Args:
            now: time in seconds on the catalog's clock.
            confirm_s: seconds after which the list can be trusted again.
        """
        if now >= self._doubted_until:
            self._doubted.clear()
        for keys in (self._leaves, self._removed_keys):
            for upstream_id, key in keys.items():
                known = self._doubted.get(upstream_id, key)
                latest = max(known, key, key=_started_at_ms)
                _remember(self._doubted, upstream_id, latest)
        self._doubted_until = now + confirm_s
        for known in self._versions.values():
            for announced in known:
                if announced.is_pending and announced.marked_at is None:
                    announced.marked_at = self._confirmed_at

    def put_upstream(self, upstream):
        """Add or replace an upstream, of which a change is reported.

        Returns:
            Whether it is known as leaving, but was not reported so.
        """
        self._doubted.pop(upstream.id, None)
        reported, upstream = upstream, self._keep_leave(upstream)
        if self._set_upstream(upstream):
            # "here": accepts new requests.
            _log.info(
                'Upstream {} of {} is {}.',
                upstream.id,
                upstream.service,
                'leaving' if upstream.leaving else 'here',
                address=':'.join(map(str, upstream.address)),
                versions=upstream.versions,
            )
        return upstream != reported

    def drop_upstream(self, upstream_id, now):
        """Remove an upstream; keep it as a fallback for a grace period.

        Args:
            upstream_id: its id.
            now: time in seconds on the catalog's clock after which it was
                removed. The grace period counts from it.
        """
        known = self._upstreams.pop(upstream_id, None)
        if known is None:
            return
        if not self._is_doubted(known, now):
            self._removed[upstream_id] = (known, now)
        _remember(self._removed_keys, upstream_id, known.key)
        _log.info('Upstream {} is no longer listed.', upstream_id)

    def replace_upstreams(self, upstreams, now):
        """Replace all upstreams; drop those that are not in the list.

        Args:
            upstreams: the listed upstreams.
            now: as of `drop_upstream`, for those that are not listed.

        Returns:
            The listed upstreams that are known as leaving, but not listed so.
        """
        reported = upstreams
        upstreams = [self._keep_leave(upstream) for upstream in reported]
        listed = {upstream.id for upstream in upstreams}
        for missing in set(self._upstreams) - listed:
            self.drop_upstream(missing, now)
        changed = [u.id for u in upstreams if self._set_upstream(u)]
        if changed:
            _log.info(
                'Listed {} upstreams, {} of them new or changed.',
                len(upstreams),
                len(changed),
                changed=changed[:MAX_LOGGED_UPSTREAMS],
            )
        return [
            upstream
            for upstream, other in zip(upstreams, reported, strict=True)
            if upstream != other
        ]

    def upstreams(self, service, now):
        """Return the upstreams of `service` that accept new requests.

        Recently removed upstreams are returned only if there is no other.
        """
        found = [
            upstream
            for upstream in self._upstreams.values()
            if upstream.service == service
            and not upstream.leaving
            and not self._is_doubted(upstream, now)
        ]
        return found or self._recently_removed(service, now)

    def members(self, service):
        """Return all upstreams of `service`, including leaving ones."""
        return [
            upstream
            for upstream in self._upstreams.values()
            if upstream.service == service
        ]

    def all_upstreams(self):
        """Return all listed upstreams."""
        return list(self._upstreams.values())

    def count_upstreams(self):
        """Return the number of upstreams by (service, state).

        The state is 'leaving', or 'here' if new requests are accepted.
        """
        return collections.Counter(
            (u.service, 'leaving' if u.leaving else 'here')
            for u in self._upstreams.values()
        )

    def find(self, upstream_id):
        """Return the upstream with this id, or None."""
        return self._upstreams.get(upstream_id)

    def _keep_leave(self, upstream):
        """Return `upstream` as leaving if this start of it is known to."""
        if upstream.leaving:
            _remember(self._leaves, upstream.id, upstream.key)
        elif self._leaves.get(upstream.id) == upstream.key:
            return attrs.evolve(upstream, leaving=True)
        return upstream

    def _is_doubted(self, upstream, now):
        """Return whether it may be listed only since the list is older."""
        doubted = self._doubted.get(upstream.id)
        if doubted is None or now >= self._doubted_until:
            return False
        is_earlier = upstream.started_at_ms < _started_at_ms(doubted)
        return is_earlier or upstream.key == doubted

    def _set_upstream(self, upstream):
        """Add or replace `upstream`; return whether it changed."""
        known = self._upstreams.get(upstream.id)
        self._removed.pop(upstream.id, None)
        self._removed_keys.pop(upstream.id, None)
        self._upstreams[upstream.id] = upstream
        if known != upstream:
            self._notifier.notify_all()
        return known != upstream

    def _recently_removed(self, service, now):
        for upstream_id, (_, since) in list(self._removed.items()):
            if now - since > REMOVED_GRACE_S:
                del self._removed[upstream_id]
        return [
            upstream
            for upstream, _ in self._removed.values()
            if upstream.service == service and not upstream.leaving
        ]


def _started_at_ms(key):
    """Return the start in an `Upstream.key`."""
    return key[1]


def _remember(keys, upstream_id, key):
    """Add the key of an upstream; evict the oldest beyond `MAX_REMEMBERED`."""
    keys.pop(upstream_id, None)
    keys[upstream_id] = key
    if len(keys) > MAX_REMEMBERED:
        del keys[next(iter(keys))]
