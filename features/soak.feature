Feature: Fault soak

  Scenario Outline: seed <seed>
    When the soak plays seed <seed>
    Then no promise was broken

    Examples:
      | seed |
      | 1    |
      | 2    |
