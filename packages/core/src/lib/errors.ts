/** Error classes shared by all programs. */

/** Base class; `code` is stable, so that logs and tests can match on it. @public */
export class JasminepostError extends Error {
  constructor(
    readonly code: string,
    message: string,
  ) {
    super(message);
    this.name = new.target.name;
  }
}

/** A flag or environment variable that is missing or malformed. @public */
export class SettingsError extends JasminepostError {
  constructor(setting: string, found: string, wanted: string) {
    super('bad_setting', `${setting}: found ${found}, wanted ${wanted}`);
  }
}

/** One invalid value in a declaration file. @public */
export interface DeclarationIssue {
  readonly path: string;
  readonly found: string;
  readonly wanted: string;
}

/** An invalid declaration; the message lists every issue. @public */
export class DeclarationError extends JasminepostError {
  constructor(
    readonly file: string,
    readonly issues: readonly DeclarationIssue[],
  ) {
    const lines = issues.map(f => `${file}: ${f.path}: found ${f.found}, wanted ${f.wanted}`);
    super('bad_declaration', lines.join('\n'));
  }
}

/**
 * Whether a failed call to the platform had an effect: `unavailable` means none, `unknown_outcome`
 * that it may have been applied, `rejected` that the call was malformed.
 *
 * @public
 */
export type PlatformErrorKind = 'unavailable' | 'unknown_outcome' | 'rejected';

/** A failed call to one of the platform's services. @public */
export class PlatformError extends JasminepostError {
  constructor(
    readonly fault: PlatformErrorKind,
    message: string,
  ) {
    super(`platform_${fault}`, message);
  }
}

/** A protocol error on a link between two processes of this system. @public */
export class MeshError extends JasminepostError {}

/** A failed call to an upstream. @public */
export class UpstreamError extends JasminepostError {}

/** Message of a thrown value of any type. @public */
export function errorMessage(thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown);
}
