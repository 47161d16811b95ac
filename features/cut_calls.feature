Feature: Responses to the system's own calls that are cut at any byte

  # The error of an engine that was cut reached the caller as a whole response with a length.
  Scenario Outline: a response to <what> that is cut is not taken for a complete one
    When the response to <what> is cut at each byte, in each framing
    Then no cut response is taken for a complete one

    Examples:
      | what                           |
      | a completion                   |
      | a completion that is wrong     |
      | an order to an engine          |
      | a steward's report             |
      | the report of a new connection |
      | a range of the store           |
      | a watch of the store           |
      | a write to the store           |
