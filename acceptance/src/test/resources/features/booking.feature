Feature: A booking
  Guards against a booking that runs twice and against a rejection with a false run state.

  Scenario: A booking is repeated at another daemon with the same key
    Given a fleet with 1 engines and 2 daemons
    When workspace "ghent" posts {"item":"ring 54"} to "/services/tickets/bookings" with key "b-1" at "daemon-1"
    And workspace "ghent" posts {"item":"ring 54"} to "/services/tickets/bookings" with key "b-1" at "daemon-2"
    And workspace "ghent" posts {"item":"ring 60"} to "/services/tickets/bookings" with key "b-1" at "daemon-2"
    Then the service executed key "b-1" 1 times
    And the session matches "booking"

  Scenario: The answer of the service is lost
    Given a fleet with 1 engines and 2 daemons
    And the service fault "cut_after" for 1 calls
    When workspace "ghent" posts {"item":"ring 54"} to "/services/tickets/bookings" with key "b-2" at "daemon-1"
    And workspace "ghent" posts {"item":"ring 54"} to "/services/tickets/bookings" with key "b-2" at "daemon-2"
    Then the service executed key "b-2" 1 times
    And the session matches "booking_answer_lost"
