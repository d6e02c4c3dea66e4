"""Tests of the adapter: the platform's documents, headers and lists."""

import copy
import io
import json
import math
import random

import gevent
from hypothesis import given
from hypothesis import strategies as st
import pytest

from fleet_adapter import cloud
from fleet_adapter import configuration
from fleet_adapter import controller_role
from fleet_adapter import dialect
from fleet_adapter import gateway_role
from fleet_adapter import settings
import paddle_kernel
from paddle_router import controller
from paddle_router.controller import _fleet
from paddle_router import gateway
from paddle_router.gateway import _routes
from paddle_router import policy

VALID = {
    'version': 7,
    'routes': [
        {
            'name': 'r1',
            'host': 'h.example',
            'pathPrefix': '/a/',
            'kind': 'streaming',
            'timeoutMs': 12000,
            'targetLatencyMs': 250,
            'priority': 0,
            'service': 's1',
            'attempts': 2,
            'resumable': True,
            'targetGapMs': 250,
        },
        {
            'name': 'r2',
            'host': 'h.example',
            'pathPrefix': '/b/',
            'kind': 'unsafe',
            'timeoutMs': 800,
            'targetLatencyMs': 150,
            'split': [
                {'service': 's1', 'weight': 90},
                {'service': 's2', 'weight': 10},
            ],
        },
    ],
    'services': [
        {
            'name': 's1',
            'healthPath': '/health',
            'connectionLimit': 300,
            'engine': {'slots': 48, 'kvCacheTokens': 815644},
            'scaling': {
                'minimum': 1,
                'maximum': 6,
                'bootS': 4.0,
                'spotPrice': 0.18,
                'zonePrices': {'z1': 0.85},
            },
        },
        {'name': 's2', 'healthPath': '/health', 'connectionLimit': 100},
    ],
    'limits': {'maxBodyBytes': 100},
    'tenants': [{'name': 't1', 'accessKeys': ['k1', 'k2'], 'priority': 1}],
}


def build_document(**paths):
    document = copy.deepcopy(VALID)
    for path, value in paths.items():
        *parents, last = path.split('__')
        container = document
        for part in parents:
            container = container[int(part) if part.isdigit() else part]
        container[last] = value
    return json.dumps(document).encode()


def test_a_valid_document_is_decoded():
    configured = configuration.read(json.dumps(VALID).encode())
    assert configured.version == 7
    assert (
        configured.routes[0].can_resume and configured.routes[0].is_idempotent
    )
    assert [item.weight for item in configured.routes[1].services] == [90, 10]
    assert configured.customers['k2'].name == 't1'
    assert configured.services['s1'].scaling.boot_ms == 4000
    assert configured.limits.body_bytes == 100


@pytest.mark.parametrize(
    'content',
    [
        json.dumps(VALID).encode()[:-40],
        b'[]',
        b'null',
        build_document(version='7'),
        build_document(version=True),
        build_document(version=-1),
        build_document(routes__0__service='unknown'),
        build_document(routes__1__pathPrefix='/a/'),
        build_document(routes__1__split=[{'service': 's1', 'weight': 0}]),
        build_document(routes__0__timeoutMs=0),
        build_document(routes__0__kind='other'),
        build_document(routes=None),
        build_document(routes={}),
        build_document(routes__0__timeoutMs=math.inf),
        build_document(routes__0__timeoutMs=math.nan),
        build_document(routes__0__timeoutMs=10**400),
        build_document(routes__0__timeoutMs='12000'),
        build_document(routes__0__timeoutMs=True),
        build_document(routes__0__targetGapMs=-math.inf),
        build_document(routes__0__targetLatencyMs=[]),
        build_document(routes__0__priority='first'),
        build_document(routes__0__public='false'),
        build_document(routes__0__host='\ud800'),
        build_document(routes__0__pathPrefix=None),
        build_document(routes__0__name={}),
        build_document(routes__1__split=[{'service': 's1', 'weight': '1'}]),
        build_document(
            routes__1__split=2 * [{'service': 's1', 'weight': 1e308}]
        ),
        build_document(services__1__name='\udfff'),
        build_document(services__1__connectionLimit='100'),
        build_document(services__0__engine__slots=math.nan),
        build_document(services__0__engine=[1]),
        build_document(services__0__scaling__bootS=math.inf),
        build_document(services__0__scaling__zonePrices={'z1': None}),
        build_document(limits__maxBodyBytes=math.inf),
        build_document(limits__idleTimeoutMs='15000'),
        build_document(tenants__0__name='\ud800'),
        build_document(tenants__0__name='a\r\nb'),
        build_document(tenants__0__priority=math.nan),
        build_document(tenants__0__accessKeys='k1'),
        build_document(tenants__0__accessKeys=['\ud800']),
        json.dumps(VALID)
        .replace('"h.example"', '"\ud800"')
        .encode(errors='surrogatepass'),
        b'{"version": 7, "other": ' + b'[' * 100_000 + b']' * 100_000 + b'}',
        b'{"version": 7, "other": ' + b'9' * 5_000 + b'}',
        b'\xff',
        build_document(
            tenants=[
                {'name': 't1', 'accessKeys': ['k']},
                {'name': 't2', 'accessKeys': ['k']},
            ]
        ),
    ],
)
def test_an_invalid_document_is_rejected(content):
    # Guards against acknowledging an invalid configuration.
    with pytest.raises(gateway.ConfigurationError):
        configuration.read(content)


@pytest.mark.parametrize(
    'content',
    [
        build_document(version=2**64 - 1),
        build_document(other='\ud800', more=10**400),
        build_document(routes__0__timeoutMs=10**300),
        build_document(routes__0__timeoutMs=0.5),
        build_document(routes__0__priority=None),
        build_document(routes__0__priority=-1),
        build_document(routes__0__targetLatencyMs=250.5),
        build_document(routes__0__sticky=True, routes__0__split=None),
        build_document(services__0__engine=None, services__0__scaling=None),
        build_document(services__0__engine={}, services__1__tls=False),
        build_document(limits=None, tenants=None),
        build_document(tenants=[]),
        build_document(tenants__0__name='caf\xe9 \U0001f600'),
        build_document(tenants__0__accessKeys=None),
        json.dumps(VALID, ensure_ascii=False).encode('utf-16'),
    ],
)
def test_an_unusual_document_is_accepted(content):
    # Guards against rejecting a proper configuration.
    configured = configuration.read(content)
    assert 1 <= configured.routes[0].timeout_ms < 2**53


def test_an_error_names_place_value_and_remedy():
    content = build_document(routes__1__timeoutMs='soon')
    with pytest.raises(gateway.ConfigurationError) as caught:
        configuration.read(content)
    assert str(caught.value) == (
        "$.routes[1].timeoutMs: 'soon' is not allowed; use a finite number"
    )


ODD_VALUES = st.sampled_from(
    [math.inf, math.nan, 10**400, -(10**30), 1e300, '\ud800', '\r\n', '', [[]]]
) | st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(st.characters(exclude_categories=()), max_size=8),
    lambda values: (
        st.lists(values, max_size=3)
        | st.dictionaries(st.text(max_size=4), values, max_size=3)
    ),
    max_leaves=6,
)


def leaf_paths(value, path=()):
    """Yield the paths of all values in a document."""
    if path:
        yield path
    if isinstance(value, (dict, list)):
        names = value if isinstance(value, dict) else range(len(value))
        for name in names:
            yield from leaf_paths(value[name], (*path, name))


@given(
    st.lists(
        st.tuples(
            st.sampled_from(sorted(leaf_paths(VALID), key=repr)), ODD_VALUES
        ),
        min_size=1,
        max_size=3,
    )
)
def test_an_arbitrary_document_is_rejected_or_can_be_used(changes):
    # Guards against a document that is acknowledged and fails later.
    document = copy.deepcopy(VALID)
    for (*parents, last), value in changes:
        container = document
        try:
            for name in parents:
                container = container[name]
            container[last] = value
        except (IndexError, KeyError, TypeError):
            # An earlier change replaced this part of the document.
            continue
    try:
        configured = configuration.read(json.dumps(document).encode())
    except gateway.ConfigurationError as exc:
        str(exc).encode()
        return
    names = {item.name for item in (configured.customers or {}).values()}
    counts = [
        gateway.UsageCount(window=1, customer=name, requests=1)
        for name in names
    ]
    for item in counts:
        kind, data = paddle_kernel.codec.encode(item)
        assert paddle_kernel.codec.decode(kind, data) == item
    table = _routes.RouteTable(configured)
    for route in configured.routes:
        with gevent.Timeout(route.timeout_ms / 1_000):
            pass
        assert _routes.choose_service(route, random.Random(1))
        for customer in (configured.customers or {}).values():
            table.urgency(route, customer, route.services[0].service)
    for service in configured.services.values():
        assert service.connection_limit // 2 is not None


HEADERS = [
    (b'Host', b'h.example'),
    (b'Rosemarypaddle-Request-Id', b'r1'),
    (b'Rosemarypaddle-Model', b'm'),
    (b'Rosemarypaddle-Token-Counts', b'1460,80'),
    (b'Rosemarypaddle-Prompt-Prefix', b'5c:800,91:410,e4:250'),
    (b'Rosemarypaddle-Deadline-Milliseconds', b'12000'),
    (b'Authorization', b'Token secret1'),
    (b'Connection', b'keep-alive, X-Hop'),
    (b'X-Hop', b'1'),
    (b'X-Other', b'kept'),
    (b'X-Leak', b'k=secret1'),
    (b'Rosemarypaddle-Tenant', b'forged'),
    (b'Rosemarypaddle-Hold', b'forged'),
    (b'Kv-From', b'forged'),
]
CONTEXT = gateway.ForwardingContext(
    left_ms=900, server_id='i-1', customer='t1', urgency=2
)


def test_request_metadata_is_read():
    metadata = dialect.FleetDialect().parse_request_headers(HEADERS)
    assert metadata.request_id == 'r1' and metadata.key == 'secret1'
    assert (metadata.prompt_tokens, metadata.output_tokens) == (1460, 80)
    assert [part.id for part in metadata.parts] == ['5c', '91', 'e4']
    assert metadata.deadline_ms == 12000


@pytest.mark.parametrize('value', [b'+5', b'7_6', b'1.5', b'-3', b'x'])
def test_an_invalid_deadline_is_rejected(value):
    with pytest.raises(ValueError, match='deadline'):
        dialect.FleetDialect().parse_request_headers(
            [(b'Rosemarypaddle-Deadline-Milliseconds', value)]
        )


def test_a_server_receives_the_customer_and_no_access_key():
    # Guards against forwarding access keys and reserved headers of a client.
    sent = dialect.FleetDialect().forwarded_headers(HEADERS, CONTEXT)
    names = [name.lower() for name, _value in sent]
    found = {name.lower(): value for name, value in sent}
    assert not any(b'secret1' in value for _name, value in sent)
    assert found[b'rosemarypaddle-tenant'] == b't1'
    assert names.count(b'rosemarypaddle-tenant') == 1
    assert found[b'rosemarypaddle-deadline-milliseconds'] == b'900'
    assert found[b'rosemarypaddle-expect-instance'] == b'i-1'
    assert found[b'x-other'] == b'kept'
    for name in (b'rosemarypaddle-hold', b'kv-from', b'x-hop', b'connection'):
        assert name not in found


def test_another_gateway_receives_the_access_key_and_the_time_left():
    # Guards against relayed requests that are refused or run too long.
    adapter = dialect.FleetDialect()
    headers = [*HEADERS, (b'Last-Event-Id', b'3')]
    sent = adapter.relayed_headers(headers, 700, b'5')
    metadata = adapter.parse_request_headers(sent)
    assert metadata.key == adapter.parse_request_headers(HEADERS).key
    assert metadata.deadline_ms == 700
    assert metadata.last_event_id == b'5'
    names = [name.lower() for name, _value in sent]
    assert names.count(b'rosemarypaddle-deadline-milliseconds') == 1
    assert names.count(b'last-event-id') == 1
    assert b'connection' not in names
    kept = adapter.relayed_headers(headers, 700, None)
    assert adapter.parse_request_headers(kept).last_event_id == b'3'


@pytest.mark.parametrize(
    ('status', 'headers', 'has_run'),
    [
        (503, [(b'Rosemarypaddle-Not-Run', b'1')], False),
        (421, [], False),
        (503, [], True),
        (500, [], True),
    ],
)
def test_only_an_explicit_response_means_not_run(status, headers, has_run):
    # Guards against reporting a request that ran as not run.
    metadata = dialect.FleetDialect().parse_response_headers(status, headers)
    assert metadata.has_run is has_run


def test_an_invalid_load_is_ignored():
    parse_response_headers = dialect.FleetDialect().parse_response_headers
    name = b'Rosemarypaddle-Server-Load'
    assert parse_response_headers(200, [(name, b'3,0,8')]).load.slots == 8
    assert parse_response_headers(200, [(name, b'3,x,8')]).load is None
    assert parse_response_headers(200, [(name, b'3,0')]).load is None


@pytest.mark.parametrize(
    ('tail', 'pace_percent'),
    [
        (b'', None),
        (b',100', 100),
        (b', 250 ', 250),
        (b',99.6', 100),
        (b',100,7,x', 100),
        (b',', None),
        (b',,250', None),
        (b',0', None),
        (b',0.2', None),
        (b',-150', None),
        (b',+150', None),
        (b',1e3', None),
        (b',nan', None),
        (b',inf', None),
        (b',as usual', None),
        (b',\xff', None),
        (b',' + b'9' * 5_000, 2**31 - 1),
        (500 * b',250', 250),
    ],
)
def test_an_odd_pace_does_not_invalidate_the_load(tail, pace_percent):
    # Guards against servers whose load reports are all dropped because of a
    # figure after the first three.
    metadata = read_response(
        200,
        (b'Rosemarypaddle-Server-Load', b'3,1,8' + tail),
        (b'Server-Limit', b'5'),
    )
    assert metadata.load == gateway.Load(
        running=3, waiting=1, slots=8, pace_percent=pace_percent
    )
    assert metadata.limit_per_s == 5


def read_response(status, *headers):
    return dialect.FleetDialect().parse_response_headers(status, headers)


@pytest.mark.parametrize(
    ('value', 'leaves'), [(b'1', True), (b' 1 ', True), (b'0', False)]
)
def test_any_response_may_announce_that_a_server_leaves(value, leaves):
    for status in (200, 404, 500, 503):
        assert (
            read_response(status, (b'server-leaving', value)).is_leaving
            is leaves
        )
    assert not read_response(200).is_leaving


@pytest.mark.parametrize(
    ('value', 'limit_per_s'),
    [(b'1', 1.0), (b' 1.1 ', 1.1), (b'.5', 0.5), (b'0', 0.0)],
)
def test_any_response_may_name_a_limit(value, limit_per_s):
    for status in (200, 404, 500, 503):
        metadata = read_response(status, (b'server-limit', value))
        assert metadata.limit_per_s == limit_per_s
    assert read_response(200).limit_per_s is None


@pytest.mark.parametrize('value', [b'', b'-1', b'nan', b'1e3', b'two', b'1,1'])
def test_a_limit_that_is_no_decimal_number_is_invalid(value):
    metadata = read_response(200, (b'server-limit', value))
    assert metadata.limit_per_s is None
    assert metadata.invalid_limit == value.decode()


def test_a_limit_is_not_passed_on_to_callers():
    headers = [(b'Server-Limit', b'1'), (b'X-Other', b'1')]
    assert dialect.FleetDialect().response_headers(headers) == headers[1:]


@pytest.mark.parametrize(
    ('value', 'brittle_per_s'), [(b'2', 2.0), (b' 0.5 ', 0.5), (b'0', 0.0)]
)
def test_any_response_may_say_that_a_server_is_brittle(value, brittle_per_s):
    for status in (200, 404, 500, 503):
        metadata = read_response(status, (b'server-brittle', value))
        assert metadata.brittle_per_s == brittle_per_s
    assert read_response(200).brittle_per_s is None


@pytest.mark.parametrize('value', [b'', b'-1', b'nan', b'1e3', b'two', b'1,1'])
def test_a_number_of_rejections_that_is_no_decimal_is_invalid(value):
    metadata = read_response(200, (b'server-brittle', value))
    assert metadata.brittle_per_s is None
    assert metadata.invalid_brittle == value.decode()


def test_brittleness_is_not_passed_on_to_callers():
    headers = [(b'Server-Brittle', b'1'), (b'X-Other', b'1')]
    assert dialect.FleetDialect().response_headers(headers) == headers[1:]


@pytest.mark.parametrize(
    ('values', 'quiet_ms'),
    [
        ([b'2'], 2_000),
        ([b'0.25'], 250),
        ([b'.5'], 500),
        ([b'1', b'3'], 3_000),
        ([b'soon', b'3'], 3_000),
        ([b'-1'], None),
        ([b'1e3'], None),
        ([b'Fri, 04 Dec 2026 12:00:00 GMT'], None),
    ],
)
def test_retry_after_is_read_in_seconds(values, quiet_ms):
    headers = [(b'Retry-After', value) for value in values]
    metadata = read_response(503, *headers)
    assert metadata.quiet_ms == quiet_ms
    assert (metadata.invalid_quiet is None) == (quiet_ms is not None)
    # In other responses, Retry-After is addressed to the client.
    assert read_response(429, *headers).quiet_ms is None


LONG = b'9' * 5_000


def test_numbers_too_large_for_messages_are_bounded():
    # Guards against one header that costs a request, or a gateway the
    # exchange with its controller.
    metadata = dialect.FleetDialect().parse_request_headers(
        [
            (b'Rosemarypaddle-Token-Counts', b'1' + 30 * b'0' + b',' + LONG),
            (b'Rosemarypaddle-Length-Hint', LONG),
            (b'Rosemarypaddle-Deadline-Milliseconds', LONG),
            (b'Rosemarypaddle-Prompt-Prefix', b'5c:' + LONG),
        ]
    )
    for number in (
        metadata.prompt_tokens,
        metadata.output_tokens,
        metadata.length_hint,
        metadata.deadline_ms,
        metadata.parts[0].tokens,
    ):
        assert number == 2**31 - 1
    answer = read_response(
        503,
        (b'Rosemarypaddle-Server-Load', LONG + b',0,8'),
        (b'Retry-After', LONG),
        (b'Server-Limit', LONG),
        (b'Keep-Alive', b'timeout=' + LONG),
    )
    assert answer.load.running == 2**31 - 1 and answer.load.slots == 8
    assert math.isfinite(answer.quiet_ms)
    assert math.isfinite(answer.limit_per_s)
    assert answer.idle_ms >= 2**31 - 1


@pytest.mark.parametrize(
    'handle', ['a\r\nHost: h', 'a b', '\ud800', '\xe9', 'h' * 300]
)
def test_a_handle_that_no_header_can_carry_is_malformed(handle):
    # Guards against a server that adds headers to the next request.
    body = json.dumps({'handle': handle}).encode()
    with pytest.raises(ValueError):
        dialect.FleetDialect().parse_move_response(body)


@pytest.mark.parametrize(
    'made, events',
    [(9, 9), (None, 0), (-1, 0), (True, 0), ('9', 0), (2**40, 0)],
)
def test_an_unusable_count_of_events_is_unknown(made, events):
    # Guards against sound streams that are cut for a count that is none.
    body = json.dumps({'handle': 'h7', 'made': made}).encode()
    copy = dialect.FleetDialect().parse_move_response(body)
    assert (copy.handle, copy.events) == ('h7', events)


def test_a_deeply_nested_response_to_a_move_is_malformed():
    with pytest.raises(ValueError):
        dialect.FleetDialect().parse_move_response(b'[' * 100_000)


@given(
    st.integers(200, 599),
    st.lists(
        st.tuples(
            st.sampled_from(
                [
                    b'Retry-After',
                    b'Server-Leaving',
                    b'Keep-Alive',
                    b'Connection',
                    b'Rosemarypaddle-Server-Load',
                    b'Rosemarypaddle-Not-Run',
                    b'Rosemarypaddle-Request-Id',
                ]
            ),
            st.binary(max_size=40)
            | st.from_regex(rb'[0-9.,eE+-]{0,12}', fullmatch=True),
        ),
        max_size=6,
    ),
)
def test_arbitrary_response_headers_are_read(status, headers):
    metadata = read_response(status, *headers)
    assert metadata.quiet_ms is None or metadata.quiet_ms >= 0
    assert metadata.idle_ms is None or metadata.idle_ms >= 0
    pace_percent = metadata.load and metadata.load.pace_percent
    assert pace_percent is None or 1 <= pace_percent < 2**31


HEADER_VALUES = (
    st.binary(max_size=40)
    | st.from_regex(rb'[0-9.,:a-f =-]{0,30}', fullmatch=True)
    | st.sampled_from([LONG, b'1,' + LONG, b'5c:1,5d:' + LONG, b'.' + LONG])
)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(
                [
                    b'Rosemarypaddle-Token-Counts',
                    b'Rosemarypaddle-Length-Hint',
                    b'Rosemarypaddle-Deadline-Milliseconds',
                    b'Rosemarypaddle-Prompt-Prefix',
                    b'Rosemarypaddle-Request-Id',
                    b'Rosemarypaddle-Model',
                    b'Authorization',
                    b'Last-Event-Id',
                ]
            ),
            HEADER_VALUES,
        ),
        max_size=6,
    )
)
def test_accepted_request_headers_fit_into_reports(headers):
    # Guards against a request that costs the gateway its exchange.
    adapter = dialect.FleetDialect()
    try:
        metadata = adapter.parse_request_headers(headers)
    except ValueError:
        return
    assert 0 <= metadata.prompt_tokens + metadata.output_tokens < 2**32
    report = policy.CrashReport(
        id='r',
        server=policy.Incarnation('i-1'),
        at_ms=1,
        traits=metadata.shared_part_ids,
        sent_ms=1,
    )
    kind, data = paddle_kernel.codec.encode(report)
    assert paddle_kernel.codec.decode(kind, data) == report
    for name, value in adapter.forwarded_headers(headers, CONTEXT):
        assert isinstance(name, bytes) and isinstance(value, bytes)


@given(st.sampled_from([200, 503]), st.lists(HEADER_VALUES, max_size=3))
def test_accepted_response_headers_fit_into_reports(status, values):
    headers = [
        (name, value)
        for value in values
        for name in (b'Server-Limit', b'Retry-After', b'Keep-Alive')
    ]
    metadata = read_response(status, *headers)
    assert metadata.quiet_ms is None or math.isfinite(metadata.quiet_ms)
    limits = policy.ServerLimits()
    limits.record(policy.Incarnation('i-1'), metadata.limit_per_s, 1)
    for item in limits.reports(1):
        kind, data = paddle_kernel.codec.encode(item)
        assert paddle_kernel.codec.decode(kind, data) == item


LIST_ENTRY = {
    'identifier': 'i-1',
    'service': 's1',
    'address': '10.0.0.1:80',
    'zone': 'z1',
    'slots': 4,
    'state': 'ready',
}


@pytest.mark.parametrize(
    'changes',
    [
        {'identifier': 3},
        {'address': 'nowhere'},
        {'state': 'unheard'},
        {'slots': '4'},
        {'slots': True},
        {'zone': None},
        {'zone': '\ud800'},
        {'identifier': 'i-1\r\nHost: h'},
        {'identifier': 'i-\ufffd'},
        {'identifier': 'i' * 2_000},
        {'address': 'host.example:80'},
        {'address': '10.0.0.1:0'},
        {'address': '10.0.0.1:65536'},
        {'address': '10.0.0.1:' + '9' * 5_000},
        {'address': '10.0.0.1:\u00b2'},
        {'address': '10.0.0.1:+80'},
        {'address': '10.0.0.1\n:80'},
        {'state': []},
        {'slots': 0},
        {'slots': 2**32},
        {'slots': 4.0},
        {'slots': math.nan},
        {'leaves_ms': 1e300},
        {'leaves_ms': math.inf},
        {'leaves_ms': math.nan},
        {'leaves_ms': 10**400},
    ],
)
def test_an_invalid_list_entry_is_skipped(changes):
    with pytest.raises(cloud._EntryError):
        cloud._decode_server({**LIST_ENTRY, **changes})
    with pytest.raises(cloud._EntryError):
        cloud._decode_server('text')


@pytest.mark.parametrize(
    ('value', 'born_ms'),
    [(1_764_000_000_123, 1_764_000_000_123), ('1', 0), (-1, 0), (True, 0)],
)
def test_the_start_time_of_a_server_is_read_if_it_is_valid(value, born_ms):
    assert (
        cloud._decode_server({**LIST_ENTRY, 'born': value}).born_ms == born_ms
    )
    assert cloud._decode_server(LIST_ENTRY).born_ms == 0


@pytest.mark.parametrize(
    ('value', 'cold_ms'),
    [
        (2_500, 2_500),
        (0.5, 0),
        (-1, 0),
        (True, 0),
        ('900', 0),
        (None, 0),
        (math.nan, 0),
        (math.inf, 0),
        (10**400, cloud.MAX_COLD_MS),
    ],
)
def test_the_cold_time_of_a_server_is_read_if_it_is_valid(value, cold_ms):
    # Guards against an odd value that takes a server off the list.
    entry = {**LIST_ENTRY, 'coldRemainingMs': value}
    assert cloud._decode_server(entry).cold_ms == cold_ms


LIST_FIELDS = st.sampled_from(
    [*LIST_ENTRY, 'leaves_ms', 'born', 'spot', 'coldRemainingMs']
)


@given(
    st.lists(st.dictionaries(LIST_FIELDS, ODD_VALUES, max_size=3), max_size=4),
    st.lists(ODD_VALUES, max_size=2),
)
def test_the_servers_of_an_arbitrary_list_can_be_sent(changes, others):
    # Guards against an entry that costs every gateway the whole message.
    entries = [{**LIST_ENTRY, **item} for item in changes] + others
    client = cloud.PlatformClient('127.0.0.1:1', 'holder')
    client._fetch_page = lambda _token: (None, [LIST_ENTRY, *entries])
    listing = client.list_servers()
    assert 'i-1' in {item.id for item in listing.servers}
    assert len(listing.servers) + len(listing.rejected) <= len(entries) + 1
    fleet = _fleet.Fleet(paddle_kernel.FakeClock())
    fleet.set_servers(listing.servers, is_platform_read=True)
    for item in fleet.servers:
        kind, data = paddle_kernel.codec.encode(item)
        assert paddle_kernel.codec.decode(kind, data) == item
        assert b'\n' not in item.id.encode()
    for item in listing.rejected:
        assert len(item.entry) <= 70 and item.reason.encode()


def list_pages(pages, monkeypatch):
    """Return what the client lists if the platform responds with ``pages``."""
    targets = []

    def exchange(_conn, _method, target, *_args, **_options):
        targets.append(target)
        return 200, pages[len(targets) - 1]

    monkeypatch.setattr(cloud.transport, 'exchange', exchange)
    client = cloud.PlatformClient('', 'test')
    client.connect = io.BytesIO
    return client.list_servers(), targets


def test_a_damaged_entry_costs_no_other_server_and_no_page(monkeypatch):
    # Guards against a list that stays as it was, so that streams go on to a
    # draining server, while one entry has a byte that cannot be read.
    texts = [
        json.dumps({**LIST_ENTRY, 'identifier': f'i-{number}'}).encode()
        for number in range(6)
    ]
    for number in range(3):
        for place, byte in enumerate(texts[number]):
            if byte not in b'"[]{},:':
                continue
            damaged = list(texts)
            damaged[number] = (
                texts[number][:place] + b'\xff' + texts[number][place + 1 :]
            )
            pages = [
                b'{"instances":[%s],"next":"p-3"}' % b','.join(damaged[:3]),
                b'{"instances":[%s],"next":null}' % b','.join(damaged[3:]),
            ]
            listing, targets = list_pages(pages, monkeypatch)
            assert targets == ['/instances', '/instances?pageToken=p-3']
            assert [server.id for server in listing.servers] == [
                f'i-{other}' for other in range(6) if other != number
            ]
            assert len(listing.rejected) == 1


def test_a_damaged_page_without_a_token_is_not_a_whole_one(monkeypatch):
    # Guards against servers that vanish since a part was taken for the list.
    entry = json.dumps(LIST_ENTRY).encode()
    damaged = entry.replace(b'"', b'\xff', 1)
    page = b'{"instances":[%s,%s]}' % (damaged, entry)
    with pytest.raises(controller.PlatformError):
        list_pages([page], monkeypatch)


def test_a_draining_entry_is_leaving():
    assert cloud._decode_server({**LIST_ENTRY, 'state': 'draining'}).leaving
    assert not cloud._decode_server(LIST_ENTRY).leaving


def test_settings_report_all_findings_at_once():
    with pytest.raises(paddle_kernel.FindingsError) as caught:
        settings.PlatformSettings.from_document({'nodeName': 'n'})
    assert len(list(caught.value.findings)) >= 5


@pytest.mark.parametrize(
    'text', ['[' * 100_000, '{"nodeName": ' + '9' * 5_000 + '}', '[]', '\xff']
)
def test_unreadable_settings_are_a_finding(text, tmp_path, monkeypatch):
    # Guards against a reload of the settings that fails without a log line.
    path = tmp_path / 'settings.json'
    path.write_text(text, encoding='latin-1')
    monkeypatch.setenv(settings.PATH_VARIABLE, str(path))
    with pytest.raises(paddle_kernel.FindingsError):
        settings.PlatformSettings.load()


SETTINGS = {
    'nodeName': 'core-0',
    'zone': 'z0',
    'ipAddress': '127.0.0.1',
    'listen': {'control': '127.0.0.1:0'},
    'internalPorts': [0],
    'seeds': [],
    'dataDirectory': '/nonexistent',
    'bounds': {'leaseDurationMs': 3_000, 'usageWindowS': 5, 'usageLateS': 10},
    'cloud': {'address': '127.0.0.1:1'},
}


@pytest.mark.parametrize(
    'ports, gateway_port',
    [([7340, 7355], 7341), ([7340, 7340], 7340), ([7340], 7340)],
)
def test_gateways_and_controllers_use_different_ports(ports, gateway_port):
    # Guards against two processes of one machine that listen on one port.
    loaded = settings.PlatformSettings.from_document(
        {
            **SETTINGS,
            'internalPorts': ports,
            'listen': {'front': '127.0.0.1:0', 'ready': '127.0.0.1:0'},
            'bounds': {
                **SETTINGS['bounds'],
                'gracePeriodS': 8,
                'retryBudgetRatio': 0.2,
                'retryBudgetSlack': 56,
                'retryWindowS': 10,
            },
        }
    )
    built = gateway_role.build(loaded)
    assert built.settings.peer_listen == f'127.0.0.1:{gateway_port}'
    assert loaded.peer_port == 7340
    # Who has the key may send requests, so each process makes up its own.
    assert (
        built.components.peer_key
        != gateway_role.build(loaded).components.peer_key
    )


@pytest.mark.parametrize('bounds', [{}, {'evacuationMs': 5_000}])
def test_evacuations_are_served_where_the_platform_has_a_bound_for_them(
    bounds,
):
    # Guards against further reads of registers on the other platforms.
    loaded = settings.PlatformSettings.from_document(
        {**SETTINGS, 'bounds': {**SETTINGS['bounds'], **bounds}}
    )
    built = controller_role.build(loaded)
    assert built.evacuations.dump()['served'] is bool(bounds)
    found = built._api_server.application._router.find('/api/evacuation/z1')
    assert bool(found) is bool(bounds)


@pytest.mark.parametrize('price', [1.0, 'x'])
def test_a_zone_name_that_cannot_be_encoded_is_rejected_with_a_readable_error(
    price,
):
    # Guards against status 500 instead of 400: the text of the error names
    # the field, and an answer cannot contain it.
    service = {
        'name': 's',
        'scaling': {
            'minimum': 1,
            'maximum': 2,
            'bootS': 1,
            'zonePrices': {'\ud800': price},
        },
    }
    document = {'version': 1, 'routes': [], 'services': [service]}
    with pytest.raises(gateway.ConfigurationError) as caught:
        configuration.read(json.dumps(document).encode())
    str(caught.value).encode()
