/** jasminepost-steward: reports on the model replica beside it and gives it its orders. */
import {runProgram} from '@jasminepost/core';
import {checkStewardSettings, STEWARD_SETTINGS} from './settings.ts';
import {startSteward} from './wire.ts';

void runProgram('jasminepost-steward', STEWARD_SETTINGS, raw =>
  startSteward(checkStewardSettings(raw)),
);
