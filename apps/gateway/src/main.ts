/** jasminepost-gateway: takes callers' requests and sends them to replicas directly. */
import '@jasminepost/core/reload_signal';

// The rest takes long to load; a SIGHUP may come first.
const {runProgram} = await import('@jasminepost/core');
const {parseGatewaySettings: checkGatewaySettings, GATEWAY_SETTINGS} =
  await import('./settings.ts');
const {startGateway} = await import('./wire.ts');

void runProgram('jasminepost-gateway', GATEWAY_SETTINGS, raw =>
  startGateway(checkGatewaySettings(raw)),
);
