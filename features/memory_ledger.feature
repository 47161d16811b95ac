Feature: Memory ledger

  Scenario Outline: lost, late and duplicate orders never overcommit an engine, fencing <fencing>
    When <runs> random histories of <steps> steps run with seed <seed> and fencing "<fencing>"
    Then no engine was ever asked to exceed its memory
    And at least <loads> loads took effect

    Examples:
      | fencing  | runs | steps | seed | loads |
      | honoured | 600  | 120   | 7    | 1000  |
      | ignored  | 600  | 120   | 8    | 1000  |

  Scenario Outline: random histories detect an overcommit when <mechanism> is switched off, fencing <fencing>
    When <runs> random histories of <steps> steps run with seed <seed>, fencing "<fencing>" and without "<mechanism>"
    Then an engine was asked to exceed its memory

    Examples:
      | mechanism      | fencing  | runs | steps | seed |
      | open orders    | honoured | 300  | 120   | 7    |
      | open orders    | ignored  | 300  | 120   | 8    |
      | settled start  | ignored  | 300  | 120   | 8    |
      | settled start  | honoured | 300  | 120   | 7    |
