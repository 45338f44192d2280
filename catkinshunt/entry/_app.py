"""The WSGI application that callers meet."""

import random
import time

from catkinshunt import base
from catkinshunt.entry import _relay
from catkinshunt.entry import _request
from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt.httpio import headers
from catkinshunt import logs
from catkinshunt import rules

RETRY_AFTER_S = 1.0
_PASSED_ON = ('Content-Type', 'Content-Length', 'Model-Version')
_log = logs.get_logger('routing')


class EntryApp(base.ParamsMixin):
    """Routes each request by the first rule that matches.

    Args:
        cfg: `settings.EntrySettings`.
        follower: holds the configuration in force.
        directory: `instances.Directory`.
        once: `AtMostOnce`.
    """

    def __init__(self, cfg, follower, directory, once):
        self.cfg = cfg
        self.follower = follower
        self.directory = directory
        self.once = once
        self._relay = _relay.Relay(httpio.ConnectionPool(), cfg.deployment_key)

    def __call__(self, environ, start_response):
        """Answer one request."""
        request_id = ''
        try:
            req = _request.CallerRequest.from_environ(
                environ, time.monotonic(), self.cfg.default_deadline_s
            )
            request_id = req.request_id
            resp = self._answer(req)
        except errors.RequestError as exc:
            _log.info('Request {} ended: {}', request_id, exc)
            resp = httpio.error_response(exc, request_id)
        return resp.send(start_response)

    def _answer(self, req):
        subject = req.subject(self.cfg.data_centre, self.cfg.region)
        rule = self.follower.current.rule_set.match(subject)
        if rule is None:
            raise errors.RefusedError(
                'no rule matches', step='match', retry_after_s=RETRY_AFTER_S
            )
        if isinstance(rule.then, rules.Refuse):
            raise errors.RefusedError(
                rule.then.reason,
                step='match',
                retry_after_s=rule.then.retry_after_s,
            )
        return self.once.answer(
            req,
            lambda: self._dispatch(req, rule),
            time.monotonic(),
            time.time(),
        )

    def _dispatch(self, req, rule):
        opened = self._open(req, rule)
        passed = tuple(
            (name, value)
            for name in _PASSED_ON
            if (value := opened.resp.getheader(name)) is not None
        )
        request_id = (headers.REQUEST_ID, req.request_id)
        return httpio.Response(
            opened.resp.status,
            self._relay.read(opened),
            (*passed, request_id),
        )

    def _open(self, req, rule):
        """Try upstreams until one takes the request."""
        candidates = self.directory.upstreams(rule.then.service)
        random.shuffle(candidates)
        refusal = errors.RefusedError(
            'no upstream', step='route', retry_after_s=RETRY_AFTER_S
        )
        for upstream in candidates:
            _log.info(
                'Request {} by rule {} goes to {} of {}.',
                req.request_id,
                rule.name,
                upstream.name,
                len(candidates),
            )
            try:
                return self._relay.open(
                    req, rule.then, upstream.address, time.monotonic()
                )
            except errors.RefusedError as exc:
                refusal = exc
        raise refusal
