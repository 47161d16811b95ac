Feature: Placement keeps every model available

  Scenario Outline: placement of <models> models on <replicas> replicas stays valid in random histories
    When <runs> random histories of <steps> steps run with seed <seed> on <replicas> replicas of <room> copies in 3 zones with <models> models
    Then no replica was ever assigned more than its memory
    And no removal ever unloaded a model's last ready copy
    And whenever the plan was stable with all replicas up, every model had its floor of copies in 2 zones
    And whenever one zone was lost while the plan was stable, every model was still ready in another zone

    Examples:
      | replicas | room | models | runs | steps | seed |
      | 6        | 8    | 17     | 60   | 25    | 3    |
      | 13       | 7    | 34     | 30   | 25    | 4    |
      | 3        | 10   | 15     | 60   | 25    | 5    |
