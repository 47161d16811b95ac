Feature: Prompt parts that crash engines

  # Requests that share a crashing prompt part, no two of them alike, crashed one engine after the other.
  Scenario Outline: new requests with a crashing prompt part stop reaching engines, <trouble>
    Given a users' fleet of 0 service replicas, 6 engines and 3 gateway
    And drafts with the prompt part "dead" crash their engines, which restart
    When callers send drafts for 24 s, of which every eighth has the part "dead", and <trouble>
    Then at most 3 drafts with a crashing part reach engines later than 3000 ms after the fifth crash
    And sound drafts are served at least half as often after the crashes as before

    Examples:
      | trouble                              |
      | nothing else happens                 |
      | the planner's gateway is killed      |
      | the store is away for 4 s            |
      | all gateways are killed, and restart |
      | other engines crash                  |

  # Two crashing parts at once must not hide each other.
  Scenario: new requests with two crashing prompt parts stop reaching engines
    Given a users' fleet of 0 service replicas, 6 engines and 3 gateway
    And drafts with the prompt parts "dead" and "fatal" crash their engines, which restart
    When callers send drafts for 24 s, of which every eighth has the part "dead" or "fatal"
    Then at most 3 drafts with a crashing part reach engines later than 3000 ms after the fifth crash
    And sound drafts are served at least half as often after the crashes as before

  # A response that ended with its connection counted as complete, so that the crash cleared its part.
  Scenario: new requests with a crashing part stop reaching engines whose streams have no length
    Given a users' fleet of 0 service replicas, 6 engines and 3 gateway
    And drafts with the prompt part "dead" crash their engines, which restart
    And the engines' streams have the fault "no length"
    When callers send drafts for 24 s, of which every eighth has the part "dead", and nothing else happens
    Then at most 3 drafts with a crashing part reach engines later than 3000 ms after the fifth crash
    And sound drafts are served at least half as often after the crashes as before

  Scenario: few requests of a random series with a crashing part are sent after the fifth crash
    Then in 300 random series at most 3 requests with the part are sent later than 3000 ms after the fifth crash
    And in 300 random series fewer than half of the sound requests are held afterwards
