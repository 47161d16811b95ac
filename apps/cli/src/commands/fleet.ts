/** Commands that query or control running processes: status, models, drain, explain. */
import {command, positional, string} from 'cmd-ts';
import {InstanceListClient} from '@jasminepost/key_value';
import {EXIT_CODES} from '../lib/exit_codes.ts';
import {OperatorClient} from '../lib/operator_client.ts';
import {instanceListUrl, meshKey, output} from '../lib/options.ts';
import {printRows} from '../lib/output.ts';
import {addressOf, readStatuses} from '../lib/platform_reader.ts';

const HASH_CHARS = 8;

/** @internal */
export const statusCommand = command({
  name: 'status',
  description: 'Show every process and its active generation',
  args: {instanceListUrl, meshKey, output},
  handler: async args => {
    const statuses = await readStatuses(args.instanceListUrl, args.meshKey);
    const rows = statuses.map(({instance, status}) => ({
      id: instance.id,
      role: instance.role,
      zone: instance.zone,
      answers: status !== undefined,
      ready: status?.ready ?? false,
      leaving: status?.leaving ?? instance.state === 'leaving',
      generation: status?.generation ?? 0,
      hash: (status?.hash ?? '').slice(0, HASH_CHARS),
      inProgress: status?.inProgress ?? 0,
      planner: (status?.planner ?? 0) > 0,
    }));
    printRows(rows, args.output);
  },
});

/** @internal */
export const modelsCommand = command({
  name: 'models',
  description: 'Show which replicas serve each model',
  args: {instanceListUrl, meshKey, output},
  handler: async args => {
    const statuses = await readStatuses(args.instanceListUrl, args.meshKey);
    const holders = new Map<string, string[]>();
    for (const {instance, status} of statuses) {
      for (const model of status?.models ?? []) {
        holders.set(model, [...(holders.get(model) ?? []), instance.id]);
      }
    }
    const rows = [...holders]
      .sort(([a], [b]) => a.localeCompare(b))
      .map(([model, replicas]) => ({model, copies: replicas.length, replicas: replicas.join(',')}));
    printRows(rows, args.output);
  },
});

/** @internal */
export const drainCommand = command({
  name: 'drain',
  description: 'Stop new requests to a sidecar; requests in progress finish',
  args: {
    upstream: positional({type: string, displayName: 'sidecar id'}),
    instanceListUrl,
    meshKey,
  },
  handler: async args => {
    const instances = await InstanceListClient.read(args.instanceListUrl);
    const instance = instances.find(i => i.id === args.upstream && i.role === 'sidecar');
    if (instance === undefined) {
      process.stderr.write(`sidecar id: found "${args.upstream}", wanted a listed sidecar\n`);
      process.exitCode = EXIT_CODES.invalidInput;
      return;
    }
    await new OperatorClient(args.meshKey).ask(addressOf(instance), 'drain');
    process.stdout.write(`${args.upstream} is leaving\n`);
  },
});

/** @internal */
export const explainCommand = command({
  name: 'explain',
  description: 'Show the trace of a request',
  args: {
    requestId: positional({type: string, displayName: 'request id'}),
    instanceListUrl,
    meshKey,
    output,
  },
  handler: async args => {
    const instances = await InstanceListClient.read(args.instanceListUrl);
    const operator = new OperatorClient(args.meshKey);
    const entries = instances.filter(i => i.role === 'entry');
    const responses = await Promise.allSettled(
      entries.map(i => operator.ask(addressOf(i), 'explain', args.requestId)),
    );
    for (const [index, response] of responses.entries()) {
      if (response.status === 'rejected' || response.value === null) continue;
      const trace = response.value as {
        readonly steps: ReadonlyArray<Readonly<Record<string, string | number>>>;
      };
      const entry = entries[index].id;
      printRows(
        trace.steps.map(step => ({entry, ...step})),
        args.output,
      );
      return;
    }
    process.stderr.write(
      `request id: found "${args.requestId}", wanted a recent request of any entry\n`,
    );
    process.exitCode = EXIT_CODES.invalidInput;
  },
});
