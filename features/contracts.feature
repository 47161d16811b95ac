Feature: Contracts of the stand-ins

  Scenario: an engine's cache events come late, in order and with gaps
    Given an engine stand-in with reports 300 ms late
    When 20 different prompts and the first again are completed
    Then the cache events show gaps, and none younger than 300 ms
    And the engine counted 1 prefix hit

  Scenario: cached blocks move from one engine to another
    Given an engine stand-in with reports 300 ms late
    When a cached prefix is exported and imported under another name
    Then both prefixes can be exported and an unknown one cannot

  Scenario: the weight store slows down beyond its number at full speed
    Given a weight store of 1000 loads a second and 2 at full speed of 100 ms
    When 8 loads are asked for at once
    Then the slowest took at least 3 times the time of one load alone

  Scenario: the list of instances lags
    Given the shared fleet
    Then a change of the list shows after its lag, not before
