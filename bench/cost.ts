/** Cost benchmark: `npm run bench:cost [decision|relay|control|letter]`. */
import {runControlCost} from './control_cost.ts';
import {runDecisionCost} from './decision_cost.ts';
import {runDesignSizeCost} from './design_size_cost.ts';
import {runRelayCost} from './relay_cost.ts';

const selected = process.argv[2] ?? 'all';
if (selected === 'all' || selected === 'decision') runDecisionCost();
if (selected === 'all' || selected === 'relay') await runRelayCost();
if (selected === 'all' || selected === 'control') await runControlCost();
if (selected === 'all' || selected === 'letter') {
  await runDesignSizeCost();
  process.exit(0);
}
