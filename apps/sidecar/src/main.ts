/** jasminepost-sidecar: all requests to one upstream pass through its sidecar. */
import {runProgram} from '@jasminepost/core';
import {parseSidecarSettings, SIDECAR_SETTINGS} from './settings.ts';
import {startSidecar} from './wire.ts';

void runProgram('jasminepost-sidecar', SIDECAR_SETTINGS, raw =>
  startSidecar(parseSidecarSettings(raw)),
);
