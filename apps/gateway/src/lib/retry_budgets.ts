/** Retry budgets, one per service. */
import {WindowedRetryBudget, type WindowedRetryLimits} from '@jasminepost/policy';

/** @internal */
export class RetryBudgets {
  private readonly budgets = new Map<string, WindowedRetryBudget>();

  constructor(
    private readonly limits: WindowedRetryLimits,
    private readonly startedMs: number,
  ) {}

  forService(service: string): WindowedRetryBudget {
    const existing = this.budgets.get(service);
    if (existing !== undefined) return existing;
    const budget = new WindowedRetryBudget(this.limits, this.startedMs);
    this.budgets.set(service, budget);
    return budget;
  }
}
