/** jasminepost-gateway: takes callers' requests and sends them to replicas directly. */
import {runProgram} from '@jasminepost/core';
import {checkGatewaySettings, GATEWAY_SETTINGS} from './settings.ts';
import {startGateway} from './wire.ts';

void runProgram('jasminepost-gateway', GATEWAY_SETTINGS, raw =>
  startGateway(checkGatewaySettings(raw)),
);
