"""The WSGI application that serves callers."""

import time

import attrs

from catkinshunt import base
from catkinshunt.entry import _concurrency
from catkinshunt.entry import _delivery
from catkinshunt.entry import _relay
from catkinshunt.entry import _request
from catkinshunt.entry import _upstream_selector
from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt import logs
from catkinshunt import retries
from catkinshunt import routing
from catkinshunt import rules

RETRY_AFTER_S = 1.0
_log = logs.get_logger('routing')


class EntryApp(base.ParamsMixin):
    """Routes each request by the first matching rule.

    Args:
        cfg: `settings.EntrySettings`.
        config_replica: replica of the active configuration.
        directory: `instances.Directory`.
        at_most_once: `AtMostOnce`.
    """

    def __init__(self, cfg, config_replica, directory, at_most_once):
        self.cfg = cfg
        self.config_replica = config_replica
        self.directory = directory
        self.at_most_once = at_most_once
        self.limiter = _concurrency.ConcurrencyLimiter(cfg.threads)
        self._relay = _relay.Relay(
            httpio.ConnectionPool(),
            cfg.deployment_key,
            config_replica=config_replica,
        )
        self._retry = retries.RetryPolicy(retries.Budget())
        router = routing.Router(
            routing.PrefixAffinity(),
            entry=cfg.name,
            data_centre=cfg.data_centre,
            region=cfg.region,
        )
        self._selector = _upstream_selector.UpstreamSelector(router, directory)

    def __call__(self, environ, start_response):
        """Serve one request."""
        request_id = ''
        try:
            req = _request.CallerRequest.from_environ(
                environ, time.monotonic(), self.cfg.default_deadline_s
            )
            request_id = req.request_id
            resp = self._admit(req)
        except errors.RequestError as exc:
            _log.info(
                'Request failed with {code} (ran: {ran}): {cause}.',
                request_id=request_id,
                code=exc.code,
                ran=exc.ran,
                cause=exc,
            )
            resp = httpio.error_response(exc, request_id)
        return resp.send(start_response)

    def leave(self):
        """Reject new requests from now on."""
        self.limiter.leave()

    def _admit(self, req):
        self.limiter.acquire(req.account)
        try:
            resp = self._route(req)
        except BaseException:
            self.limiter.release(req.account)
            raise
        if isinstance(resp.body, list):
            self.limiter.release(req.account)
            return resp
        body = self.limiter.release_after(req.account, resp.body)
        return attrs.evolve(resp, body=body)

    def _route(self, req):
        rule_request = req.make_rule_request(
            self.cfg.data_centre, self.cfg.region
        )
        rule = self.config_replica.current.rule_set.match(rule_request)
        if rule is None:
            raise errors.RefusedError(
                'no rule matches the request',
                step='match',
                retry_after_s=RETRY_AFTER_S,
            )
        if isinstance(rule.then, rules.Refuse):
            raise errors.RefusedError(
                rule.then.reason,
                step='match',
                retry_after_s=rule.then.retry_after_s,
            )
        req = req.with_route_deadline(rule.then)
        return self.at_most_once.execute(
            req,
            lambda: self._deliver(req, rule),
            time.monotonic(),
            time.time(),
        )

    def _deliver(self, req, rule):
        return _delivery.Delivery(
            self._selector, self._relay, self._retry, req, rule
        ).deliver()
