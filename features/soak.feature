Feature: Fault soak

  Scenario Outline: seed <seed>
    When the soak plays seed <seed>
    Then no promise was broken

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 10008 |

  # SIGHUP reached a gateway before its handler was set, and ended it.
  Scenario Outline: seed <seed>, which a signal at the start broke
    When the soak plays seed <seed>
    Then no promise was broken

    Examples:
      | seed |
      | 11   |
      | 14   |
