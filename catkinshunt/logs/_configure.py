"""Configures the destination and format of log lines."""

import functools
import json
import sys
import time
import traceback

import loguru

from catkinshunt.logs import _libraries

#: Longer messages are truncated; a message may contain text of a caller.
MAX_MESSAGE_CHARS = 2000
_REDACTED = '(hidden)'
#: Lines of this severity or above are few and always written.
_WARNING_LEVEL = 30
#: Fields that could contain a caller's text or a key; their values are never
#: written.
_REDACTED_FIELDS = frozenset(
    ['prompt', 'body', 'text', 'payload', 'deployment_key']
)
_FIXED_FIELDS = frozenset(['prefix', 'request_id'])
#: Line breaks in untrusted values would allow forged log lines.
_ESCAPES = {code: f'\\x{code:02x}' for code in (*range(32), 127)}
_ESCAPES |= {code: f'\\u{code:04x}' for code in (0x85, 0x2028, 0x2029)}


def configure(
    log_format='plain', level='INFO', secrets=(), stream=None, budget=None
):
    """Write the lines of all loggers to one stream.

    Args:
        log_format: ``'plain'``, or ``'json'`` for one object a line.
        level: name of the least severe level that is written.
        secrets: strings that are redacted in every line.
        stream: a text stream; standard error if None.
        budget: `LineRateLimiter` for lines below warnings; None for no
            limit.

    Examples:
        >>> import sys
        >>> from catkinshunt import logs
        >>> logs.configure(level='INFO', stream=sys.stdout)
        >>> log = logs.get_logger('routing')
        >>> with logs.request('r-1'):
        ...     log.info('Chose {}.', 'engine-2')  # doctest: +ELLIPSIS
        20... INFO routing: [r-1] Chose engine-2.
    """
    format_record = _format_json if log_format == 'json' else _format_plain
    secrets = tuple(filter(None, secrets))
    sink = _Sink(format_record, secrets, stream or sys.stderr, budget)
    loguru.logger.remove()
    # `diagnose` would write the values of variables, including keys.
    loguru.logger.add(
        sink,
        level=level,
        format=_message_only,
        backtrace=False,
        diagnose=False,
    )
    _libraries.bridge_libraries()


def _message_only(_record):
    """Return a minimal format, since `_Sink` formats the record."""
    return '{message}'


class _Sink:
    """Writes each record as one line."""

    def __init__(self, format_record, secrets, stream, budget=None):
        self.format_record = format_record
        self.secrets = secrets
        self.stream = stream
        self.budget = budget

    def __call__(self, message):
        if self.budget is not None and not self._allows(message.record):
            return
        self._write(message.record)

    def _allows(self, record):
        prefix = record['extra'].get('prefix', 'main')
        if record['level'].no >= _WARNING_LEVEL:
            return True
        if not self.budget.allow(prefix, record['time'].timestamp()):
            return False
        left_out = self.budget.pop_dropped()
        if left_out:
            record['extra']['left_out'] = left_out
        return True

    def _write(self, record):
        line = self.format_record(record)
        for secret in self.secrets:
            line = line.replace(secret, _REDACTED)
        self.stream.write(line + '\n')
        self.stream.flush()


def _format_plain(record):
    extra = record['extra']
    request_id = extra.get('request_id')
    request_tag = f'[{_sanitize(str(request_id))}] ' if request_id else ''
    return (
        f'{_format_time(record)} {record["level"].name} '
        f'{extra.get("prefix", "main")}: {request_tag}'
        f'{_format_message(record)}'
    )


def _format_json(record):
    extra = record['extra']
    value = {
        'time': _format_time(record),
        'level': record['level'].name,
        'prefix': extra.get('prefix', 'main'),
        'request_id': extra.get('request_id'),
        'message': _format_message(record),
    }
    for name, field in extra.items():
        if name not in _FIXED_FIELDS:
            value[name] = _REDACTED if name in _REDACTED_FIELDS else field
    return json.dumps(value, default=str)


def _format_time(record):
    """Return the time of the record in UTC with milliseconds."""
    stamp = record['time'].timestamp()
    seconds = int(stamp)
    return f'{_format_seconds(seconds)}.{int((stamp - seconds) * 1000):03d}Z'


@functools.lru_cache(maxsize=2)
def _format_seconds(seconds):
    """Return `seconds` as date and time, cached for lines of a second."""
    return time.strftime('%Y-%m-%dT%H:%M:%S', time.gmtime(seconds))


def _format_message(record):
    message = _sanitize(record['message'])
    if record['exception'] is not None:
        message += f' ({_sanitize(_format_exception(record["exception"]))})'
    return message


def _sanitize(message):
    if len(message) > MAX_MESSAGE_CHARS:
        message = message[:MAX_MESSAGE_CHARS] + '...'
    return message if message.isprintable() else message.translate(_ESCAPES)


def _format_exception(exception):
    """Return an exception with its traceback, innermost frame first."""
    frames = traceback.extract_tb(exception.traceback)[::-1]
    locations = ' < '.join(
        f'{frame.filename.rpartition("/")[2]}:{frame.lineno}'
        for frame in frames
    )
    return f'{exception.type.__name__}: {exception.value} at {locations}'
