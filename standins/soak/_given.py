"""Holds what callers got against what upstreams gave."""

import collections

import attrs

#: Share of the requests of callers that must be answered by upstreams while
#: these stutter.
SERVED_SHARE = 0.25


@attrs.frozen
class Given:
    """The reply of an upstream to a request.

    Attributes:
        request: the request that it states.
        status: its status.
    """

    request: str
    status: int


def upstream_of(stamp):
    """Return the name of the upstream that gave a signature."""
    return stamp.partition('.')[0]


def find_foreign(answer, given, body):
    """Return sentences on what a caller got that is not its own.

    Args:
        answer: `_records.Answer`.
        given: `Given` by signature.
        body: the whole body of a success.
    """
    if answer.status is None:
        return
    is_success = 200 <= answer.status < 300
    if not answer.stamp:
        if is_success:
            yield f'{answer.request} got a success without a signature'
        return
    reply = given.get(answer.stamp)
    if reply is None:
        yield f'{answer.request} got the unknown signature {answer.stamp!r}'
        return
    if reply.request != answer.request:
        yield (
            f'{answer.request} got the answer to {reply.request}, '
            f'{answer.stamp}'
        )
    if reply.status != answer.status:
        yield (
            f'{answer.request} got {answer.status} where '
            f'{answer.stamp} answered {reply.status}'
        )
    if is_success and not body.startswith(answer.part):
        yield f'{answer.request} got other bytes: {answer.part[:200]!r}'
    failed = failure_body(answer.request)
    if answer.status == 500 and answer.body not in (None, failed):
        yield f'{answer.request} got another failure: {answer.body[:80]!r}'


def failure_body(request):
    """Return the body of a failure."""
    return f'failed {request}'.encode()


def count_served(answers, revoked):
    """Return how many requests upstreams answered, and of how many.

    Args:
        answers: `_records.Answer` objects.
        revoked: keys that were removed.
    """
    counted = [a for a in answers if not a.gave_up and a.key not in revoked]
    served = sum(
        answer.body is not None
        and bool(answer.stamp)
        and answer.status in (200, 500)
        for answer in counted
    )
    return served, len(counted)


def find_lack(answers, revoked):
    """Return a sentence if too few requests were served."""
    served, sent = count_served(answers, revoked)
    if served >= SERVED_SHARE * sent:
        return []
    return [f'{served} of {sent} requests were served while upstreams stutter']


def count_wrong(answers, given):
    """Return what was given and got, by pairs of status, where they differ."""
    found = collections.Counter()
    for answer in answers:
        reply = given.get(answer.stamp)
        if reply is not None and reply.status != answer.status:
            found[reply.status, answer.status] += 1
    return found
