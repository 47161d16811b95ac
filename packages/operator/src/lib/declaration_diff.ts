/** Computes the differences between two declarations, for review. */
import type {Declaration} from './declaration.ts';

/** @public */
export interface DeclarationChange {
  readonly kind: 'added' | 'removed' | 'changed';
  readonly path: string;
  readonly before: string;
  readonly after: string;
}

/**
 * Lists the changed fields. Items are matched by name, not by position.
 *
 * @example
 * diffDeclarations(before, after); // [{kind: 'added', path: 'models/summary-7b', ...}]
 * @public
 */
export function diffDeclarations(
  before: Declaration | undefined,
  after: Declaration,
): DeclarationChange[] {
  const beforeFields = flattenDeclaration(before);
  const afterFields = flattenDeclaration(after);
  const changes: DeclarationChange[] = [];
  for (const [path, value] of afterFields) {
    const previous = beforeFields.get(path);
    if (previous === undefined) changes.push({kind: 'added', path, before: '', after: value});
    else if (previous !== value) {
      changes.push({kind: 'changed', path, before: previous, after: value});
    }
  }
  for (const [path, value] of beforeFields) {
    if (!afterFields.has(path)) changes.push({kind: 'removed', path, before: value, after: ''});
  }
  return changes;
}

function flattenDeclaration(declaration: Declaration | undefined): Map<string, string> {
  const fields = new Map<string, string>();
  if (declaration === undefined) return fields;
  fields.set('objective', JSON.stringify(declaration.objective));
  for (const section of ['organisations', 'models', 'services'] as const) {
    for (const item of declaration[section]) {
      for (const [field, value] of Object.entries(item)) {
        if (field === 'name') continue;
        fields.set(`${section}/${item.name}/${field}`, JSON.stringify(value));
      }
    }
  }
  return fields;
}
