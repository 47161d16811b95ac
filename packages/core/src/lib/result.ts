/** Success or failure as a value, for functions whose failures are expected in normal operation. */

/** @public */
export type Result<T, E> =
  {readonly ok: true; readonly value: T} | {readonly ok: false; readonly error: E};

/** @public */
export function ok<T>(value: T): {readonly ok: true; readonly value: T} {
  return {ok: true, value};
}

/** @public */
export function err<E>(error: E): {readonly ok: false; readonly error: E} {
  return {ok: false, error};
}
