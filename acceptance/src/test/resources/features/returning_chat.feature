Feature: A returning chat
  Guards against lost turns and against turns of one chat that reach engines without its cache.

  Scenario: Three turns at different daemons
    Given a fleet with 2 engines and 2 daemons
    When chat "ring-17" of workspace "antwerp" says "My ring needs a new size." at "daemon-1"
    And chat "ring-17" of workspace "antwerp" says "From 52 to 54." at "daemon-2"
    And chat "ring-17" of workspace "antwerp" says "When is it ready?" at "daemon-1" and streams
    Then the session matches "returning_chat"
