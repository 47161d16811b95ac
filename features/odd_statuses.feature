Feature: Responses with a status that no response may have

  # A replica in trouble sent such a response elsewhere, and its caller got it.
  Scenario Outline: no caller of a <path> request gets the status <status>, <body> a body, <signature> a signature, after <first> regular responses
    Given a users' fleet of 1 service replicas, 0 engines and 1 gateway
    And a replica whose responses have the status <status>, <body> a body and <signature> a signature, after <first> regular ones
    When callers send <path> requests until it has responded so
    Then no caller gets such a response

    Examples:
      | path  | status | body    | signature | first |
      | order | 000    | with    | with      | 0     |
      | order | 000    | without | without   | 0     |
      | order | 000    | with    | with      | 1     |
      | order | 099    | with    | with      | 0     |
      | order | 101    | with    | with      | 0     |
      | order | 199    | with    | with      | 0     |
      | order | 600    | with    | with      | 0     |
      | order | 600    | with    | without   | 1     |
      | order | 999    | without | with      | 0     |
      | read  | 000    | with    | with      | 0     |
      | read  | 000    | with    | with      | 1     |
      | read  | 199    | without | without   | 0     |
      | read  | 600    | with    | with      | 0     |
      | read  | 999    | with    | with      | 1     |
