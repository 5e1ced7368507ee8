Feature: A failure domain leaves and returns
  Guards against new requests in a failure domain that operators took out of service.

  Scenario: Out at one daemon while the store is down, and back in at another
    Given a fleet with 2 engines and 2 daemons
    And platform faults {"down": true}
    When operator "anna" runs "domain out domain-1"
    And 3 seconds pass
    And 20 new chats of workspace "antwerp" are answered at both daemons
    Then engines of "domain-1" accepted 0 requests since the order
    When platform faults {"down": false}
    And operator "ben" runs "domain in domain-1"
    And 3 seconds pass
    And 20 new chats of workspace "antwerp" are answered at both daemons
    Then engines of "domain-1" accepted some requests since the order
    And the session matches "failure_domain"
