/** One budget of repeated sends for each service. */
import {WindowBudget, type WindowBudgetLimits} from '@jasminepost/policy';

/** @internal */
export class RetryBudgets {
  private readonly budgets = new Map<string, WindowBudget>();

  constructor(
    private readonly limits: WindowBudgetLimits,
    private readonly startedMs: number,
  ) {}

  of(service: string): WindowBudget {
    const known = this.budgets.get(service);
    if (known !== undefined) return known;
    const budget = new WindowBudget(this.limits, this.startedMs);
    this.budgets.set(service, budget);
    return budget;
  }
}
