/** Cost benchmark: `npm run bench:cost [decision|relay|control|letter]`. */
import {runControlCost} from './control_cost.ts';
import {runDecisionCost} from './decision_cost.ts';
import {runLetterSizeCost} from './letter_size_cost.ts';
import {runRelayCost} from './relay_cost.ts';

const wanted = process.argv[2] ?? 'all';
if (wanted === 'all' || wanted === 'decision') runDecisionCost();
if (wanted === 'all' || wanted === 'relay') await runRelayCost();
if (wanted === 'all' || wanted === 'control') await runControlCost();
if (wanted === 'all' || wanted === 'letter') {
  await runLetterSizeCost();
  process.exit(0);
}
