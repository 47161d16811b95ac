Feature: Crashing requests, retries and outages

  Scenario: a request that crashes engines crashes at most two, and other requests are served
    Given a fleet of 4 engines, 0 services and 2 entries that crash on "POISON"
    When callers keep asking for 60 tokens while a caller sends "POISON" 8 times, to the entries in turn
    Then at most 2 engines have crashed
    And every response is complete and belongs to its caller
    And the last response to "POISON" has status 503, code "quarantined" and verdict "not_run"

  Scenario: retries add at most a tenth to the calls while a third of the services refuses
    Given a fleet of 0 engines, 3 services and 2 entries
    When 1200 calls are made by 12 callers while service 0 refuses all calls
    Then attempts are at most 1.1 times the calls
    And at least 1190 calls succeed

  Scenario: retries add at most a tenth to the calls while every service refuses
    Given a fleet of 0 engines, 3 services and 2 entries
    When 1200 calls are made by 12 callers while all services refuse all calls
    Then attempts are at most 1.1 times the calls
    And every call is refused as not run within 1000 ms

  Scenario: requests are served during an outage of the key-value service
    Given a fleet of 2 engines, 1 services and 2 entries with watches and claim windows of a few seconds
    When the key-value service hangs for 12 s while callers ask for 20 tokens
    Then every response is complete and belongs to its caller
    And a publish request during the outage was refused as not run
    And an accept command during the outage failed
    And afterwards a publish request and an accept command succeed

  Scenario: an entry that starts during an outage serves with its peers' configuration
    Given a fleet of 2 engines, 1 services and 2 entries
    And the key-value service answers nothing
    When entry 0 is restarted
    And a paid caller asks for 20 tokens once entry 0 is ready
    Then the stream has all 20 tokens and its end marker

  Scenario Outline: no engine exceeds its memory while engine orders are <fault>, fencing <fencing>
    Given a fleet of 2 engines of 40000 MiB with fencing "<fencing>" and 3 models of 12000 MiB
    When engine orders are <fault> while models are swapped <swaps> times and sidecar 0 is restarted
    Then no engine was asked to exceed its memory
    And every model is served at the end

    Examples:
      | fault         | fencing  | swaps |
      | lost          | honoured | 4     |
      | late          | honoured | 4     |
      | doubled       | honoured | 4     |
      | lost          | ignored  | 4     |
      | late          | ignored  | 4     |
      | doubled       | ignored  | 4     |

  Scenario: a mesh peer without the key is disconnected and counted
    Given a fleet of 0 engines, 1 services and 1 entries
    When a peer with a wrong key connects to sidecar 0
    Then the connection is closed and sidecars counted "hello_refused"

  Scenario: a paused planner that is resumed does not undo its successor's plan
    Given a fleet of 3 engines, 0 services and 1 entries
    When the planner is paused until another takes over, a model is added, and the first one is resumed
    Then every shard of the plan keeps the newer term
    And the models "summary" and "second" are served
