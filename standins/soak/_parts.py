"""Requests whose prompts share a part that crashes engines."""

import collections

import attrs

#: The part that crashes each engine that begins to write an answer on it.
CRASHING_PART = '91bd3f06'
#: First parts, and the second ones of sound requests.
FIRST_PARTS, SECOND_PARTS = ('5c1e07a2', '07d94be1'), ('b2a6610f', 'c3f57d18')
#: Tokens of the shared parts and of the last one.
TOKENS = (800, 410, 250)
#: Keys of callers with prompts, each of an account of its own.
KEYS = ('p0', 'p1', 'p2')
#: Callers whose requests have the crashing part, and others.
CRASHING_CALLERS, SOUND_CALLERS = 2, 6
#: Shortest and longest time until the first request with the crashing part,
#: in seconds.
BEGIN_S = (0.5, 2.0)
#: Crashes after which the part must be known; seconds after the last of them
#: from which on sound requests must be served again.
MOST_CRASHES, SERVED_AGAIN_S = 5, 6.0
#: Part of the share of other requests that begin to run, which sound requests
#: with the same account or first part must reach, and the fewest requests of
#: each kind that are compared.
SERVED_SHARE, FEWEST_REQUESTS = 0.5, 8


def dump_prompt(parts):
    """Return the header of a prompt of three parts."""
    return ','.join(f'{p}:{n}' for p, n in zip(parts, TOKENS, strict=True))


def has_crashing_part(prompt):
    """Return whether a prompt has the crashing part before its last part."""
    shared = prompt.split(',')[:-1]
    return CRASHING_PART in (part.partition(':')[0] for part in shared)


@attrs.frozen
class Late:
    """Runs of requests with the crashing part after it had to be known.

    Attributes:
        count: runs that entries in touch have sent.
        after_s: seconds from when it had to be known to the last of them.
    """

    count: int
    after_s: float


def find_late_runs(crash_times, runs, known_after_s, is_excused):
    """Return `Late` runs, or None if the part need not be known.

    Args:
        crash_times: when the part crashed engines, in order.
        runs: `_records.Run` objects of requests with the part.
        known_after_s: seconds after the last needed crash from which on it
            is known.
        is_excused: function of a run that returns whether the entry that sent
            it was out of touch.
    """
    if len(crash_times) < MOST_CRASHES:
        return None
    known_at = crash_times[MOST_CRASHES - 1] + known_after_s
    late = [r.at for r in runs if r.at > known_at and not is_excused(r)]
    return Late(len(late), max(late, default=known_at) - known_at)


def find_served_shares(crash_times, answers, ran, is_valid_key):
    """Return the shares of sound and other first tries that began to run.

    Requests count while those with the crashing part still come.

    Args:
        crash_times: when the part crashed engines, in order.
        answers: `_records.Answer` objects.
        ran: requests that began to run.
        is_valid_key: function of a key.

    Returns:
        Triples of what the requests with prompts have in common, the key or
        the first part, their share, and that of those without prompts; none
        for too few.
    """
    if len(crash_times) < MOST_CRASHES:
        return []
    since = crash_times[MOST_CRASHES - 1] + SERVED_AGAIN_S
    until = max(a.sent_at for a in answers if has_crashing_part(a.prompt))
    began = collections.defaultdict(list)
    for answer in answers:
        if (
            answer.kind == 'chat'
            and answer.is_first
            and since <= answer.sent_at <= until
            and not has_crashing_part(answer.prompt)
            and is_valid_key(answer.key)
        ):
            groups = ['']
            if answer.prompt:
                first = answer.prompt.partition(':')[0]
                groups = [f'key {answer.key}', f'first part {first}']
            for group in groups:
                began[group].append(answer.request in ran)
    shares = {
        group: sum(each) / len(each)
        for group, each in began.items()
        if len(each) >= FEWEST_REQUESTS
    }
    if '' not in shares:
        return []
    other = shares.pop('')
    return [(group, share, other) for group, share in sorted(shares.items())]
