"""Tests of the binary encoding of loads."""

import hypothesis
from hypothesis import strategies as st
from paddle_router import gateway
import pytest

COUNTS = st.integers(0, 2**32 - 1)
FLIGHTS = st.builds(
    gateway.ServerFlights,
    id=st.text(
        st.characters(exclude_characters='\n', codec='utf-8'), min_size=1
    ),
    running=COUNTS,
    prefill=COUNTS,
    failures=COUNTS,
    answers=COUNTS,
    pace_ms=COUNTS,
    read_rate=COUNTS,
)


@hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
@hypothesis.given(st.lists(FLIGHTS, max_size=9))
def test_loads_are_the_same_after_packing(flights):
    # Guards against columns in the wrong order.
    data = gateway.pack_loads(flights)
    assert gateway.unpack_loads(data) == tuple(flights)


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(st.binary(min_size=1, max_size=200))
def test_malformed_bytes_raise_value_error(data):
    # Guards against a malformed message that raises another exception.
    try:
        gateway.unpack_loads(data)
    except ValueError:
        return


def test_a_truncated_message_raises_value_error():
    data = gateway.pack_loads([gateway.ServerFlights(id='i', running=1)])
    for size in range(1, len(data)):
        with pytest.raises(ValueError):
            gateway.unpack_loads(data[:size])


def test_a_count_beyond_the_range_is_clamped():
    huge = gateway.ServerFlights(id='i', running=1, prefill=2**40)
    (found,) = gateway.unpack_loads(gateway.pack_loads([huge]))
    assert found.prefill == 2**32 - 1


def test_further_columns_are_not_lost():
    # Starts and paces are decided by these sums.
    flights = (
        gateway.ServerFlights(id='a', running=1, told_count=2, in_time=3),
        gateway.ServerFlights(id='b', running=4),
    )
    data = gateway.pack_loads(flights)
    extra = gateway.pack_extra_loads(flights)
    assert gateway.unpack_loads(data, extra) == flights


def test_an_older_instance_reads_the_loads_without_the_further_columns():
    # In a rolling upgrade one version reads the messages of the other; an
    # unreadable sum would stop the exchange.
    new = (gateway.ServerFlights(id='a', running=1, rejections=7),)
    old = (gateway.ServerFlights(id='a', running=1),)
    assert gateway.pack_loads(new) == gateway.pack_loads(old)
    assert gateway.pack_extra_loads(old) == b''
    assert gateway.unpack_loads(gateway.pack_loads(new)) == old
