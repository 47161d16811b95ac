/** jasminepost-gateway: accepts requests from callers and forwards them directly to replicas. */
import '@jasminepost/core/reload_signal';

// Imported dynamically after the SIGHUP handler is installed: loading the rest takes long, and a
// SIGHUP that arrives during it would otherwise end the process.
const {runProgram} = await import('@jasminepost/core');
const {parseGatewaySettings: checkGatewaySettings, GATEWAY_SETTINGS} =
  await import('./settings.ts');
const {startGateway} = await import('./wire.ts');

void runProgram('jasminepost-gateway', GATEWAY_SETTINGS, raw =>
  startGateway(checkGatewaySettings(raw)),
);
