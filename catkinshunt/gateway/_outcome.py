"""Records how a request ended, in the metrics and in the log."""

from catkinshunt import logs

_log = logs.get_logger('exchange')


def record(exchange, outcome, reason):
    """Count and log a request that has ended.

    Args:
        exchange: the `Exchange`. Its `info` and `decision` are None if the
            request ended before they were known.
        outcome: `'answered'`, `'left'`, or the code of the error.
        reason: text of the error, or None.
    """
    context, progress = exchange.context, exchange.progress
    info, decision = exchange.info, exchange.decision
    took_s = context.clock() - exchange.req.received_at
    service = decision.service if decision else ''
    context.metrics.record(service, outcome, took_s, progress)
    stop = _quarantine_fields(exchange.quarantine_check)
    if stop:
        kind = 'whole' if stop['prompt_part'] is None else 'part'
        context.metrics.record_stop(kind)
    age_s = context.catalog.age_s(context.boot_clock())
    _log.info(
        'Request {} ended as {}.',
        info.id if info else '?',
        outcome,
        request=info.id if info else None,
        outcome=outcome,
        reason=reason,
        service=service,
        rule=decision.rule if decision else None,
        account=decision.account if decision else None,
        revision=_revision(exchange),
        age_s=_rounded(age_s),
        before_s=_rounded(progress.prior_wait_s),
        waited_s=_rounded(progress.entry_wait_s),
        # The notes on each step; `sends` is the count of attempts.
        tries=progress.notes,
        sends=progress.sends,
        **stop,
        events_to=progress.last_event_id,
        first_s=_rounded(progress.first_s),
        took_s=_rounded(took_s),
    )


def _quarantine_fields(check):
    """Return log fields on what the quarantine rejected.

    Args:
        check: `QuarantineCheck` of the request, or None.

    Returns:
        An empty dict if it did not reject the request. The part is None if
        it rejected the request as a whole.
    """
    if check is None or check.blocked_trait is None:
        return {}
    return {
        'fingerprint': check.blocked_trait,
        'prompt_part': check.blocked_part,
    }


def _revision(exchange):
    """Return the revision in force, also for a rejected request."""
    if exchange.decision is not None:
        return exchange.decision.revision
    declaration = exchange.context.catalog.declaration
    return declaration.revision if declaration else None


def _rounded(seconds):
    return None if seconds is None else round(seconds, 4)
