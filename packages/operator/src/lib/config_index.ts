/** Lookup tables of a configuration, built once when it becomes active. */
import {sha256Hex} from '@jasminepost/core';
import type {ConfigDocument} from './config_document.ts';
import type {ModelDeclaration, OrganisationDeclaration, ServiceDeclaration} from './declaration.ts';

/** API key of a caller, with its organisation. @public */
export interface Credential {
  readonly organisation: OrganisationDeclaration;
  readonly keyId: string;
}

/** @public */
export class ConfigIndex {
  readonly models: ReadonlyMap<string, ModelDeclaration>;
  readonly services: ReadonlyMap<string, ServiceDeclaration>;
  private readonly credentials = new Map<string, Credential>();

  constructor(readonly document: ConfigDocument) {
    const {declaration} = document;
    this.models = new Map(declaration.models.map(model => [model.name, model]));
    this.services = new Map(declaration.services.map(service => [service.name, service]));
    for (const organisation of declaration.organisations) {
      for (const key of organisation.keys) {
        this.credentials.set(key.sha256, {organisation, keyId: key.id});
      }
    }
  }

  /** Finds the organisation of an API key by its hash; keys themselves are not stored. */
  authenticate(apiKey: string): Credential | undefined {
    return this.credentials.get(sha256Hex(apiKey));
  }

  /** Resolves `model` or `model:adapter`; undefined when the organisation may not call it. */
  findModel(
    organisation: OrganisationDeclaration,
    requested: string,
  ): {readonly model: ModelDeclaration; readonly adapter: string} | undefined {
    const [name = '', adapter = ''] = requested.split(':', 2);
    const model = this.models.get(name);
    if (model === undefined || !organisation.models.includes(name)) return undefined;
    const known = adapter === '' || model.adapters.some(a => a.name === adapter);
    return known ? {model, adapter} : undefined;
  }

  /** Undefined when the organisation may not call the service. */
  findService(organisation: OrganisationDeclaration, name: string): ServiceDeclaration | undefined {
    return organisation.services.includes(name) ? this.services.get(name) : undefined;
  }
}
