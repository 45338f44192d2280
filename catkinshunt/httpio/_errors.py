"""Decodes the JSON errors that processes of the system return."""

from catkinshunt import checks
from catkinshunt import errors


def read_error(body, peer):
    """Return the `errors.RequestError` that a reply body describes.

    Args:
        body: the complete body.
        peer: address of the sender.

    Examples:
        >>> body = b'{"error": {"code": "leaving", "ran": "no"}}'
        >>> read_error(body, '127.0.0.1:1')
        LeavingError('leaving')
    """
    try:
        given = checks.load_json(body)['error']
        kind = _find_error_class(given['code'], given['ran'])
        message = str(given.get('message', given['code']))
        step = str(given.get('step', ''))
        retry_after_s = given.get('retry_after_s')
    except (ValueError, KeyError, TypeError, AttributeError):
        return errors.OutcomeUnknownError(
            'unreadable error', step='read', peer=peer
        )
    if not isinstance(retry_after_s, (int, float)):
        retry_after_s = None
    return kind(message, step=step, peer=peer, retry_after_s=retry_after_s)


def _find_error_class(code, ran):
    """Return the error class with this `code` and `ran`."""
    kinds = [errors.RequestError]
    while kinds:
        kind = kinds.pop()
        if kind.code == code and kind.ran == ran:
            return kind
        kinds.extend(kind.__subclasses__())
    if ran == 'no':
        return errors.RefusedError
    return errors.OutcomeUnknownError
