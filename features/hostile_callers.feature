@alone
Feature: Callers that send far more than they should

  # Such callers have ended a gateway: out of heap, or by the platform for its memory. Crowds and
  # bounds were fixed on the code that failed; the gateway is the smallest of a deployment.
  Scenario Outline: a gateway of 210 MB stays within its memory while <callers> callers send <what>
    Given a users' fleet of 2 service replicas and a gateway of 210 MB with bodies of 4 MiB
    When <callers> callers send "<what>" for <forMs> ms
    Then the gateway runs, has used at most 210 MB, and has had at most <files> descriptors open
    And an ordinary request with a body of 4 MiB is served afterwards

    Examples:
      | callers | what                                  | forMs | files |
      | 40      | announced bodies far over the limit   | 5000  | 150   |
      | 40      | bodies far over the limit             | 5000  | 150   |
      | 40      | pipelined requests                    | 5000  | 150   |
      | 40      | pipelined requests with bodies        | 5000  | 150   |
      | 40      | trailers without end                  | 5000  | 150   |
      | 60      | bodies whose last byte never comes    | 5000  | 150   |
      | 20      | a body in chunks of one byte          | 5000  | 150   |
      | 20      | chunk extensions without end          | 5000  | 150   |
      | 40      | bodies that are reset before the end  | 5000  | 150   |
      | 600     | request heads that never end          | 5000  | 750   |

  # Idle large bodies kept others out for the whole time that a request may take.
  Scenario: memory for bodies goes to small and moving ones before large and stalled ones
    Then a budget that is full of large bodies admits a smaller one and refuses one as large
    And a budget that is full of stalled bodies admits one as large, and evicts a stalled one
    And held memory is never evicted
