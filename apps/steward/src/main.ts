/** jasminepost-steward: reports the state of the local model replica and sends it orders. */
import '@jasminepost/core/reload_signal';

// Imported dynamically, because a SIGHUP may arrive before these modules have loaded.
const {runProgram} = await import('@jasminepost/core');
const {parseStewardSettings: checkStewardSettings, STEWARD_SETTINGS} =
  await import('./settings.ts');
const {startSteward} = await import('./wire.ts');

void runProgram('jasminepost-steward', STEWARD_SETTINGS, raw =>
  startSteward(checkStewardSettings(raw)),
);
