Feature: Leaving and graceful stop

  Scenario Outline: no new work soon after <signal>
    Given a fleet of 3 engines, 0 services and 2 entries with 3 copies and a list lag of <lag> ms
    When callers keep asking for 40 tokens and <signal>
    Then engine 0 starts nothing later than <limit> ms after it
    And every answer is whole and the caller's own

    Examples:
      | signal                                  | lag  | limit |
      | sidecar 0 gets SIGTERM                  | 2000 | 2000  |
      | the operator drains sidecar 0           | 2000 | 2000  |
      | the platform's list shows it as leaving | 2000 | 5000  |
      | sidecar 0 gets SIGTERM twice            | 2000 | 2000  |

  Scenario Outline: a stop of <program> cuts nothing, however long it takes
    Given a fleet of 2 engines, 0 services and 2 entries with 2 copies and a list lag of 200 ms
    When 10 callers ask for 600 tokens 1 times while <program> is stopped
    Then every answer is whole and the caller's own
    And <program> ended with 0

    Examples:
      | program   |
      | entry 0   |
      | sidecar 0 |

  Scenario: a stop lets a plain call finish that cannot go on elsewhere
    Given a fleet of 0 engines, 1 services and 1 entries
    And the service takes 1500 ms
    When an order is published and sidecar 0 gets SIGTERM midway
    Then the first answer is 200
    And sidecar 0 ended with 0

  Scenario: a sidecar moves its streams when told to
    Given a fleet of 2 engines, 0 services and 2 entries whose sidecars move streams
    When 10 callers ask for 400 tokens 1 times while sidecar 0 is stopped
    Then every answer is whole and the caller's own
    And sidecar 0 ended within 1500 ms
    And entries counted "resumes" for "sidecar_moving"

  Scenario: a rolling replacement of every entry and sidecar fails no request
    Given a fleet of 3 engines, 0 services and 2 entries with 2 copies and a list lag of 500 ms
    When callers keep asking for 30 tokens through the balancer and every process is replaced
    Then every answer is whole and the caller's own
    And at least 100 answers were given
