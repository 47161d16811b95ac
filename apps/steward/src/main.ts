/** jasminepost-steward: reports on the model replica beside it and gives it its orders. */
import '@jasminepost/core/reload_signal';

// The rest takes long to load; a SIGHUP may come first.
const {runProgram} = await import('@jasminepost/core');
const {parseStewardSettings: checkStewardSettings, STEWARD_SETTINGS} =
  await import('./settings.ts');
const {startSteward} = await import('./wire.ts');

void runProgram('jasminepost-steward', STEWARD_SETTINGS, raw =>
  startSteward(checkStewardSettings(raw)),
);
