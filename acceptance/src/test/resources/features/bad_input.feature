Feature: Bad input
  Guards against unclear errors and rejections that do not say whether the request ran.

  Scenario: Requests that cannot be served
    Given a fleet with 1 engines and 1 daemons
    When a caller sends '{"model": "assistant", "messages": [' with key "key-of-antwerp"
    And a caller sends '{"model": "assistant"}' with key "key-of-antwerp"
    And a caller sends '{"model": "no-such-model", "messages": [{"role": "user", "content": "x"}]}' with key "key-of-antwerp"
    And a caller sends '{"model": "assistant", "messages": [{"role": "user", "content": "x"}]}' with key "wrong"
    Then the session matches "bad_input"
