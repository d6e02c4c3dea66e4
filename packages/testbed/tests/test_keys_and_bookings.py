"""Steps of keys_and_bookings.feature, run with real daemon processes."""

import pytest
import pytest_bdd

from paddle_testbed import cluster

WAIT_S = 15

pytest_bdd.scenarios('features/keys_and_bookings.feature')


@pytest.fixture
def answers():
    """Answers to the bookings of a scenario, in order."""
    return []


@pytest_bdd.given('a system of three daemons')
def three_daemons(system):
    assert len(system.daemons) == 3


@pytest_bdd.when(
    pytest_bdd.parsers.parse(
        'a caller books with the key "{key}" through daemon {index:d}'
    ),
    target_fixture='booking_key',
)
def book(system, answers, key, index):
    answers.append(system.book(index, key))
    return key


@pytest_bdd.when(
    pytest_bdd.parsers.parse(
        'the same booking is sent again through daemon {index:d}'
    )
)
def book_again(system, answers, booking_key, index):
    answers.append(system.book(index, booking_key))


@pytest_bdd.then('both answers are the same')
def same_answers(answers):
    # Guards against a retry that is answered differently or refused.
    assert answers[0][0] == 201
    assert answers[0] == answers[1]


@pytest_bdd.then('the booking service ran one booking')
def one_booking(system):
    # Guards against a retry through another daemon that books again.
    assert len(system.service.bookings) == 1


@pytest_bdd.when("the operator revokes the customer's key")
def revoke(system):
    system.revoke_key()


@pytest_bdd.then('every daemon refuses the key as not run')
def refused_everywhere(system):
    # Guards against a daemon that still accepts a revoked key.
    for index in range(len(system.daemons)):
        cluster.wait_until(
            lambda: system.chat(index)[0] == 401,
            WAIT_S,
            f'daemon {index} to refuse the key',
        )
        _, body = system.chat(index)
        assert body['error']['outcome'] == 'not_run'
