"""The WSGI application that callers meet."""

import time

import attrs

from catkinshunt import base
from catkinshunt.entry import _delivery
from catkinshunt.entry import _upstream_selector
from catkinshunt.entry import _concurrency
from catkinshunt.entry import _relay
from catkinshunt.entry import _request
from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt import logs
from catkinshunt import retries
from catkinshunt import routing
from catkinshunt import rules

RETRY_AFTER_S = 1.0
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
        self.gate = _concurrency.Gate(cfg.threads)
        self._relay = _relay.Relay(
            httpio.ConnectionPool(),
            cfg.deployment_key,
            config_replica=follower,
        )
        self._retry = retries.RetryPolicy(retries.Budget())
        router = routing.Router(
            routing.PrefixAffinity(),
            entry=cfg.name,
            data_centre=cfg.data_centre,
            region=cfg.region,
        )
        self._fleet = _upstream_selector.Fleet(router, directory)

    def __call__(self, environ, start_response):
        """Answer one request."""
        request_id = ''
        try:
            req = _request.CallerRequest.from_environ(
                environ, time.monotonic(), self.cfg.default_deadline_s
            )
            request_id = req.request_id
            resp = self._admit(req)
        except errors.RequestError as exc:
            _log.info(
                'Ended as {code}, ran {ran}: {cause}.',
                request_id=request_id,
                code=exc.code,
                ran=exc.ran,
                cause=exc,
            )
            resp = httpio.error_response(exc, request_id)
        return resp.send(start_response)

    def leave(self):
        """Refuse new requests from now on."""
        self.gate.leave()

    def _admit(self, req):
        self.gate.begin(req.account)
        try:
            resp = self._answer(req)
        except BaseException:
            self.gate.end(req.account)
            raise
        if isinstance(resp.body, list):
            self.gate.end(req.account)
            return resp
        held = self.gate.hold(req.account, resp.body)
        return attrs.evolve(resp, body=held)

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
        req = req.for_route(rule.then)
        return self.once.answer(
            req,
            lambda: self._deliver(req, rule),
            time.monotonic(),
            time.time(),
        )

    def _deliver(self, req, rule):
        return _delivery.Delivery(
            self._fleet, self._relay, self._retry, req, rule
        ).answer()
