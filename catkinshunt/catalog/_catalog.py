"""The state of the platform as one process knows it."""

import collections
import math

import attrs

from catkinshunt import base
from catkinshunt import notifier
from catkinshunt import logs

#: Seconds for which an upstream that vanished may still be used where no
#: other is left. The entries of live upstreams that lapsed in an outage of
#: the platform's store are back within two seconds; work must have stopped
#: two seconds after an upstream has gone.
VANISHED_S = 1.5
#: Versions of a model that are remembered; they are due one by one.
MOST_VERSIONS = 8
#: Upstreams that one log line names at most.
MOST_NAMED = 20

_log = logs.get_logger('catalog')


@attrs.define
class NamedVersion:
    """A version of a model's weights that the operator named.

    Attributes:
        version: its number; a higher one is newer.
        since: seconds on the clock of the catalog when it was learnt.
        is_pending: it was named before this process started, and others
            know that it is not due yet.
        found: it was there when the store was read, and may have been named
            long before `learned_at`.
    """

    version: int
    learned_at: float
    is_pending: bool = False
    found: bool = False


class Catalog(base.ParamsMixin):
    """Keeps the newest declaration, the upstreams, and how fresh they are.

    Args:
        key_trust_s: seconds without word from the store after which the keys
            of accounts are no longer trusted: a key may have been taken
            away meanwhile. The clock must count the time of a suspend.
        absence_trust_s: the same after which a newer declaration must be in
            force, so that what this one lacks may be there.

    Examples:
        >>> catalog = Catalog(key_trust_s=3.0, absence_trust_s=2.0)
        >>> catalog.confirm(now=10.0)
        >>> catalog.can_trust_keys(now=12.5), catalog.can_trust_keys(now=13.5)
        (True, False)
        >>> catalog.can_trust_absence(now=11.5), catalog.can_trust_absence(now=12.5)
        (True, False)
    """

    def __init__(self, key_trust_s=3.0, absence_trust_s=2.0):
        self.key_trust_s = key_trust_s
        self.absence_trust_s = absence_trust_s
        self.declaration = None
        self._versions = {}
        self._confirmed_at = None
        self._upstreams = {}
        self._vanished = {}
        self._changes = notifier.Notifier()

    async def wait_for_change(self):
        """Return once a version or an upstream has changed.

        Or once the state has been read for the first time.
        """
        await self._changes.wait()

    @property
    def is_loaded(self):
        """Whether the state has been read since the start."""
        return self.declaration is not None and self._confirmed_at is not None

    def confirm(self, now):
        """Note that the state was the newest one at `now`."""
        if self._confirmed_at is None:
            self._confirmed_at = now
            self._changes.notify_all()
        self._confirmed_at = max(self._confirmed_at, now)

    @property
    def confirmed_at(self):
        """When the state was last known to be the newest, or None."""
        return self._confirmed_at

    def age_s(self, now):
        """Return the seconds since the state was last confirmed, or None."""
        if self._confirmed_at is None:
            return None
        return now - self._confirmed_at

    def can_trust_keys(self, now):
        """Return whether the keys of accounts can be trusted."""
        age_s = self.age_s(now)
        return age_s is not None and age_s < self.key_trust_s

    def can_trust_absence(self, now):
        """Return whether what the declaration lacks can be denied."""
        age_s = self.age_s(now)
        return age_s is not None and age_s < self.absence_trust_s

    def declare(self, declaration):
        """Put `declaration` in force unless a newer one is."""
        held = self.declaration
        if held is not None and declaration.revision <= held.revision:
            return False
        self.declaration = declaration
        _log.info(
            'Revision {} is in force.',
            declaration.revision,
            revision=declaration.revision,
            rules=len(declaration.rule_set.rules),
        )
        if held is None:
            self._changes.notify_all()
        return True

    def add_named_version(self, model, version, now, found=False):
        """Note that the operator wants `version` of `model` served.

        Args:
            model: name of the model.
            version: its version.
            now: seconds on the clock of the catalog.
            found: it may have been named long before `now`.
        """
        held = self.newest_version(model)
        if held is not None and version <= held.version:
            return False
        known = self._versions.setdefault(model, [])
        known.append(NamedVersion(version, now, found=found))
        del known[:-MOST_VERSIONS]
        _log.info(
            'Version {} of {} is named.', version, model, version=version
        )
        self._changes.notify_all()
        return True

    def mark_pending(self, model, version, now):
        """Note that a version that was named before is not due yet."""
        named = self._find_version(model, version)
        if named is not None and math.isinf(named.learned_at):
            named.learned_at = now
            named.is_pending = True
            _log.info('Version {} of {} is not due yet.', version, model)
            self._changes.notify_all()

    def end_pending(self, model, version):
        """Note that a version may be due from now on."""
        named = self._find_version(model, version)
        if named is not None and named.is_pending:
            named.learned_at = -math.inf
            named.is_pending = False
            _log.info('Version {} of {} is due.', version, model)
            self._changes.notify_all()

    def pending_versions(self):
        """Return pairs of model and version that others know to be pending."""
        return [
            (model, named.version)
            for model, known in self._versions.items()
            for named in known
            if named.is_pending
        ]

    def _find_version(self, model, version):
        for named in self._versions.get(model, ()):
            if named.version == version:
                return named
        return None

    def named_models(self):
        """Return the models of which a version was named."""
        return list(self._versions)

    def newest_version(self, model):
        """Return the newest `NamedVersion` of a model, or None."""
        known = self._versions.get(model)
        return known[-1] if known else None

    def next_version(self, model, version):
        """Return the first `NamedVersion` after `version`, or None."""
        for named in self._versions.get(model, ()):
            if named.version > version:
                return named
        return None

    def due_version(self, model, grace_s, now):
        """Return the newest version named `grace_s` seconds ago, or None.

        A newer one that was named since does not put it off: requests that
        begin on an older one would be wrong from then on.
        """
        due = [
            named.version
            for named in self._versions.get(model, ())
            if now - named.learned_at > grace_s
        ]
        return due[-1] if due else None

    def put_upstream(self, upstream):
        """Add or replace an upstream."""
        if self._keep(upstream):
            _log.info(
                'Upstream {} of {} is {}.',
                upstream.id,
                upstream.service,
                'leaving' if upstream.leaving else 'here',
                address=':'.join(map(str, upstream.address)),
                versions=upstream.versions,
            )

    def drop_upstream(self, upstream_id, now):
        """Take an upstream that vanished out of use, soon for good."""
        known = self._upstreams.pop(upstream_id, None)
        if known is None:
            return
        self._vanished[upstream_id] = (known, now)
        _log.info('Upstream {} vanished.', upstream_id)

    def replace_upstreams(self, upstreams, now):
        """Take over a whole list; those that are missing have vanished."""
        listed = {upstream.id for upstream in upstreams}
        for missing in set(self._upstreams) - listed:
            self.drop_upstream(missing, now)
        changed = [u.id for u in upstreams if self._keep(u)]
        if changed:
            _log.info(
                'Listed {} upstreams, {} of them new or changed.',
                len(upstreams),
                len(changed),
                changed=changed[:MOST_NAMED],
            )

    def upstreams(self, service, now):
        """Return the upstreams of `service` that take new work.

        Those that vanished a moment ago are returned only where there is
        no other.
        """
        found = [
            upstream
            for upstream in self._upstreams.values()
            if upstream.service == service and not upstream.leaving
        ]
        return found or self._just_vanished(service, now)

    def members(self, service):
        """Return all upstreams of `service`, those that leave as well."""
        return [
            upstream
            for upstream in self._upstreams.values()
            if upstream.service == service
        ]

    def all_upstreams(self):
        """Return all upstreams that are listed."""
        return list(self._upstreams.values())

    def count_upstreams(self):
        """Return the number of upstreams by (service, state)."""
        return collections.Counter(
            (u.service, 'leaving' if u.leaving else 'here')
            for u in self._upstreams.values()
        )

    def find(self, upstream_id):
        """Return the upstream with this id, or None."""
        return self._upstreams.get(upstream_id)

    def _keep(self, upstream):
        """Add or replace `upstream`; return whether it differs."""
        known = self._upstreams.get(upstream.id)
        self._vanished.pop(upstream.id, None)
        self._upstreams[upstream.id] = upstream
        if known != upstream:
            self._changes.notify_all()
        return known != upstream

    def _just_vanished(self, service, now):
        for gone, (_, since) in list(self._vanished.items()):
            if now - since > VANISHED_S:
                del self._vanished[gone]
        return [
            upstream
            for upstream, _ in self._vanished.values()
            if upstream.service == service and not upstream.leaving
        ]
