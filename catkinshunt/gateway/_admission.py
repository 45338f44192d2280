"""Decides whether a request may run, and by which service."""

import attrs

from catkinshunt import catalog as catalogs
from catkinshunt import errors
from catkinshunt import rules

#: Seconds after which a caller may try another entry while this one waits
#: for the platform's store.
STORE_RETRY_S = 0.3
#: The same where it has just started, and others are likely to as well.
STARTING_RETRY_S = 0.8
#: Seconds after which a caller may come back to another entry while this
#: one stops.
STOPPING_RETRY_S = 0.1
#: Deadline of a request that names none, in seconds.
LONGEST_DEADLINE_S = 300.0


class UnknownRouteError(errors.InvalidRequestError):
    """Not run: no rule serves this host and path."""

    status = 404
    code = 'no-route'


class UnknownKeyError(errors.InvalidRequestError):
    """Not run: no account has the key."""

    status = 401
    code = 'unknown-key'


class StaleError(errors.RefusedError):
    """Not run: what this process knows is too old to decide."""

    default_retry_after_s = STORE_RETRY_S
    code = 'stale'


@attrs.frozen
class Decision:
    """What was decided for a request, and on what grounds.

    Attributes:
        rule: name of the rule that matched.
        serve: what it decides.
        service: the service that is to answer.
        account: name of the account, or ''.
        priority: rank; 0 goes first.
        revision: revision of the declaration that decided.
        age_s: seconds since it was known to be the newest.
    """

    rule: str
    serve: catalogs.Serve
    service: str
    account: str
    priority: int
    revision: int
    age_s: float


def decide(catalog, ask, fraction, now):
    """Return the `Decision` on `ask`.

    Args:
        catalog: `catalog.Catalog`.
        ask: `base.RequestInfo`.
        fraction: number from 0 up to 1 that picks among shares.
        now: seconds on the clock of the catalog.

    Raises:
        UnknownRouteError: no rule matches.
        UnknownKeyError: the key belongs to no account.
        StaleError: nothing is known yet, or what is known is too old to
            serve the key, or to deny the path or the key.
    """
    declaration = catalog.declaration
    if declaration is None:
        raise StaleError(
            'no configuration is known yet',
            step='match-rule',
            retry_after_s=STARTING_RETRY_S,
        )
    subject = rules.Request(host=ask.host, path=ask.path, method=ask.method)
    rule = declaration.rule_set.match(subject)
    if rule is None:
        _check_current(catalog, 'match-rule', now)
        raise UnknownRouteError('no rule serves the path', step='match-rule')
    account = _find_account(catalog, declaration, rule.then, ask, now)
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


def _find_account(catalog, declaration, serve, ask, now):
    if serve.public or declaration.accounts is None:
        return ''
    # A key may have been taken away while the store was out of reach; one
    # that is unknown may have been added. So neither is decided then.
    if not catalog.can_trust_keys(now):
        raise StaleError('the keys of accounts are too old', step='check-key')
    account = declaration.accounts.get(ask.api_key)
    if account is None:
        _check_current(catalog, 'check-key', now)
        raise UnknownKeyError('no account has the key', step='check-key')
    return account


def _check_current(catalog, step, now):
    """Raise where a newer declaration may have what this one lacks.

    Callers do not come back after a denial, so it must be final.
    """
    if not catalog.can_trust_absence(now):
        raise StaleError(
            'the configuration is too old to deny the request', step=step
        )
