"""Keys of the store, and the JSON documents in their values."""

import functools
import json

import attrs

from catkinshunt import catalog
from catkinshunt import checks
from catkinshunt import datagrams
from catkinshunt import http1
from catkinshunt.platform import _route_texts
from catkinshunt.platform import _settings
from catkinshunt import quarantine
from catkinshunt import rules
from catkinshunt import spread

OPERATOR_PREFIX = 'op/'
CONFIGURATION_KEY = OPERATOR_PREFIX + 'config'
VERSION_PREFIX = OPERATOR_PREFIX + 'version/'
#: Each upstream lists itself below this prefix.
UPSTREAM_PREFIX = 'servers/'
#: Keys that the system writes itself: one per live entry, per pending version,
#: per quarantined request, per suspect, and one for the origin of weights.
SYSTEM_PREFIX = 'catkinshunt/'
#: Prefixes that an entry watches.
WATCHED_PREFIXES = (OPERATOR_PREFIX, UPSTREAM_PREFIX, SYSTEM_PREFIX)
ENTRY_PREFIX = SYSTEM_PREFIX + 'entries/'
#: Versions that are pending: announced, but not due yet. Once a version is
#: due, no request may begin on an older one.
PENDING_PREFIX = SYSTEM_PREFIX + 'pending/'
QUARANTINE_PREFIX = SYSTEM_PREFIX + 'quarantine/'
SUSPECT_PREFIX = SYSTEM_PREFIX + 'suspects/'
#: Seconds from the last crash of a suspect to the end of the lease of its key.
#: No pause of a suspect lasts longer, so it is still known when it runs again.
SUSPECT_LEASE_S = 20.0
ORIGIN_KEY = SYSTEM_PREFIX + 'origin'
_STATES = ('ready', 'draining')
_MS = 1000.0
#: Raised by the use of a field that is missing or has the wrong type.
_FIELD_ERRORS = (KeyError, TypeError, AttributeError)


class InvalidDocumentError(ValueError):
    """A key or value of the store does not have the expected format."""


def pending_key(model, version):
    """Return the key that marks a version as pending."""
    return f'{PENDING_PREFIX}{model}/{version}'


def dump_pending(previous):
    """Return the value of the key of a pending version.

    Args:
        previous: version that was announced before it, or None.
    """
    return json.dumps(
        {} if previous is None else {'previous': previous}
    ).encode()


def parse_pending(value):
    """Return the previous version in the value of a pending version's key.

    Returns:
        None if there is none, or if the key is deleted.

    Raises:
        InvalidDocumentError: `value` is no document.
    """
    if value is None:
        return None
    return _get_int(parse_object(value), 'previous', 0) or None


def parse_pending_key(key):
    """Return (model, version) of the key of a pending version.

    Raises:
        InvalidDocumentError: the key has no model or no version number.
    """
    model, _, version = key.removeprefix(PENDING_PREFIX).rpartition('/')
    if not model or not version.isdigit():
        raise InvalidDocumentError(f'no model and version in key {key[:80]!r}')
    return model, int(version)


def quarantine_key(fingerprint):
    """Return the key that quarantines the request with this fingerprint."""
    return QUARANTINE_PREFIX + fingerprint


def dump_quarantine(for_s):
    """Return the value that quarantines a request for `for_s` seconds."""
    return json.dumps({'for_s': for_s}).encode()


def parse_quarantine(value):
    """Return the seconds for which a value quarantines a request.

    Raises:
        InvalidDocumentError: the value has no valid duration.
    """
    for_s = parse_object(value).get('for_s')
    if isinstance(for_s, bool) or not isinstance(for_s, (int, float)):
        raise InvalidDocumentError(f'for_s is {for_s!r}, not a number')
    return for_s


def suspect_key(suspect):
    """Return the key with the crashes of a suspected request."""
    return SUSPECT_PREFIX + suspect


def dump_suspect(reports, unix_time):
    """Return the value with the crashes of a suspect.

    Args:
        reports: messages of `quarantine.split_crash_report`, with ages that
            count back from now.
        unix_time: present Unix time in seconds.
    """
    crashes = [json.loads(quarantine.dump(report)) for report in reports]
    document = {'written_at': unix_time, 'crashes': crashes}
    return json.dumps(document).encode()


def parse_suspect(value):
    """Return the Unix time of writing and the messages on the crashes.

    Raises:
        InvalidDocumentError: the value has no valid time or crashes.
    """
    document = parse_object(value)
    written_at = document.get('written_at')
    if isinstance(written_at, bool) or not isinstance(
        written_at, (int, float)
    ):
        raise InvalidDocumentError(f'written_at is {written_at!r}')
    crashes = document.get('crashes')
    if not isinstance(crashes, list):
        raise InvalidDocumentError('crashes is not a list')
    try:
        found = [quarantine.load(json.dumps(row).encode()) for row in crashes]
    except datagrams.DecodeError as exc:
        raise InvalidDocumentError(f'crashes: {exc}') from exc
    kinds = (quarantine.CrashReport, quarantine.PartsCrashReport)
    if not all(isinstance(each, kinds) for each in found):
        raise InvalidDocumentError('crashes has another message')
    return written_at, found


def dump_location(location):
    """Return the value of an entry's key for a `catalog.EntryLocation`."""
    return json.dumps(
        {'host': location.host, 'region': location.region}
    ).encode()


def parse_location(value):
    """Return the `catalog.EntryLocation` in the value of an entry's key.

    Raises:
        InvalidDocumentError: the value has no valid location.
    """
    document = parse_object(value)
    return catalog.EntryLocation(
        _get_str(document, 'host'), _get_str(document, 'region')
    )


def dump_origin(origin):
    """Return the value that publishes a `catalog.Origin`."""
    host, port = origin.address
    document = {
        'address': f'{host}:{port}',
        'data_centre': origin.data_centre,
        'link_mbps': origin.link_mbps,
        'max_connections': origin.max_connections,
        'models': origin.models,
    }
    return json.dumps(document).encode()


def parse_published_origin(value):
    """Return the `catalog.Origin` in the value of the origin's key.

    Raises:
        InvalidDocumentError: the value has no valid origin.
    """
    document = parse_object(value)
    mbps = document.get('link_mbps')
    if isinstance(mbps, bool) or not isinstance(mbps, (int, float)):
        raise InvalidDocumentError(f'link_mbps is {mbps!r}, not a number')
    try:
        address = _settings.parse_address(_get_str(document, 'address'))
    except ValueError as exc:
        raise InvalidDocumentError(str(exc)) from exc
    return catalog.Origin(
        address,
        _get_str(document, 'data_centre', ''),
        mbps,
        _get_int(document, 'max_connections'),
        _parse_published_models(document),
    )


def _parse_published_models(document):
    """Return the names of models by service."""
    models = document.get('models', {})
    if not isinstance(models, dict):
        raise InvalidDocumentError(f'models is {models!r}, not an object')
    for names in models.values():
        if not isinstance(names, list) or not all(
            isinstance(name, str) for name in names
        ):
            raise InvalidDocumentError(f'models has {names!r}, not names')
    return {service: tuple(names) for service, names in models.items()}


def parse_object(value):
    """Return the JSON object in `value`.

    Raises:
        InvalidDocumentError: `value` is not a JSON object.
    """
    try:
        document = checks.load_json(value)
    except ValueError as exc:
        raise InvalidDocumentError('not JSON') from exc
    if not isinstance(document, dict):
        raise InvalidDocumentError('not a JSON object')
    return document


def _get_int(document, name, default=None):
    value = document.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int):
        raise InvalidDocumentError(f'{name} is {value!r}, not an integer')
    return value


def _get_str(document, name, default=None):
    value = document.get(name, default)
    if not isinstance(value, str):
        raise InvalidDocumentError(f'{name} is {value!r}, not a string')
    return value


def parse_upstream(upstream_id, value):
    """Return the `catalog.Upstream` that `value` describes.

    Raises:
        InvalidDocumentError: `value` describes no usable upstream. Other
            programs may write keys below the prefix too.
    """
    document = parse_object(value)
    state = _get_str(document, 'state')
    if state not in _STATES:
        raise InvalidDocumentError(
            f'state is {state!r}, not ready or draining'
        )
    try:
        address = _settings.parse_address(_get_str(document, 'address'))
    except ValueError as exc:
        raise InvalidDocumentError(str(exc)) from exc
    slots = document.get('slots', 1)
    if isinstance(slots, bool) or not isinstance(slots, int) or slots < 1:
        raise InvalidDocumentError(
            f'slots is {slots!r}, not a positive integer'
        )
    return catalog.Upstream(
        id=upstream_id,
        service=_get_str(document, 'service'),
        address=address,
        # 'zone' is the data centre, 'born' the start in ms of Unix time.
        data_centre=_get_str(document, 'zone', ''),
        started_at_ms=_get_int(document, 'born', 0),
        leaving=state == 'draining',
        versions=_parse_versions(document),
        slots=slots,
    )


def _parse_versions(document):
    """Return the completely loaded version by model.

    Returns:
        None for a plain service, whose document has no `models`.
    """
    models = document.get('models')
    if models is None:
        return None
    if not isinstance(models, list):
        raise InvalidDocumentError('models is not a list')
    found = {}
    for model in models:
        if not isinstance(model, dict):
            raise InvalidDocumentError('an item of models is not an object')
        found[_get_str(model, 'name')] = _get_int(model, 'version')
    return found


def parse_engine_report(value):
    """Return the `spread.EngineReport` in an engine's answer.

    Raises:
        InvalidDocumentError: the answer is not a valid report.
    """
    document = parse_object(value)
    return spread.EngineReport(
        versions=_parse_versions(document) or {},
        is_loading=bool(document.get('busy')),
        request_count=_get_int(document, 'active', 0)
        + _get_int(document, 'queued', 0),
        started_at_ms=_get_int(document, 'born', 0),
    )


def parse_staged_chunks(value):
    """Return the indices of the staged chunks in an engine's answer.

    Raises:
        InvalidDocumentError: the answer has no list of them.
    """
    # 'held' lists the indices of the staged chunks.
    indices = parse_object(value).get('held')
    if not isinstance(indices, list):
        raise InvalidDocumentError('held is not a list')
    return [index for index in indices if type(index) is int and index >= 0]


def parse_version(value):
    """Return (model, version) that the operator announced.

    Raises:
        InvalidDocumentError: `value` has no model or no version.
    """
    document = parse_object(value)
    return _get_str(document, 'model'), _get_int(document, 'version')


@attrs.frozen(slots=False)
class _ParsedDeclaration(catalog.Declaration):
    """A declaration with the text of its routes, to parse the next one."""

    routes: _route_texts.Routes = attrs.field(
        kw_only=True, eq=False, repr=False
    )


def parse_declaration(value, previous=None):
    """Return the `catalog.Declaration` in the operator's configuration.

    Args:
        value: the configuration as bytes.
        previous: declaration in force, whose unchanged rules are reused; None
            for none.

    Raises:
        InvalidDocumentError: a field is missing or has the wrong type.
    """
    steps = declaration_steps(value, previous)
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            return stop.value


def declaration_steps(value, previous=None):
    """Do the same as `parse_declaration` in steps.

    Yields:
        None, at the end of each step.
    """
    known = None
    if isinstance(previous, _ParsedDeclaration):
        known = previous.routes
    try:
        document, routes = yield from _route_texts.parse_steps(
            value, _parse_rule, known
        )
    except (ValueError, *_FIELD_ERRORS, RecursionError):
        return parse_whole_declaration(value)
    yield
    listed = routes.sort(known)
    yield
    if known is None:
        rule_set = rules.RuleSet(listed)
    else:
        rule_set = previous.rule_set.revised(listed)
    yield
    return _make_declaration(
        document,
        rule_set,
        functools.partial(_ParsedDeclaration, routes=routes),
    )


def parse_whole_declaration(value):
    """Return the `catalog.Declaration`; parse all routes.

    Raises:
        InvalidDocumentError: a field is missing or has the wrong type.
    """
    document = parse_object(value)
    try:
        rule_set = rules.RuleSet(_parse_rules(document))
    except _FIELD_ERRORS as exc:
        raise InvalidDocumentError(f'configuration: {exc!r}') from exc
    return _make_declaration(document, rule_set, catalog.Declaration)


def _make_declaration(document, rule_set, make):
    try:
        return make(
            # 'version' is the revision of the configuration.
            revision=_get_int(document, 'version'),
            rule_set=rule_set,
            services={
                item['name']: _parse_service(item)
                for item in document['services']
            },
            accounts=_parse_accounts(document),
            account_priorities=_parse_priorities(document),
            limits=_parse_limits(document.get('limits') or {}),
        )
    except _FIELD_ERRORS as exc:
        raise InvalidDocumentError(f'configuration: {exc!r}') from exc


def _parse_rules(document):
    """Return one rule per route, longest path first.

    The platform applies the longest matching path, a rule set the first
    matching rule.
    """
    routes = sorted(
        document['routes'], key=lambda item: -len(item['path_prefix'])
    )
    return [_parse_rule(item) for item in routes]


def _parse_rule(item):
    clauses = (
        rules.Clause('host', rules.Equal(item['host'].lower())),
        rules.Clause('path', rules.Prefix(item['path_prefix'])),
    )
    return rules.Rule(
        item['name'], rules.When('request', clauses), _parse_serve(item)
    )


def _parse_serve(item):
    split = item.get('split')
    if split:
        shares = [
            catalog.Share(part['service'], part['weight']) for part in split
        ]
    else:
        shares = [catalog.Share(item['service'], 1)]
    kind = item.get('route_kind')
    return catalog.Serve(
        shares=shares,
        timeout_s=item['timeout_ms'] / _MS,
        goal_s=item.get('goal_ms', item['timeout_ms']) / _MS,
        max_tries=item.get('max_attempts', 1),
        priority=item.get('priority', 0),
        idempotent=kind == 'idempotent',
        streaming=kind == 'streaming',
        resumable=bool(item.get('resumable')),
        public=bool(item.get('public')),
        # The longest gap between events defaults to 1 s.
        gap_target_s=item.get('gap_target_ms', _MS) / _MS,
    )


def _parse_service(item):
    origin = item.get('origin')
    return catalog.Service(
        name=item['name'],
        health_path=item.get('health_path', ''),
        max_connections=item.get('max_conns', 64),
        engine=_parse_engine(item.get('engine')),
        origin=None if origin is None else _parse_origin(item),
    )


def _parse_origin(item):
    return catalog.Origin(
        _settings.parse_address(item['origin']),
        item.get('zone', ''),
        item.get('link_mbps', 10.0),
        item.get('max_conns', 48),
    )


def _parse_engine(item):
    if not item:
        return None
    usual = item.get('usual') or {}
    models = item.get('models') or []
    default = catalog.EngineProfile()
    # 'per_seq_ms' is the time that each running request adds to a step,
    # 'read_per_s' the prompt tokens processed in a second, 'stride' the token
    # steps in one pass, 'usual' the mean tokens of a request, and 'warm_s'
    # the time to load a version.
    return catalog.EngineProfile(
        slots=item.get('slots', default.slots),
        step_s=item.get('step_ms', default.step_s * _MS) / _MS,
        step_s_per_request=item.get('per_seq_ms', 0.0) / _MS,
        prefill_tokens_per_s=item.get(
            'read_per_s', default.prefill_tokens_per_s
        ),
        steps_per_pass=item.get('stride', 1),
        mean_prompt_tokens=usual.get('prompt', default.mean_prompt_tokens),
        mean_output_tokens=usual.get('answer', default.mean_output_tokens),
        models=[model['name'] for model in models],
        chunks=item.get('chunks', 0),
        chunk_bytes=item.get('chunk_bytes', 0),
        load_s=max((model.get('warm_s', 0.0) for model in models), default=0),
    )


def _parse_accounts(document):
    """Return the account by API key; the platform calls accounts tenants."""
    tenants = document.get('tenants')
    if tenants is None:
        return None
    return {
        key: tenant['name'] for tenant in tenants for key in tenant['api_keys']
    }


def _parse_priorities(document):
    """Return the priority by account, for accounts that have one."""
    return {
        tenant['name']: tenant['priority']
        for tenant in document.get('tenants') or ()
        if isinstance(tenant.get('priority'), int)
    }


def _parse_limits(item):
    default = http1.Limits()
    return attrs.evolve(
        default,
        header_bytes=item.get('max_header_bytes', default.header_bytes),
        body_bytes=item.get('max_body_bytes', default.body_bytes),
        header_s=item.get('header_timeout_ms', default.header_s * _MS) / _MS,
        idle_s=item.get('idle_timeout_ms', default.idle_s * _MS) / _MS,
    )
