/** Reads the active configuration and the status of running processes. */
import {CounterFamily, type HostPort} from '@jasminepost/core';
import {CONFIG_KEY, parseConfig, type ConfigDocument} from '@jasminepost/operator';
import {
  InstanceListClient,
  KeyValueClient,
  type KeyValueCall,
  type ListedInstance,
} from '@jasminepost/key_value';
import {OperatorClient, type ProcessStatus} from './operator_client.ts';

/** @internal */
export function openKeyValue(url: string): KeyValueClient {
  return new KeyValueClient(url, new CounterFamily<KeyValueCall>('calls', '', 'call'));
}

/** Reads the active configuration; undefined before the first accept. @internal */
export async function readActiveConfig(kv: KeyValueClient): Promise<ConfigDocument | undefined> {
  const entry = await kv.get(CONFIG_KEY);
  if (entry === null) return undefined;
  const parsed = parseConfig(entry.value);
  if (!parsed.ok) throw new Error(`active configuration is malformed: ${parsed.error}`);
  return parsed.value;
}

/** @internal */
export function addressOf(instance: ListedInstance): HostPort {
  return {host: instance.host, port: instance.port};
}

/** Reads the status of every listed process; undefined for those that do not respond. @internal */
export async function readStatuses(
  instanceListUrl: string,
  meshKey: string,
): Promise<Array<{readonly instance: ListedInstance; readonly status: ProcessStatus | undefined}>> {
  const instances = await InstanceListClient.read(instanceListUrl);
  const operator = new OperatorClient(meshKey);
  return Promise.all(
    instances.map(async instance => {
      try {
        const status = (await operator.ask(addressOf(instance), 'status')) as ProcessStatus;
        return {instance, status};
      } catch {
        return {instance, status: undefined};
      }
    }),
  );
}
