/**
 * Takes SIGHUP from the moment at which this module is loaded: its default action would end the
 * process. Programs load it before anything else, and it imports nothing.
 */

let reloadHandler: (() => void) | undefined;
/** True when the signal came before anything could handle it. */
let isReloadPending = false;

process.on('SIGHUP', () => {
  if (reloadHandler === undefined) isReloadPending = true;
  else reloadHandler();
});

/**
 * Sets what a SIGHUP does. One that came earlier is handled now.
 *
 * @example
 * onReloadSignal(() => settings.readAgain());
 * @public
 */
export function onReloadSignal(handler: () => void): void {
  reloadHandler = handler;
  if (!isReloadPending) return;
  isReloadPending = false;
  handler();
}
