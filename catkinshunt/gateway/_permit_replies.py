"""What the replies of sidecars to permit requests mean for a request."""

from catkinshunt import permits


def is_reloading(reply):
    """Return whether an engine is about to load another version."""
    rejected = isinstance(reply, permits.PermitRejected)
    return rejected and reply.reason == permits.RELOADING


def takes_no_requests(reply):
    """Return whether an engine takes no requests, whatever its load."""
    return isinstance(reply, permits.EngineLeaving) or is_reloading(reply)


def describe(reply):
    """Return a log note on a reply, or on None for no reply."""
    if reply is None:
        return 'sidecar unresponsive'
    if isinstance(reply, permits.PermitRejected):
        return f'rejected, {reply.reason}'
    return reply.kind


def rejection(replies, hosts):
    """Return the error for a request that got no permit.

    Args:
        replies: last replies of the sidecars that replied.
        hosts: their IP addresses.
    """
    closed = [reply for reply in replies if takes_no_requests(reply)]
    full = [
        reply
        for reply in replies
        if isinstance(reply, permits.PermitRejected)
        and not is_reloading(reply)
    ]
    if closed and not full:
        return permits.ReloadingError(
            'all engines whose sidecars rejected the request leave or are'
            ' about to load another version',
            step='take-place',
        )
    return permits.NoPermitError(
        f'no permit was granted ({len(full)} sidecars had none free)',
        step='take-place',
        peer=', '.join(hosts),
        retry_after_s=full[0].retry_after_s if full else None,
    )
