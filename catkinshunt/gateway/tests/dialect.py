"""Header dialect used only by the tests."""

from catkinshunt import dispatch
from catkinshunt import errors
from catkinshunt.gateway import base

_OWN = frozenset(
    ['left-ms', 'api-key', 'account', 'upstream', 'rank', 'last-event-id']
)


class PlainDialect(base.BaseDialect):
    """Headers with plain names."""

    numbers_events = True

    def decode_request(self, req):
        headers = req.headers
        left_ms = headers.get('Left-Ms')
        if left_ms is not None and not left_ms.isdigit():
            raise errors.InvalidRequestError('Left-Ms is not a number')
        tokens_in, tokens_out = headers.get('Tokens', '0,0').split(',')
        return base.RequestInfo(
            id=headers.get('Request-Id', ''),
            host=headers.get('Host', ''),
            path=req.path,
            method=req.method,
            deadline_s=None if left_ms is None else int(left_ms) / 1000,
            api_key=headers.get('Api-Key', ''),
            model=headers.get('Model', ''),
            tokens_in=int(tokens_in),
            tokens_out=int(tokens_out),
            last_event_id=headers.get('Last-Event-Id', ''),
            prompt_parts=tuple(headers.get('Parts', '').split()[:-1]),
        )

    def upstream_headers(self, req, info, attempt):
        items = req.headers.end_to_end(without=_OWN)
        items.append(('Left-Ms', str(int(attempt.timeout_s * 1000))))
        items.append(('Upstream', attempt.upstream_id))
        items.append(('Account', attempt.account))
        items.append(('Last-Event-Id', attempt.last_event_id))
        if attempt.priority is not None:
            items.append(('Rank', str(attempt.priority)))
        return items

    def reply_request_id(self, head):
        return head.headers.get('Request-Id', '')

    def decode_reply(self, head):
        headers = head.headers
        load = headers.get('Load')
        back_off_s = headers.get('BackOff-S')
        return base.ReplyInfo(
            request_id=self.reply_request_id(head),
            is_signed=headers.get('Stamp') is not None,
            not_executed=headers.get('Not-Run') is not None,
            misdirected=head.status == 421,
            rate_limit_per_s=float(headers.get('Rate-Limit', 'inf')),
            is_leaving=headers.get('Leaving') is not None,
            back_off_s=float(back_off_s) if back_off_s else None,
            load=dispatch.Load(*map(int, load.split(','))) if load else None,
            closes_connection='close'
            in (headers.get('Connection') or '').lower(),
        )

    def reply_headers(self, info):
        return [('Request-Id', info.id)] if info is not None else []
