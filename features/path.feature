Feature: Requests from caller to upstream

  Scenario: a streamed completion arrives complete
    Given the shared fleet
    When a paid caller asks for 20 tokens
    Then the stream has all 20 tokens and its end marker

  Scenario: a completion without streaming arrives as one document
    Given the shared fleet
    When a paid caller asks for 7 tokens without streaming
    Then the completion has all 7 tokens and its usage

  Scenario: a request for a model with an adapter loads the adapter
    Given the shared fleet
    When a paid caller asks model "summary:suburbs" for 5 tokens
    Then the stream has all 5 tokens and its end marker

  Scenario: a service call passes its body and path through
    Given the shared fleet
    When a paid caller posts "hello" to "/index/karori?year=2026"
    Then the service received 5 bytes on path "index/karori"

  Scenario: a caller gets the list of its models
    Given the shared fleet
    When a paid caller lists models
    Then the listed models are "summary,summary:suburbs"

  Scenario: the explain command shows a completed request
    Given the shared fleet
    When a paid caller asks for 3 tokens
    Then the explain command shows how the request ran

  Scenario Outline: killing entry <killed> affects no response of entry <other>
    Given a fleet of 2 engines, 0 services and 2 entries
    When 20 callers each ask both entries for 60 tokens and entry <killed> is killed
    Then all responses of entry <other> are complete
    And some responses of entry <killed> are cut, and none with an end marker is incomplete

    Examples:
      | killed | other |
      | 0      | 1     |
      | 1      | 0     |
