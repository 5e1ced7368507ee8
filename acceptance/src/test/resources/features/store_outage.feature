Feature: An outage of the platform's store
  Guards against chats that fail and against keyed requests that run without a claim while the store is down.

  Scenario: Chats go on, keyed calls are refused as not run
    Given a fleet with 2 engines and 2 daemons
    And platform faults {"down": true}
    When chat "ring-30" of workspace "antwerp" says "Is my ring ready?" at "daemon-2"
    And workspace "ghent" posts {"item":"ring 54"} to "/services/tickets/bookings" with key "b-3" at "daemon-1"
    And platform faults {"down": false}
    And workspace "ghent" posts {"item":"ring 54"} to "/services/tickets/bookings" with key "b-3" at "daemon-1"
    Then the service executed key "b-3" 1 times
    And the session matches "store_outage"

  Scenario: A daemon starts fresh during the outage and takes the bundle and the host list from a peer
    Given a fleet with 1 engines and 2 daemons
    And platform faults {"down": true}
    When "daemon-2" is killed and started again
    Then both daemons have revision 1
    And "daemon-2" knows 4 hosts
    And the session matches "fresh_daemon"
