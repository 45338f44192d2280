"""Decodes and encodes the headers of callers and upstreams."""

import re

from catkinshunt import errors
from catkinshunt.gateway import base
from catkinshunt.platform import _reply_headers

#: Id that the caller gives to one of its attempts. It is forwarded unchanged,
#: also if the gateway sends the request to several upstreams.
REQUEST_ID = _reply_headers.REQUEST_ID
DEADLINE = 'Deadline-Ms'
#: API key of an account.
API_KEY = 'Key'
#: Name of the account.
ACCOUNT = 'Tenant'
MODEL = 'Model'
#: Prompt tokens and maximum of output tokens, separated by a comma.
TOKEN_COUNTS = 'Token-Counts'
#: Output tokens that the caller expects.
LENGTH_HINT = 'Length-Hint'
#: Parts of the prompt in order, as ID:TOKENS separated by commas.
PROMPT_PREFIX = 'Prompt-Prefix'
#: Most shared parts that are decoded, which are the first ones, and most texts
#: on parts that are left out.
MAX_PROMPT_PARTS = 16
#: Most characters of an invalid entry that such a text quotes.
_MAX_SHOWN_CHARS = 20
_PROMPT_PART = re.compile('([0-9a-f]{1,64}):[0-9]{1,18}')
LAST_EVENT = 'Last-Event-Id'
EXPECTED_UPSTREAM = 'Expect-Instance'
EXPECTED_VERSION = 'Expect-Version'
PRIORITY = 'Request-Priority'
#: Headers of a caller that are never forwarded; `upstream_headers`
#: sets some of them.
_REPLACED_HEADERS = frozenset(
    name.lower()
    for name in (
        DEADLINE,
        API_KEY,
        ACCOUNT,
        LAST_EVENT,
        EXPECTED_UPSTREAM,
        EXPECTED_VERSION,
        PRIORITY,
        'Path',
    )
)
_MS = 1000


class PlatformDialect(base.BaseDialect):
    """The headers that the platform specifies."""

    numbers_events = True

    def decode_request(self, req):
        """See `base.BaseDialect.decode_request`."""
        headers = req.headers
        hosts = headers.get_all('Host')
        if len(hosts) != 1:
            raise errors.InvalidRequestError(
                'one Host header is needed', step='read-request'
            )
        prompt_parts, omitted_parts = _parse_prompt_parts(
            headers.get_all(PROMPT_PREFIX)
        )
        tokens_in, max_out = _parse_token_counts(headers.get(TOKEN_COUNTS))
        return base.RequestInfo(
            id=headers.get(REQUEST_ID, ''),
            host=hosts[0].partition(':')[0].lower(),
            path=req.path,
            method=req.method,
            deadline_s=_parse_deadline(headers.get(DEADLINE)),
            api_key=headers.get(API_KEY, ''),
            model=headers.get(MODEL, ''),
            tokens_in=tokens_in,
            tokens_out=_parse_expected_output(
                headers.get(LENGTH_HINT), max_out
            ),
            last_event_id=_digits_or_empty(headers.get(LAST_EVENT)),
            prompt_parts=prompt_parts,
            omitted_parts=omitted_parts,
        )

    def upstream_headers(self, req, info, attempt):
        """See `base.BaseDialect.upstream_headers`."""
        items = req.headers.end_to_end(without=_REPLACED_HEADERS)
        left_ms = max(1, int(attempt.timeout_s * _MS))
        items.append((DEADLINE, str(left_ms)))
        items.append((EXPECTED_UPSTREAM, attempt.upstream_id))
        if attempt.account:
            items.append((ACCOUNT, attempt.account))
        if attempt.last_event_id:
            items.append((LAST_EVENT, attempt.last_event_id))
        if attempt.priority is not None:
            items.append((PRIORITY, str(attempt.priority)))
        return items

    def reply_request_id(self, head):
        """See `base.BaseDialect.reply_request_id`."""
        return _reply_headers.request_id(head)

    def decode_reply(self, head):
        """See `base.BaseDialect.decode_reply`."""
        return _reply_headers.decode(head)

    def reply_headers(self, info):
        """See `base.BaseDialect.reply_headers`."""
        return [(REQUEST_ID, info.id)] if info is not None and info.id else []


def _digits_or_empty(text):
    return text if text is not None and _reply_headers.is_count(text) else ''


def _parse_deadline(text):
    """Return seconds, or None if the header is missing or not a number."""
    if text is None or not _reply_headers.is_count(text.strip()):
        return None
    return int(text) / _MS


def _parse_token_counts(text):
    parts = (text or '').split(',')
    if len(parts) != 2 or not all(
        _reply_headers.is_count(part.strip()) for part in parts
    ):
        return 0, 0
    return int(parts[0]), int(parts[1])


def _parse_prompt_parts(values):
    """Return the ids of the shared parts, and texts on what is left out.

    The last part belongs to the request or its session, and is not shared.

    Args:
        values: values of the header, which are joined.
    """
    if not any(values):
        return (), ()
    entries = [entry.strip().lower() for entry in ','.join(values).split(',')]
    stated = [entry for entry in entries if entry]
    omitted = ['an empty entry'] * (len(entries) - len(stated))
    ids = []
    for entry in stated:
        match = _PROMPT_PART.fullmatch(entry)
        if match is None:
            omitted.append(f'unreadable {entry[:_MAX_SHOWN_CHARS]!a}')
        ids.append(match and match[1])
    last = ids.pop() if ids else None
    shared = [part for part in dict.fromkeys(ids) if part not in (None, last)]
    repeated = len(ids) - ids.count(None) - len(shared)
    omitted += ['a repeated entry'] * repeated
    if len(shared) > MAX_PROMPT_PARTS:
        omitted.append(f'{len(shared) - MAX_PROMPT_PARTS} beyond the limit')
    return tuple(shared[:MAX_PROMPT_PARTS]), _limit_texts(omitted)


def _limit_texts(texts):
    """Return `MAX_PROMPT_PARTS` texts at most; the last counts the rest."""
    if len(texts) > MAX_PROMPT_PARTS:
        left = len(texts) - MAX_PROMPT_PARTS + 1
        texts = [*texts[: MAX_PROMPT_PARTS - 1], f'{left} more']
    return tuple(texts)


def _parse_expected_output(text, max_tokens):
    """Return the caller's estimate, capped at the maximum if that is known.

    Without an estimate or a maximum, the maximum is returned.
    """
    expected = int(_digits_or_empty((text or '').strip()) or 0)
    return min(expected, max_tokens) if expected and max_tokens else max_tokens
