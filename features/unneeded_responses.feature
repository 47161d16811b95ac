Feature: Responses that nobody needs any more

  # A failure or refusal without end was read on after its caller had been answered.
  Scenario Outline: the connection of <what> that <speed> goes on without end is closed once its request was answered
    Given a users' fleet of 2 service replicas, 0 engines and 1 gateway
    When a caller's read first gets <what> that <speed> goes on without end
    Then the caller's read has an answer
    And no replica writes an endless response 500 ms later
    And 20 more reads are served

    Examples:
      | what                            | speed   |
      | a failure                       | quickly |
      | a failure                       | slowly  |
      | a refusal                       | quickly |
      | a refusal                       | slowly  |
      | a refusal that asks for a pause | slowly  |
      | a refusal of another replica    | slowly  |
      | a response to another request   | slowly  |
      | an unsigned response            | slowly  |

  # The verdict of a refusal waited for the end of its body.
  Scenario Outline: a refusal of <what> whose body never ends is retried at once on the other front
    When an upstream refuses <what> with a body that never ends
    Then the verdict is "not_run" within 1000 ms
    And the upstream's connection is closed within 1000 ms

    Examples:
      | what              |
      | a service call    |
      | a completion      |
