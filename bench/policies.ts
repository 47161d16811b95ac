/** The compared policies: ours and the baselines. */

export type Routing = 'jasminepost' | 'random' | 'round_robin' | 'least_reported';
export type Placement = 'planned' | 'static' | 'reactive_lru';

export interface BenchPolicy {
  readonly name: string;
  readonly routing: Routing;
  readonly placement: Placement;
}

export const POLICIES: readonly BenchPolicy[] = [
  {name: 'jasminepost', routing: 'jasminepost', placement: 'planned'},
  {name: 'random', routing: 'random', placement: 'planned'},
  {name: 'round robin', routing: 'round_robin', placement: 'planned'},
  {name: 'least reported', routing: 'least_reported', placement: 'planned'},
  {name: 'static placement', routing: 'jasminepost', placement: 'static'},
  {name: 'reactive LRU', routing: 'jasminepost', placement: 'reactive_lru'},
];
