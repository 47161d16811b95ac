Feature: Leaving and graceful stop

  Scenario Outline: an engine gets no new work soon after <signal>
    Given a fleet of 3 engines, 0 services and 2 entries with 3 copies and a list lag of <lag> ms
    When callers keep asking for 40 tokens and <signal>
    Then engine 0 starts no request later than <limit> ms after that
    And every response is complete and belongs to its caller

    Examples:
      | signal                                  | lag  | limit |
      | sidecar 0 gets SIGTERM                  | 2000 | 2000  |
      | the operator drains sidecar 0           | 2000 | 2000  |
      | the platform's list shows it as leaving | 2000 | 5000  |
      | sidecar 0 gets SIGTERM twice            | 2000 | 2000  |

  Scenario Outline: a graceful shutdown of <program> cuts no response, however long it takes
    Given a fleet of 2 engines, 0 services and 2 entries with 2 copies and a list lag of 200 ms
    When 10 callers ask for 600 tokens 1 times while <program> is stopped
    Then every response is complete and belongs to its caller
    And <program> ended with 0

    Examples:
      | program   |
      | entry 0   |
      | sidecar 0 |

  Scenario: a graceful shutdown lets a service call finish that cannot continue elsewhere
    Given a fleet of 0 engines, 1 services and 1 entries
    And the service takes 1500 ms
    When a publish request is sent and sidecar 0 gets SIGTERM while it runs
    Then the first response has status 200
    And sidecar 0 ended with 0

  Scenario: a sidecar whose drain mode is "move" moves its streams on shutdown
    Given a fleet of 2 engines, 0 services and 2 entries whose sidecars move their streams on shutdown
    When 10 callers ask for 400 tokens 1 times while sidecar 0 is stopped
    Then every response is complete and belongs to its caller
    And sidecar 0 ended within 1500 ms
    And entries counted "resumes" for "sidecar_moving"

  Scenario: a rolling replacement of every entry and sidecar fails no request
    Given a fleet of 3 engines, 0 services and 2 entries with 2 copies and a list lag of 500 ms
    When callers keep asking for 30 tokens through the load balancer and every process is replaced
    Then every response is complete and belongs to its caller
    And at least 100 responses were received
