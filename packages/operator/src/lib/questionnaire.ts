/** Questionnaire for a new team, and the declaration generated from its answers. */
import * as z from 'zod';
import {DeclarationError} from '@jasminepost/core';
import {parseJson, toDeclarationIssue, type Declaration} from './declaration.ts';

const DEFAULT_FLOOR_COPIES = 2;
const MIB_PER_GIB = 1024;

const modelAnswerSchema = z.strictObject({
  name: z.string().min(1),
  weightsGiB: z.number().positive(),
  kvFloorGiB: z.number().nonnegative().default(1),
  adapters: z
    .array(z.strictObject({name: z.string().min(1), sizeMiB: z.number().int()}))
    .default([]),
});

/** @public */
export const answersSchema = z.strictObject({
  organisation: z.string().min(1),
  class: z.enum(['paid', 'trial']),
  /** SHA-256 of the API key; only the team has the key itself. */
  keySha256: z.string().regex(/^[0-9a-f]{64}$/, 'a SHA-256 in lower-case hex'),
  models: z.array(modelAnswerSchema).min(1),
  services: z
    .array(
      z.strictObject({
        name: z.string().min(1),
        nonIdempotent: z
          .array(z.strictObject({method: z.string(), pathPrefix: z.string()}))
          .default([]),
      }),
    )
    .default([]),
  peakRequestsPerS: z.number().nonnegative().default(0),
  firstTokenMs: z.number().int().positive().default(320),
  betweenTokensMs: z.number().int().positive().default(27),
});

/** @public */
export type Answers = z.infer<typeof answersSchema>;

/** A question asked in the terminal. */
interface Question {
  readonly field: keyof Answers;
  readonly text: string;
  /** Converts the input to the value that the schema validates. */
  readonly parse: (typed: string) => unknown;
}

const parseJsonInput = (typed: string): unknown => JSON.parse(typed) as unknown;

/** @public */
export const QUESTIONS: readonly Question[] = [
  {field: 'organisation', text: 'Name of the organisation', parse: typed => typed},
  {field: 'class', text: 'paid or trial', parse: typed => typed},
  {field: 'keySha256', text: 'SHA-256 of the API key', parse: typed => typed},
  {
    field: 'models',
    text: 'Models as JSON: [{"name": "...", "weightsGiB": 14, "kvFloorGiB": 2}]',
    parse: parseJsonInput,
  },
  {field: 'services', text: 'Services as JSON, or []', parse: parseJsonInput},
  {field: 'peakRequestsPerS', text: 'Peak requests per second', parse: Number},
  {field: 'firstTokenMs', text: 'Target time to first token in ms', parse: Number},
  {field: 'betweenTokensMs', text: 'Target time between tokens in ms', parse: Number},
];

/** Parses and validates an answers file. @throws DeclarationError @public */
export function parseAnswers(file: string, text: string): Answers {
  const raw = parseJson(file, text);
  const parsed = answersSchema.safeParse(raw);
  if (!parsed.success)
    throw new DeclarationError(file, parsed.error.issues.map(toDeclarationIssue(raw)));
  return parsed.data;
}

/**
 * Adds an organisation to a declaration, or replaces it. Models and services that are already
 * declared stay unchanged.
 *
 * @example
 * const declaration = applyAnswers(base, parseAnswers('answers.json', text));
 * @public
 */
export function applyAnswers(base: Declaration, answers: Answers): Declaration {
  const declaredModels = new Set(base.models.map(model => model.name));
  const declaredServices = new Set(base.services.map(service => service.name));
  const organisation: Declaration['organisations'][number] = {
    name: answers.organisation,
    class: answers.class,
    keys: [{id: `${answers.organisation}-1`, sha256: answers.keySha256}],
    models: answers.models.map(model => model.name),
    services: answers.services.map(service => service.name),
    requestsPerS: answers.peakRequestsPerS,
    concurrency: 0,
    targets: {firstTokenMs: answers.firstTokenMs, betweenTokensMs: answers.betweenTokensMs},
  };
  const models = answers.models
    .filter(model => !declaredModels.has(model.name))
    .map(model => ({
      name: model.name,
      weightsMiB: Math.ceil(model.weightsGiB * MIB_PER_GIB),
      kvFloorMiB: Math.ceil(model.kvFloorGiB * MIB_PER_GIB),
      floorCopies: DEFAULT_FLOOR_COPIES,
      serviceMs: 1000,
      adapters: model.adapters,
    }));
  return {
    ...base,
    organisations: [
      ...base.organisations.filter(other => other.name !== answers.organisation),
      organisation,
    ],
    models: [...base.models, ...models],
    services: [
      ...base.services,
      ...answers.services.filter(service => !declaredServices.has(service.name)),
    ],
  };
}
