/** The declaration that operators keep in version control: organisations, models, services. */
import {z} from 'zod';
import {DeclarationError, type DeclarationIssue} from '@jasminepost/core';

const name = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,63}$/, 'a name of a-z, 0-9, ".", "_", "-"');
const sha256 = z.string().regex(/^[0-9a-f]{64}$/, 'a SHA-256 in lower-case hex');

const adapter = z.strictObject({name, sizeMiB: z.number().int().positive()});

const model = z.strictObject({
  name,
  weightsMiB: z.number().int().positive(),
  /** Smallest KV cache with which the model is useful. */
  kvFloorMiB: z.number().int().nonnegative(),
  /** Copies that are always kept, spread over availability zones. */
  floorCopies: z.number().int().min(1).max(64),
  /** Mean time a request holds a slot, until it has been measured. */
  serviceMs: z.number().int().positive().default(1000),
  adapters: z.array(adapter).default([]),
});

const service = z.strictObject({
  name,
  /** Calls that may not be repeated; each needs an idempotency key. */
  nonIdempotent: z
    .array(z.strictObject({method: z.string().min(1), pathPrefix: z.string().startsWith('/')}))
    .default([]),
});

const organisation = z.strictObject({
  name,
  class: z.enum(['paid', 'trial']),
  keys: z.array(z.strictObject({id: name, sha256})).min(1),
  models: z.array(name),
  services: z.array(name).default([]),
  /** Over all entries; 0 for no limit. */
  requestsPerS: z.number().nonnegative().default(0),
  concurrency: z.number().int().nonnegative().default(0),
  targets: z
    .strictObject({
      firstTokenMs: z.number().int().positive(),
      betweenTokensMs: z.number().int().positive(),
    })
    .default({firstTokenMs: 320, betweenTokensMs: 27}),
});

/** @public */
export const declarationSchema = z.strictObject({
  version: z.literal(1),
  /** Relative weight of attainment against moves. */
  objective: z
    .strictObject({attainment: z.number().min(0).max(1), moves: z.number().min(0).max(1)})
    .default({attainment: 0.5, moves: 0.5}),
  organisations: z.array(organisation),
  models: z.array(model),
  services: z.array(service).default([]),
});

/** @public */
export type Declaration = z.infer<typeof declarationSchema>;
/** @public */
export type ModelDeclaration = z.infer<typeof model>;
/** @public */
export type AdapterDeclaration = z.infer<typeof adapter>;
/** @public */
export type ServiceDeclaration = z.infer<typeof service>;
/** @public */
export type OrganisationDeclaration = z.infer<typeof organisation>;

/**
 * Checks a declaration's text.
 *
 * @param file - Name shown in errors.
 * @throws DeclarationError with every fault: path, what was found and what was wanted.
 * @example
 * const declaration = parseDeclaration('kowhai.json', await readFile('kowhai.json', 'utf8'));
 * @public
 */
export function parseDeclaration(file: string, text: string): Declaration {
  const raw = parseJson(file, text);
  const parsed = declarationSchema.safeParse(raw);
  if (!parsed.success) throw new DeclarationError(file, parsed.error.issues.map(toFault(raw)));
  const faults = [...duplicateFaults(parsed.data), ...referenceFaults(parsed.data)];
  if (faults.length > 0) throw new DeclarationError(file, faults);
  return parsed.data;
}

/** Parses JSON. @throws DeclarationError when the text is not JSON. @internal */
export function parseJson(file: string, text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch (thrown) {
    throw new DeclarationError(file, [
      {path: '(file)', found: String(thrown), wanted: 'a JSON document'},
    ]);
  }
}

/** Turns a schema issue into a fault that shows the offending value. @internal */
export function toFault(raw: unknown): (issue: z.core.$ZodIssue) => DeclarationIssue {
  return issue => ({
    path: issue.path.join('.') || '(top)',
    found: show(valueAt(raw, issue.path)),
    wanted: issue.message,
  });
}

function valueAt(raw: unknown, path: readonly PropertyKey[]): unknown {
  let value = raw;
  for (const step of path) {
    if (typeof value !== 'object' || value === null) return undefined;
    value = (value as Record<PropertyKey, unknown>)[step];
  }
  return value;
}

function show(value: unknown): string {
  const text = value === undefined ? 'nothing' : JSON.stringify(value);
  return text.length > 80 ? `${text.slice(0, 77)}...` : text;
}

function duplicateFaults(declaration: Declaration): DeclarationIssue[] {
  const faults: DeclarationIssue[] = [];
  const check = (path: string, names: readonly string[]) => {
    names.forEach((found, index) => {
      if (names.indexOf(found) === index) return;
      faults.push({path: `${path}.${index}`, found: show(found), wanted: 'a name used once'});
    });
  };
  check(
    'organisations',
    declaration.organisations.map(o => o.name),
  );
  check(
    'models',
    declaration.models.map(m => m.name),
  );
  check(
    'services',
    declaration.services.map(s => s.name),
  );
  check(
    'organisations.keys',
    declaration.organisations.flatMap(o => o.keys.map(k => k.sha256)),
  );
  declaration.models.forEach((m, index) => {
    check(
      `models.${index}.adapters`,
      m.adapters.map(a => a.name),
    );
  });
  return faults;
}

function referenceFaults(declaration: Declaration): DeclarationIssue[] {
  const models = new Set(declaration.models.map(m => m.name));
  const services = new Set(declaration.services.map(s => s.name));
  return declaration.organisations.flatMap((org, index) => [
    ...missing(`organisations.${index}.models`, org.models, models, 'a declared model'),
    ...missing(`organisations.${index}.services`, org.services, services, 'a declared service'),
  ]);
}

function missing(
  path: string,
  names: readonly string[],
  known: ReadonlySet<string>,
  wanted: string,
): DeclarationIssue[] {
  return names.flatMap((found, index) =>
    known.has(found) ? [] : [{path: `${path}.${index}`, found: show(found), wanted}],
  );
}
