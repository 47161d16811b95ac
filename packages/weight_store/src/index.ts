export {LoadBudget} from './lib/load_budget.ts';
