Feature: Header bytes pass through unchanged

  # A response with a byte above 0x7F in a header reached its caller as a closed connection.
  Scenario Outline: a header with the bytes <bytes> reaches the other side unchanged, in a <direction>
    Given a users' fleet of 1 service replicas, 0 engines and 1 gateway
    When an order is sent with the bytes "<bytes>" in a header of the <direction>
    Then the order has run once and is answered
    And the other side has received the bytes "<bytes>"

    Examples:
      | bytes              | direction |
      | 54 c4 81 6d        | response  |
      | 54 c4 81 6d        | request   |
      | 80 a0 ff           | response  |
      | 80 a0 ff           | request   |
      | 61 09 62 20 20 63  | response  |
      | 61 09 62 20 20 63  | request   |
