Feature: Placement keeps every model reachable

  Scenario Outline: random histories of <replicas> replicas and <models> models
    When <runs> random histories of <steps> steps run with seed <seed> on <replicas> replicas of <room> copies in 3 zones with <models> models
    Then no replica was ever planned over its memory
    And no removal ever took a model's last ready copy
    And whenever the planner had come to rest with all replicas up, every floor was met in 2 zones
    And whenever one zone was lost at rest, every model was still ready elsewhere

    Examples:
      | replicas | room | models | runs | steps | seed |
      | 6        | 8    | 17     | 60   | 25    | 3    |
      | 13       | 7    | 34     | 30   | 25    | 4    |
      | 3        | 10   | 15     | 60   | 25    | 5    |
