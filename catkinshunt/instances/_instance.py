"""An entry of the instance list of the platform."""

import json
import sys

import attrs

from catkinshunt import checks
from catkinshunt import errors
from catkinshunt import httpio

LIVE = 'live'
LEAVING = 'leaving'
ENTRY = 'entry'
UPSTREAM = 'upstream'
_TEXT_FIELDS = ('name', 'role', 'service', 'data_centre', 'region', 'state')


@attrs.frozen(kw_only=True)
class Instance:
    """A machine with one process of the deployment.

    Attributes:
        name: unique name.
        role: ``entry`` or ``upstream``.
        service: service of its upstream; empty for an entry.
        data_centre: its data centre.
        region: region of that data centre.
        address: `httpio.Address` for requests.
        control_address: `httpio.Address` of the control port, or None.
        state: ``live`` or ``leaving``.
        started_at_ms: start of its process in Unix milliseconds, 0 if the
            list does not tell.
    """

    name: str
    role: str
    service: str
    data_centre: str
    region: str
    address: httpio.Address
    control_address: httpio.Address | None = None
    state: str = LIVE
    started_at_ms: int = 0

    @classmethod
    def from_listing(cls, value):
        """Decode one item of the list.

        Raises:
            errors.PeerError: the item is not a valid instance.
        """
        try:
            # Interning saves memory: thousands of instances share values.
            texts = {
                name: sys.intern(checks.check_text(value[name], name))
                for name in _TEXT_FIELDS
            }
            address = httpio.Address.parse(value['address'])
            return cls(
                **texts,
                address=address,
                control_address=_decode_control_address(value, address),
                started_at_ms=checks.check_count(
                    value.get('started_at_ms', 0), 'started_at_ms'
                ),
            )
        except (KeyError, TypeError, ValueError, AttributeError) as exc:
            raise errors.PeerError(
                f'invalid instance: {exc!r}', step='read-listing'
            ) from exc

    def to_listing(self):
        """Return the instance as an item of the list."""
        value = attrs.asdict(self, recurse=False)
        value['address'] = str(self.address)
        control = self.control_address
        value['control_address'] = str(control) if control else ''
        return value

    def to_canonical_json(self):
        """Return the item as canonical JSON, in bytes."""
        text = json.dumps(
            self.to_listing(), sort_keys=True, separators=(',', ':')
        )
        return text.encode()


def _decode_control_address(value, address):
    text = value.get('control_address')
    if not text:
        return None
    control = httpio.Address.parse(text)
    if control.host == address.host:
        return httpio.Address(address.host, control.port)
    return control
