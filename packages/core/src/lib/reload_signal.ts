/**
 * Takes SIGHUP from the moment at which this module is loaded: its default action would end the
 * process. Programs load it before anything else, and it imports nothing.
 */

let reload: (() => void) | undefined;
/** True when the signal came before anything could handle it. */
let pending = false;

process.on('SIGHUP', () => {
  if (reload === undefined) pending = true;
  else reload();
});

/**
 * Sets what a SIGHUP does. One that came earlier is handled now.
 *
 * @example
 * onReloadSignal(() => settings.readAgain());
 * @public
 */
export function onReloadSignal(handle: () => void): void {
  reload = handle;
  if (!pending) return;
  pending = false;
  handle();
}
