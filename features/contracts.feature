Feature: Behaviour of the stand-ins

  Scenario: an engine's cache events are late, in order and have gaps
    Given an engine stand-in with a report lag of 300 ms
    When 20 different prompts and then the first one again are completed
    Then the cache events are in order and have gaps, and none is younger than 300 ms
    And the engine counted 1 prefix hit

  Scenario: cached prefixes can be exported and imported
    Given an engine stand-in with a report lag of 300 ms
    When a cached prefix is exported and imported under another name
    Then both prefixes can be exported and an unknown one cannot

  Scenario: the weight store slows down when it runs more loads than it can at full speed
    Given a weight store that starts 1000 loads a second and runs 2 at full speed, 100 ms each
    When 8 loads are requested at once
    Then the slowest took at least 3 times as long as a single load

  Scenario: the list of instances lags behind its changes
    Given the shared fleet
    Then a change to the list of instances is visible after its lag, not before
