/**
 * Handles SIGHUP from the moment this module is loaded, because the signal's default action ends
 * the process. Programs import it first, and it imports nothing itself.
 */

let reloadHandler: (() => void) | undefined;
/** True when a signal arrived before a handler was set. */
let isReloadPending = false;

process.on('SIGHUP', () => {
  if (reloadHandler === undefined) isReloadPending = true;
  else reloadHandler();
});

/**
 * Sets the handler of SIGHUP, and calls it at once when a signal has already arrived.
 *
 * @example
 * onReloadSignal(() => settings.reload());
 * @public
 */
export function onReloadSignal(handler: () => void): void {
  reloadHandler = handler;
  if (!isReloadPending) return;
  isReloadPending = false;
  handler();
}
