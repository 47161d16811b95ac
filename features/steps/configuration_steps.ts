/** Steps about configurations, declarations and settings. */
import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {sleep} from '@jasminepost/core';
import {FleetProcess, runToEnd, until} from '../support/fleet_process.ts';
import type {FleetMember} from '../support/fleet_types.ts';
import {TestFleet} from '../support/test_fleet.ts';
import type {FleetWorld} from '../support/world.ts';

const KEY_SHA256 = 'a'.repeat(64);

interface CommandResult {
  readonly code: number;
  readonly output: string;
}

const commandResults = new WeakMap<FleetWorld, CommandResult[]>();
const observedGenerations = new WeakMap<FleetWorld, Map<string, number[]>>();

function listProcesses(fleet: TestFleet): FleetMember[] {
  return [...fleet.entries, ...fleet.sidecars];
}

/** Records the configuration generation of each process until the scenario ends. */
function recordGenerations(world: FleetWorld): void {
  const generationsById = new Map<string, number[]>();
  observedGenerations.set(world, generationsById);
  const timer = setInterval(() => {
    for (const member of listProcesses(world.fleet)) {
      const recordGeneration = async () => {
        const {generation} = await world.fleet.status(member);
        generationsById.set(member.id, [
          ...(generationsById.get(member.id) ?? []),
          Number(generation),
        ]);
      };
      recordGeneration().catch(() => undefined);
    }
  }, 100);
  world.cleanups.push(() => clearInterval(timer));
}

async function restartDuringOutage(world: FleetWorld, member: FleetMember): Promise<void> {
  await world.fleet.accept(world.fleet.declaration({objective: {attainment: 1, moves: 0}}));
  await world.fleet.setFaults(world.fleet.keyValueUrl, {outage: 'hang'});
  await world.fleet.restart(member);
}

type AcceptFault = (world: FleetWorld, accept: () => Promise<void>) => Promise<void>;

const ACCEPT_FAULTS: Readonly<Record<string, AcceptFault>> = {
  'with no fault': (_world, accept) => accept(),
  'and the key-value service goes down right after': async (world, accept) => {
    await world.fleet.setFaults(world.fleet.keyValueUrl, {loseWatches: true});
    await accept();
    await world.fleet.setFaults(world.fleet.keyValueUrl, {outage: 'refuse'});
  },
  'and the key-value service hangs right after': async (world, accept) => {
    await world.fleet.setFaults(world.fleet.keyValueUrl, {loseWatches: true});
    await accept();
    await world.fleet.setFaults(world.fleet.keyValueUrl, {outage: 'hang'});
  },
  'while watches lose their changes': async (world, accept) => {
    await world.fleet.setFaults(world.fleet.keyValueUrl, {loseWatches: true});
    await accept();
  },
  'and 1 entry restarts during an outage': world =>
    restartDuringOutage(world, world.fleet.entries[0]),
  'and 1 sidecar restarts during an outage': world =>
    restartDuringOutage(world, world.fleet.sidecars[0]),
  'and the answer to the accept is lost': async (world, accept) => {
    const faults = {loseAnswers: 1, losePrefix: 'config/'};
    await world.fleet.setFaults(world.fleet.keyValueUrl, faults);
    await accept();
  },
  'and 1 entry is paused for 3 s': async (world, accept) => {
    world.fleet.entries[0].process.signal('SIGSTOP');
    await accept();
    await sleep(3000);
    world.fleet.entries[0].process.signal('SIGCONT');
  },
};

When(/^a configuration is accepted, (.+)$/, async function (this: FleetWorld, fault: string) {
  recordGenerations(this);
  const accept = () =>
    this.fleet.accept(this.fleet.declaration({objective: {attainment: 1, moves: 0}}));
  await ACCEPT_FAULTS[fault](this, accept);
  this.savedValues.set('acceptedMs', performance.now());
});

Then(
  'every process has generation {int} within {int} ms',
  async function (this: FleetWorld, generation: number, limitMs: number) {
    await until(`generation ${generation} everywhere`, limitMs, async () => {
      const statuses = await Promise.all(listProcesses(this.fleet).map(m => this.fleet.status(m)));
      return statuses.every(status => status['generation'] === generation) ? true : undefined;
    });
  },
);

Then('no process ever returned to an older generation', async function (this: FleetWorld) {
  await sleep(500);
  for (const [id, seen] of observedGenerations.get(this)!) {
    // A restarted process has generation 0 until a peer has sent it the configuration.
    const known = seen.filter(generation => generation > 0);
    const sorted = [...known].sort((a, b) => a - b);
    assert.deepEqual(known, sorted, id);
  }
});

When(
  '{int} operators accept different configurations based on generation {int} at once',
  async function (this: FleetWorld, operators: number, generation: number) {
    const accepts = Array.from({length: operators}, (_, i) => {
      const objective = {attainment: i / operators, moves: 1 - i / operators};
      const declaration = this.fleet.declaration({objective});
      return this.fleet.tryAccept(declaration, generation, `operator-${i}`);
    });
    commandResults.set(this, await Promise.all(accepts));
  },
);

Then(
  'exactly {int} is accepted and the other operators are told whose it was',
  async function (this: FleetWorld, accepted: number) {
    const all = commandResults.get(this)!;
    assert.equal(all.filter(result => result.code === 0).length, accepted);
    const winner = all.findIndex(result => result.code === 0);
    for (const result of all.filter(r => r.code !== 0)) {
      assert.equal(result.code, 3, result.output);
      assert.ok(result.output.includes(`by operator-${winner} `), result.output);
    }
  },
);

Then('every process has the same configuration', async function (this: FleetWorld) {
  const statuses = await Promise.all(listProcesses(this.fleet).map(m => this.fleet.status(m)));
  assert.equal(new Set(statuses.map(status => status['hash'])).size, 1);
});

When(
  'an operator accepts a configuration based on generation {int}',
  async function (this: FleetWorld, generation: number) {
    const result = await this.fleet.tryAccept(this.fleet.declaration(), generation);
    commandResults.set(this, [result]);
  },
);

When(
  'an operator accepts models of {int} MiB with {int} copies each, based on generation {int}',
  async function (this: FleetWorld, weightsMiB: number, floorCopies: number, generation: number) {
    const model = (name: string) => ({name, weightsMiB, kvFloorMiB: 0, floorCopies});
    const models = [model('summary'), model('second')];
    const declaration = this.fleet.declaration({models});
    commandResults.set(this, [await this.fleet.tryAccept(declaration, generation)]);
  },
);

Then(
  'the command ends with {int} and says {string}',
  function (this: FleetWorld, code: number, text: string) {
    assertCommandResult(this, code, text);
  },
);

Then(
  /^the command ends with (\d+) and says "(.*"[^"]*".*)"$/,
  function (this: FleetWorld, code: string, text: string) {
    assertCommandResult(this, Number(code), text);
  },
);

function assertCommandResult(world: FleetWorld, code: number, text: string): void {
  const [result] = commandResults.get(world)!;
  assert.equal(result.code, code, result.output);
  assert.ok(result.output.includes(text), result.output);
}

function buildFaultyDeclaration(fault: string): string {
  const model = {name: 'a', weightsMiB: 1, kvFloorMiB: 0, floorCopies: 1};
  const organisation = {
    name: 'o',
    class: 'paid',
    keys: [{id: 'k', sha256: KEY_SHA256}],
    models: ['a'],
  };
  const base = {version: 1, organisations: [organisation], models: [model]};
  switch (fault) {
    case 'no JSON':
      return '{';
    case 'an unknown model':
      return JSON.stringify({...base, organisations: [{...organisation, models: ['nope']}]});
    case 'a name twice':
      return JSON.stringify({...base, models: [model, model]});
    case 'a negative size':
      return JSON.stringify({...base, models: [{...model, weightsMiB: -1}]});
    case 'a key in plain text': {
      const keys = [{id: 'k', sha256: 'secret'}];
      return JSON.stringify({...base, organisations: [{...organisation, keys}]});
    }
    default:
      return JSON.stringify({...base, surprise: 1});
  }
}

When(
  /^an operator validates a declaration with (.+)$/,
  async function (this: FleetWorld, fault: string) {
    const file = await this.tempFile('declaration.json', buildFaultyDeclaration(fault));
    commandResults.set(this, [await runToEnd('jasminepost', ['validate', file])]);
  },
);

When(
  'an operator reviews a declaration with one more model, as {string}',
  async function (this: FleetWorld, format: string) {
    const {fleet} = this;
    const base = fleet.declaration();
    const models = base['models'] as ReadonlyArray<Readonly<Record<string, unknown>>>;
    const file = await fleet.writeFile('reviewed.json', {
      ...base,
      models: [...models, {...models[0], name: 'second'}],
    });
    const flags = [...fleet.keyValueFlags(), ...fleet.fleetFlags(), '--output', format];
    commandResults.set(this, [await fleet.cli(['review', file, ...flags])]);
  },
);

Then('it says {string}', function (this: FleetWorld, text: string) {
  const [{output}] = commandResults.get(this)!;
  assert.ok(output.includes(text), output);
});

When('the questionnaire is answered at the terminal', async function (this: FleetWorld) {
  const inputLines = [
    'karori-desk',
    'trial',
    KEY_SHA256,
    '[{"name": "summary-7b", "weightsGiB": 14, "kvFloorGiB": 2}]',
    '[{"name": "index", "nonIdempotent": [{"method": "POST", "pathPrefix": "/release"}]}]',
    '3',
    '',
    '',
  ];
  const process = new FleetProcess('jasminepost', ['questionnaire'], true);
  for (const line of inputLines) await process.answer(line);
  const code = await process.exited;
  const output = process.log.join('');
  // The output starts with the questions, which go to standard error.
  commandResults.set(this, [{code, output: output.slice(output.indexOf('{\n'))}]);
});

When('the questionnaire reads its answers from a file', async function (this: FleetWorld) {
  const answers = {
    organisation: 'karori-desk',
    class: 'trial',
    keySha256: KEY_SHA256,
    models: [{name: 'summary-7b', weightsGiB: 14, kvFloorGiB: 2}],
    services: [{name: 'index', nonIdempotent: [{method: 'POST', pathPrefix: '/release'}]}],
    peakRequestsPerS: 3,
  };
  const file = await this.tempFile('answers.json', JSON.stringify(answers));
  commandResults.set(this, [await runToEnd('jasminepost', ['questionnaire', '--answers', file])]);
});

Then(
  'the declaration has the organisation, its models and its services',
  function (this: FleetWorld) {
    const [{code, output}] = commandResults.get(this)!;
    assert.equal(code, 0, output);
    const declaration = JSON.parse(output) as ReturnType<TestFleet['declaration']>;
    assert.deepEqual(declaration['models'], [
      {
        name: 'summary-7b',
        weightsMiB: 14_336,
        kvFloorMiB: 2048,
        floorCopies: 2,
        serviceMs: 1000,
        adapters: [],
      },
    ]);
    const [organisation] = declaration['organisations'] as ReadonlyArray<
      Readonly<Record<string, unknown>>
    >;
    assert.equal(organisation['name'], 'karori-desk');
    assert.equal(organisation['class'], 'trial');
    assert.equal(organisation['requestsPerS'], 3);
    assert.deepEqual(organisation['services'], ['index']);
  },
);

When(
  /^the (entry|sidecar) starts with "(.+)" set to "(.+)"$/,
  async function (this: FleetWorld, program: string, flag: string, value: string) {
    const settings: Record<string, string> = {
      '--id': 'x',
      '--zone': 'z',
      '--key-value-url': 'http://127.0.0.1:1',
      '--instance-list-url': 'http://127.0.0.1:1',
      '--mesh-key': 'k',
      ...(program === 'sidecar' ? {'--upstream-url': 'http://127.0.0.1:1'} : {}),
      [flag]: value,
    };
    const args = Object.entries(settings).flat();
    commandResults.set(this, [await runToEnd(`jasminepost-${program}`, args)]);
  },
);
