/** Schema of the declaration of organisations, models and services, kept in version control. */
import * as z from 'zod';
import {DeclarationError, type DeclarationIssue} from '@jasminepost/core';

const nameSchema = z
  .string()
  .regex(/^[a-z0-9][a-z0-9._-]{0,63}$/, 'a name of a-z, 0-9, ".", "_", "-"');
const sha256Schema = z.string().regex(/^[0-9a-f]{64}$/, 'a SHA-256 in lower-case hex');

const adapterSchema = z.strictObject({name: nameSchema, sizeMiB: z.number().int().positive()});

const modelSchema = z.strictObject({
  name: nameSchema,
  weightsMiB: z.number().int().positive(),
  /** Smallest size of the KV cache with which the model is usable. */
  kvFloorMiB: z.number().int().nonnegative(),
  /** Minimum number of copies, distributed over availability zones. */
  floorCopies: z.number().int().min(1).max(64),
  /** Assumed mean time for which a request occupies a slot, until it has been measured. */
  serviceMs: z.number().int().positive().default(1000),
  adapters: z.array(adapterSchema).default([]),
});

const serviceSchema = z.strictObject({
  name: nameSchema,
  /** Calls that must not run twice and need an idempotency key. */
  nonIdempotent: z
    .array(z.strictObject({method: z.string().min(1), pathPrefix: z.string().startsWith('/')}))
    .default([]),
});

const organisationSchema = z.strictObject({
  name: nameSchema,
  class: z.enum(['paid', 'trial']),
  keys: z.array(z.strictObject({id: nameSchema, sha256: sha256Schema})).min(1),
  models: z.array(nameSchema),
  services: z.array(nameSchema).default([]),
  /** Limits over all entries together; 0 for no limit. */
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
  /** Relative weights of target attainment and of avoided moves. */
  objective: z
    .strictObject({attainment: z.number().min(0).max(1), moves: z.number().min(0).max(1)})
    .default({attainment: 0.5, moves: 0.5}),
  organisations: z.array(organisationSchema),
  models: z.array(modelSchema),
  services: z.array(serviceSchema).default([]),
});

/** @public */
export type Declaration = z.infer<typeof declarationSchema>;
/** @public */
export type ModelDeclaration = z.infer<typeof modelSchema>;
/** @public */
export type AdapterDeclaration = z.infer<typeof adapterSchema>;
/** @public */
export type ServiceDeclaration = z.infer<typeof serviceSchema>;
/** @public */
export type OrganisationDeclaration = z.infer<typeof organisationSchema>;

/**
 * Parses and validates a declaration.
 *
 * @param file - File name shown in errors.
 * @throws DeclarationError with all errors, each with its path and the found and expected values.
 * @example
 * const declaration = parseDeclaration('kowhai.json', await readFile('kowhai.json', 'utf8'));
 * @public
 */
export function parseDeclaration(file: string, text: string): Declaration {
  const raw = parseJson(file, text);
  const parsed = declarationSchema.safeParse(raw);
  if (!parsed.success)
    throw new DeclarationError(file, parsed.error.issues.map(toDeclarationIssue(raw)));
  const issues = [...findDuplicates(parsed.data), ...findUnknownReferences(parsed.data)];
  if (issues.length > 0) throw new DeclarationError(file, issues);
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

/** Converts a schema issue into a declaration issue that shows the invalid value. @internal */
export function toDeclarationIssue(raw: unknown): (issue: z.core.$ZodIssue) => DeclarationIssue {
  return issue => ({
    path: issue.path.join('.') || '(top)',
    found: formatValue(valueAt(raw, issue.path)),
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

function formatValue(value: unknown): string {
  const text = value === undefined ? 'nothing' : JSON.stringify(value);
  return text.length > 80 ? `${text.slice(0, 77)}...` : text;
}

function findDuplicates(declaration: Declaration): DeclarationIssue[] {
  const issues: DeclarationIssue[] = [];
  const check = (path: string, names: readonly string[]) => {
    names.forEach((found, index) => {
      if (names.indexOf(found) === index) return;
      issues.push({
        path: `${path}.${index}`,
        found: formatValue(found),
        wanted: 'a name used once',
      });
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
  return issues;
}

function findUnknownReferences(declaration: Declaration): DeclarationIssue[] {
  const models = new Set(declaration.models.map(m => m.name));
  const services = new Set(declaration.services.map(s => s.name));
  return declaration.organisations.flatMap((org, index) => [
    ...unknownReferences(`organisations.${index}.models`, org.models, models, 'a declared model'),
    ...unknownReferences(
      `organisations.${index}.services`,
      org.services,
      services,
      'a declared service',
    ),
  ]);
}

function unknownReferences(
  path: string,
  names: readonly string[],
  known: ReadonlySet<string>,
  wanted: string,
): DeclarationIssue[] {
  return names.flatMap((found, index) =>
    known.has(found) ? [] : [{path: `${path}.${index}`, found: formatValue(found), wanted}],
  );
}
