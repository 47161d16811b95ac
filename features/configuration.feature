Feature: Every process applies an accepted configuration within seconds and never returns to an older one

  Scenario Outline: every process applies an accepted configuration: <fault>
    Given a fleet of 2 engines, 1 services and 3 entries with watches of 30000 ms
    When a configuration is accepted, <fault>
    Then every process has generation 2 within 9000 ms
    And no process ever returned to an older generation

    Examples:
      | fault                                            |
      | with no fault                                    |
      | and the key-value service goes down right after  |
      | and the key-value service hangs right after      |
      | while watches lose their changes                 |
      | and 1 entry restarts during an outage            |
      | and 1 sidecar restarts during an outage          |
      | and the answer to the accept is lost             |
      | and 1 entry is paused for 3 s                    |

  Scenario: of several operators who accept configurations at once, exactly one succeeds
    Given a fleet of 0 engines, 1 services and 2 entries
    When 6 operators accept different configurations based on generation 1 at once
    Then exactly 1 is accepted and the other operators are told whose it was
    And every process has generation 2 within 9000 ms
    And every process has the same configuration

  Scenario: accepting a configuration based on an old generation is refused
    Given a fleet of 0 engines, 1 services and 1 entries
    When an operator accepts a configuration based on generation 0
    Then the command ends with 3 and says "generation 1"

  Scenario: accepting a configuration during an outage of the key-value service changes nothing
    Given a fleet of 0 engines, 1 services and 1 entries
    And the key-value service refuses calls
    When an operator accepts a configuration based on generation 1
    Then the command ends with 1 and says "nothing has changed"

  Scenario Outline: a review lists the changes, as <format>
    Given a fleet of 2 engines, 0 services and 1 entries
    When an operator reviews a declaration with one more model, as "<format>"
    Then the command ends with 0 and says "<change>"
    And it says "in force: generation 1"
    And it says "floors need 36864 MiB of 163840 MiB"

    Examples:
      | format | change                         |
      | table  | added  models/second/weightsMiB |
      | json   | models/second/weightsMiB       |

  Scenario: a declaration whose copy floors do not fit is refused with the numbers
    Given a fleet of 2 engines, 0 services and 1 entries
    When an operator accepts models of 60000 MiB with 2 copies each, based on generation 1
    Then the command ends with 5 and says "floorCopies: found 2, wanted at most 1"

  Scenario Outline: a declaration with <fault> is rejected
    When an operator validates a declaration with <fault>
    Then the command ends with 2 and says "<message>"

    Examples:
      | fault               | message                                                                             |
      | no JSON             | wanted a JSON document                                                              |
      | an unknown model    | organisations.0.models.0: found "nope", wanted a declared model                     |
      | a name twice        | models.1: found "a", wanted a name used once                                        |
      | a negative size     | models.0.weightsMiB: found -1                                                       |
      | a key in plain text | organisations.0.keys.0.sha256: found "secret", wanted a SHA-256 in lower-case hex  |
      | an unknown field    | (top): found                                                                        |

  Scenario: the questionnaire at the terminal yields a declaration
    When the questionnaire is answered at the terminal
    Then the declaration has the organisation, its models and its services

  Scenario: the questionnaire turns a file of answers into a declaration
    When the questionnaire reads its answers from a file
    Then the declaration has the organisation, its models and its services

  Scenario Outline: the <program> rejects the setting <flag> <value>
    When the <program> starts with "<flag>" set to "<value>"
    Then the command ends with 2 and says "<message>"

    Examples:
      | program | flag             | value  | message                                    |
      | entry   | --listen         | here   | --listen: found "here", wanted host:port   |
      | entry   | --watch-ms       | 1.5    | --watch-ms: found "1.5", wanted a whole    |
      | entry   | --max-body-bytes | 0      | --max-body-bytes: found "0"                |
      | sidecar | --fencing        | maybe  | --fencing: found "maybe"                   |
      | sidecar | --upstream-kind  | plain  | --upstream-kind: found "plain"             |
