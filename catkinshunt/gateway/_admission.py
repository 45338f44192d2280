"""Admission of requests: matches the rule, the account and the service."""

import attrs

from catkinshunt import catalog as catalogs
from catkinshunt import errors
from catkinshunt import rules

#: `Retry-After` in seconds while the entry waits for the store. The retry
#: reaches another entry, since the connection is closed.
STORE_RETRY_S = 0.3
#: The same while the entry starts; other entries are likely to start too.
STARTING_RETRY_S = 0.8
#: `Retry-After` in seconds while the entry stops; the retry reaches another.
STOPPING_RETRY_S = 0.1
#: Not in use: a request without a deadline gets `serve.timeout_s`. In seconds.
DEFAULT_DEADLINE_S = 300.0


class UnknownRouteError(errors.InvalidRequestError):
    """Not run: no rule matches the host and path."""

    status = 404
    code = 'no-route'


class UnknownKeyError(errors.InvalidRequestError):
    """Not run: the API key belongs to no account."""

    status = 401
    code = 'unknown-key'


class StaleError(errors.RefusedError):
    """Not run: the cached configuration is too old to decide."""

    default_retry_after_s = STORE_RETRY_S
    code = 'stale'


@attrs.frozen
class Decision:
    """Outcome of admission for one request.

    Attributes:
        rule: name of the matched rule.
        serve: `catalog.Serve` action of the rule. It is `repeatable` if the
            request is idempotent or a resumable stream, so that it may be
            sent to several upstreams.
        service: name of the service chosen among its shares.
        account: name of the account, or ''.
        priority: priority class of the account or else of the rule; 0 is the
            highest. The priority in an engine's queue is another one.
        revision: revision of the declaration used.
        age_s: seconds since the declaration was confirmed to be current.
    """

    rule: str
    serve: catalogs.Serve
    service: str
    account: str
    priority: int
    revision: int
    age_s: float


def decide(catalog, info, fraction, now):
    """Return the `Decision` for a request.

    Args:
        catalog: `catalog.Catalog`.
        info: `base.RequestInfo`.
        fraction: number in [0, 1) that selects among the shares.
        now: seconds on the clock of the catalog.

    Raises:
        UnknownRouteError: no rule matches.
        UnknownKeyError: the key belongs to no account.
        StaleError: no configuration is loaded yet, or it is too old to
            accept the key, or to deny the path or the key.
    """
    declaration = catalog.declaration
    if declaration is None:
        raise StaleError(
            'no configuration is loaded yet',
            step='match-rule',
            retry_after_s=STARTING_RETRY_S,
        )
    subject = rules.Request(host=info.host, path=info.path, method=info.method)
    rule = declaration.rule_set.match(subject)
    if rule is None:
        _check_current(catalog, 'match-rule', now)
        raise UnknownRouteError('no rule matches the path', step='match-rule')
    account = _find_account(catalog, declaration, rule.then, info, now)
    priority = declaration.account_priorities.get(account, rule.then.priority)
    return Decision(
        rule.name,
        rule.then,
        rule.then.choose_service(fraction),
        account,
        priority,
        declaration.revision,
        catalog.age_s(now),
    )


def _find_account(catalog, declaration, serve, info, now):
    if serve.public or declaration.accounts is None:
        return ''
    check_key_trust(catalog, now)
    account = declaration.accounts.get(info.api_key)
    if account is None:
        _check_current(catalog, 'check-key', now)
        raise UnknownKeyError(
            'the key belongs to no account', step='check-key'
        )
    return account


def check_key_trust(catalog, now):
    """Raise `StaleError` if the account keys are too old to be accepted.

    While the store is unreachable or this process is suspended, a known key
    may be revoked and another one added.

    Args:
        catalog: `catalog.Catalog`.
        now: seconds on the clock of the catalog.
    """
    if not catalog.can_trust_keys(now):
        raise StaleError('the account keys are too old', step='check-key')


def _check_current(catalog, step, now):
    """Raise `StaleError` if a newer declaration may exist.

    Clients do not retry after a denial, so a path or key that a newer
    declaration may have must not be denied. The bound on its age is
    `absence_trust_s` of the catalog.
    """
    if not catalog.can_trust_absence(now):
        raise StaleError(
            'the configuration is too old to deny the request', step=step
        )
