Feature: Path from caller to upstream

  Scenario: a streamed completion arrives whole
    Given the shared fleet
    When a paid caller asks for 20 tokens
    Then the completion is whole with 20 tokens

  Scenario: a completion as one document
    Given the shared fleet
    When a paid caller asks for a document of 7 tokens
    Then the document holds 7 tokens and its usage

  Scenario: a model with an adapter loads the adapter on demand
    Given the shared fleet
    When a paid caller asks model "summary:suburbs" for 5 tokens
    Then the completion is whole with 5 tokens

  Scenario: a plain call passes its body and path through
    Given the shared fleet
    When a paid caller posts "hello" to "/index/karori?year=2026"
    Then the call ran with 5 bytes on path "index/karori"

  Scenario: a caller lists its models
    Given the shared fleet
    When a paid caller lists models
    Then the list is "summary,summary:suburbs"

  Scenario: a request is explained afterwards
    Given the shared fleet
    When a paid caller asks for 3 tokens
    Then the command line explains its request

  Scenario Outline: entry <killed> killed takes nothing from entry <other>
    Given a fleet of 2 engines, 0 services and 2 entries
    When 20 callers each ask both entries for 60 tokens and entry <killed> is killed
    Then all answers of entry <other> are whole
    And no answer of entry <killed> is taken for whole without its end marker

    Examples:
      | killed | other |
      | 0      | 1     |
      | 1      | 0     |
