Feature: A bundle from draft to in force
  Guards against two competing bundles that are both accepted and against a bundle that no second operator signed.

  Scenario: A second operator races and loses
    Given a fleet with 1 engines and 2 daemons
    When operator "anna" submits a bundle with share 3 for "ghent"
    And operator "carol" submits a bundle with share 5 for "ghent"
    And operator "ben" reviews the bundle of "anna"
    And operator "anna" signs the bundle of "anna"
    And operator "ben" signs the bundle of "anna"
    And operator "ben" reviews and signs the bundle of "carol"
    And operator "ben" rolls the bundle of "anna"
    And operator "ben" rolls the bundle of "carol"
    Then both daemons have revision 2
    And the session matches "bundle"
