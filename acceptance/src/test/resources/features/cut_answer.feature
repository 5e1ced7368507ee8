Feature: A streamed answer that is cut
  Guards against responses that end early or repeat tokens when a connection to an engine breaks.

  Scenario: The engine cuts the connection in the middle of the answer
    Given a fleet with 2 engines and 2 daemons
    And engine faults {"cut_after_words": 3} at all engines
    When chat "ring-20" of workspace "antwerp" says "Please estimate the repair." at "daemon-1" and streams
    Then the session matches "cut_answer"

  Scenario: The engine is killed in the middle of the answer
    Given a fleet with 2 engines and 2 daemons
    When chat "ring-21" of workspace "antwerp" says "Please estimate the repair." at "daemon-1" while its engine is killed
    Then the session matches "killed_engine"
