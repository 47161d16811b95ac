Feature: Responses that callers have not read when their gateway or entry stops

  # The end of such a response was dropped; without a length, it looked complete.
  Scenario Outline: responses with <framing> that are read <when> the stop of a gateway are whole
    Given a users' fleet of 1 service replicas, 0 engines and 2 gateway
    When callers of 12 responses with <framing>, ended by <ending>, read them <when> the stop of their gateway
    Then each response is whole
    And the gateway has ended by itself within its grace

    Examples:
      | framing            | ending     | when           |
      | a length           | a late FIN | 3500 ms after  |
      | a length and close | a FIN      | 3500 ms after  |
      | chunks and close   | a FIN      | 3500 ms after  |
      | the connection     | a FIN      | 3500 ms after  |
      | the connection     | a late FIN | 1000 ms after  |
      | the connection     | a FIN      | 3500 ms after  |

  # What nobody reads must not hold up the end, nor look complete.
  Scenario Outline: responses with <framing> that are never read are visibly cut at the end of the grace
    Given a users' fleet of 1 service replicas, 0 engines and 2 gateway
    When callers of 12 responses with <framing>, ended by a FIN, read them only after the end of their gateway
    Then each response is whole or visibly cut
    And the gateway has ended by itself within its grace

    Examples:
      | framing            |
      | a length and close |
      | chunks and close   |
      | the connection     |

  # The same in the entry, which closed all connections once its last request had ended.
  Scenario Outline: responses with <framing> that are read after the stop of an entry are whole
    Given a fleet of 0 engines, 2 services and 2 entries
    When callers of 12 responses with <framing>, ended by a FIN, read them 2000 ms after the stop of their entry
    Then each response is whole

    Examples:
      | framing            |
      | a length and close |
      | the connection     |
