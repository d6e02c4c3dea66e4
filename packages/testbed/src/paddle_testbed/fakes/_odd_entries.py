"""Entries of other writers in the platform's list, as JSON texts by kind.

None of them names a server; the others in the list must hold. Nothing listens
at the address in most of them.
"""

import json

ENTRY = {
    'identifier': 'i-odd',
    'service': 'plain',
    'address': '127.0.0.1:9',
    'zone': 'z1',
    'version': 'v1',
    'slots': 6,
    'state': 'ready',
}
DEPTH = 100_000


def odd_entry(**fields):
    return json.dumps({**ENTRY, **fields})


def entry_with(field, text):
    """Return an entry with a field whose JSON text is given."""
    return f'{odd_entry()[:-1]}, "{field}": {text}}}'


ODD_ENTRIES = {
    'surrogate_in_identifier': odd_entry(identifier='\ud800'),
    'surrogate_in_service': odd_entry(service='\ud800'),
    'surrogate_in_zone': odd_entry(zone='\ud800'),
    'surrogate_in_address': odd_entry(address='\ud800:80'),
    'line_break_in_identifier': odd_entry(identifier='i-9\r\nHost: other'),
    'line_break_in_service': odd_entry(service='a\nb'),
    'host_name': odd_entry(address='odd.example:80'),
    'port_too_large': odd_entry(address='127.0.0.1:70000'),
    'port_of_many_digits': odd_entry(address='127.0.0.1:' + '9' * 5_000),
    'port_of_other_digits': odd_entry(address='127.0.0.1:\u00b2'),
    'slots_too_large': odd_entry(slots=2**40),
    'slots_of_many_digits': entry_with('slots', '9' * 5_000),
    'leaves_ms_1e300': odd_entry(state='draining', leaves_ms=1e300),
    'leaves_ms_1e999': entry_with('leaves_ms', '1e999'),
    'leaves_ms_nan': odd_entry(leaves_ms=float('nan')),
    'nested_lists': '[' * DEPTH + ']' * DEPTH,
    'nested_objects': '{"a":' * DEPTH + '1' + '}' * DEPTH,
    'nested_field': entry_with('models', '[' * DEPTH + ']' * DEPTH),
    'not_json': '{"identifier": i-odd, "service": plain}',
    'control_character': '"\x01"',
}
