"""Checks that no answer is cut and that nothing runs for absent callers."""

import attrs

#: Seconds that entries and upstreams have to notice that a caller has left.
LEAVE_S = 0.5
#: Most requests that reach an upstream later than that, in one run.
MOST_LATE_ARRIVALS = 3
#: Most of them that go on later than that, and most as a share of those that
#: would have lasted so long.
MOST_LATE_ENDS, MOST_LATE_SHARE = 3, 0.25


@attrs.define
class Attempt:
    """A request at one upstream.

    Attributes:
        at: when it arrived.
        was_rejected: whether the upstream rejected it.
        replied_at: when the upstream sent the head of its reply, or None.
        ended_at: when the upstream ended its work, or None.
        was_reset: whether that was since its connection was closed.
    """

    request: str
    upstream: str
    at: float
    was_rejected: bool = False
    replied_at: float | None = None
    ended_at: float | None = None
    was_reset: bool = False


def find_cuts(answers, attempts, limit_s, is_entry_harmed, is_sound):
    """Return pairs of an answer that was cut and a sound attempt of it.

    An upstream that broke off excuses a cut, unless another one, which the
    entry had no reason to give up, had the request too: one that was only
    silent, or that was to resume the stream.

    Args:
        answers: `_records.Answer` objects.
        attempts: `Attempt` objects by request.
        limit_s: seconds after which a request may end without an answer.
        is_entry_harmed: function of an answer that returns whether its entry
            had a fault in that time.
        is_sound: function of an attempt and a time that returns whether its
            upstream and its link had no fault until then.
    """
    for answer in answers:
        if (
            answer.body is not None
            or answer.status not in (None, 200)
            or answer.gave_up
            or answer.ended_at - answer.sent_at >= limit_s
            or is_entry_harmed(answer)
        ):
            continue
        sound, broken = [], []
        for attempt in attempts[answer.request]:
            is_one = is_sound(attempt, answer.ended_at)
            (sound if is_one else broken).append(attempt)
        replies = [each.replied_at for each in broken if each.replied_at]
        for attempt in sound:
            was_replaced = any(at > attempt.at for at in replies)
            if not attempt.was_rejected and not was_replaced:
                yield answer, attempt
                break


def find_late_arrivals(answers, attempts, slack_s, is_entry_harmed, is_sound):
    """Return the requests that reached an upstream after their caller left.

    Args:
        answers: as for `find_cuts`.
        attempts: as for `find_cuts`.
        slack_s: seconds beyond `LEAVE_S`.
        is_entry_harmed: as for `find_cuts`.
        is_sound: as for `find_cuts`.
    """
    found = [
        answer.request
        for answer in answers
        if answer.gave_up and not is_entry_harmed(answer)
        for attempt in attempts[answer.request]
        if attempt.at > answer.ended_at + LEAVE_S + slack_s
        and is_sound(attempt, attempt.at)
    ]
    return found if len(found) > MOST_LATE_ARRIVALS else []


def find_late_ends(
    answers, attempts, slack_s, is_entry_harmed, is_sound, is_silent
):
    """Return the requests that were worked on after their caller left.

    Args:
        answers: as for `find_cuts`.
        attempts: as for `find_cuts`.
        slack_s: seconds beyond `LEAVE_S`.
        is_entry_harmed: as for `find_cuts`.
        is_sound: as for `find_cuts`.
        is_silent: function of an upstream and a time. What was reset there
            before would have lasted until then.
    """
    late, count = [], 0
    for answer in answers:
        if (
            not answer.gave_up
            or answer.kind != 'chat'
            or is_entry_harmed(answer)
        ):
            continue
        until = answer.ended_at + LEAVE_S
        for attempt in attempts[answer.request]:
            if attempt.at > answer.ended_at or not is_sound(attempt, until):
                continue
            if attempt.ended_at is None or attempt.ended_at > until + slack_s:
                late.append(answer.request)
            elif attempt.was_reset and is_silent(attempt.upstream, until):
                count += 1
    most = max(MOST_LATE_ENDS, MOST_LATE_SHARE * (count + len(late)))
    return late if len(late) > most else []
