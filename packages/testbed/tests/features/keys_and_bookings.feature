Feature: Bookings and keys across daemons
  Callers reach any daemon through the load balancer, so a promise has to hold
  whichever daemon gets the request.

  Scenario: A booking that is sent again runs once
    Given a system of three daemons
    When a caller books with the key "b-1" through daemon 0
    And the same booking is sent again through daemon 1
    Then both answers are the same
    And the booking service ran one booking

  Scenario: A revoked key is refused by every daemon
    Given a system of three daemons
    When the operator revokes the customer's key
    Then every daemon refuses the key as not run
