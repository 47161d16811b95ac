/** One budget of repeated sends for each service. */
import {WindowedRetryBudget, type WindowedRetryLimits} from '@jasminepost/policy';

/** @internal */
export class RetryBudgets {
  private readonly budgets = new Map<string, WindowedRetryBudget>();

  constructor(
    private readonly limits: WindowedRetryLimits,
    private readonly startedMs: number,
  ) {}

  forService(service: string): WindowedRetryBudget {
    const known = this.budgets.get(service);
    if (known !== undefined) return known;
    const budget = new WindowedRetryBudget(this.limits, this.startedMs);
    this.budgets.set(service, budget);
    return budget;
  }
}
