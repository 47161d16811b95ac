/** Error classes shared by all programs. */

/** Base class; `code` is stable and is what logs and tests match on. @public */
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

/** One fault in a declaration file. @public */
export interface DeclarationIssue {
  readonly path: string;
  readonly found: string;
  readonly wanted: string;
}

/** A declaration that fails its checks; lists every fault. @public */
export class DeclarationError extends JasminepostError {
  constructor(
    readonly file: string,
    readonly issues: readonly DeclarationIssue[],
  ) {
    const lines = issues.map(f => `${file}: ${f.path}: found ${f.found}, wanted ${f.wanted}`);
    super('bad_declaration', lines.join('\n'));
  }
}

/** What a failed call to the platform says about its effect. @public */
export type PlatformErrorKind = 'unavailable' | 'unknown_outcome' | 'rejected';

/** A call to the platform's services that failed. @public */
export class PlatformError extends JasminepostError {
  constructor(
    readonly fault: PlatformErrorKind,
    message: string,
  ) {
    super(`platform_${fault}`, message);
  }
}

/** A fault on a link between two of our own processes. @public */
export class MeshError extends JasminepostError {}

/** A failed call to an upstream. @public */
export class UpstreamError extends JasminepostError {}

/** Text of anything thrown. @public */
export function errorMessage(thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown);
}
