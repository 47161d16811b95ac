/** State of one cucumber scenario, and the hooks that clean up after it. */
import assert from 'node:assert/strict';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {After, AfterAll, setDefaultTimeout, setWorldConstructor, World} from '@cucumber/cucumber';
import type {CompletionResponse, ServiceResponse} from './caller.ts';
import {takeUnexpectedErrors, type FleetProcess} from './fleet_process.ts';
import {LoadRun} from './load_run.ts';
import type {FleetOptions} from './fleet_types.ts';
import {PAID_KEY, TestFleet} from './test_fleet.ts';

const STEP_TIMEOUT_MS = 90_000;

export class FleetWorld extends World {
  private ownFleet: TestFleet | undefined;
  private usesSharedFleet = false;
  private readonly folders: string[] = [];
  completion: CompletionResponse | undefined;
  completions: CompletionResponse[] = [];
  call: ServiceResponse | undefined;
  calls: ServiceResponse[] = [];
  /** Raw response, for checks of an error. */
  answer: {readonly status: number; readonly text: string; readonly headers: Headers} | undefined;
  /** Processes that the scenario started outside its fleet. */
  readonly ownedProcesses: FleetProcess[] = [];
  readonly loads: LoadRun[] = [];
  /** Called at the end of the scenario. */
  readonly cleanups: Array<() => void> = [];
  /** Model names from a model list response. */
  listed = '';
  /** Work that a later step waits for. */
  pending: Promise<unknown> = Promise.resolve();
  /** Values that one step stores for a later one. */
  readonly savedValues = new Map<string, number>();

  get fleet(): TestFleet {
    const fleet = this.usesSharedFleet ? sharedFleet : this.ownFleet;
    if (fleet === undefined) throw new Error('the scenario has no fleet');
    return fleet;
  }

  async startFleet(options: FleetOptions): Promise<void> {
    this.ownFleet = new TestFleet(options);
    await this.ownFleet.start();
  }

  /** Uses the fleet shared by all scenarios that leave it unchanged. */
  async shareFleet(): Promise<void> {
    this.usesSharedFleet = true;
    if (sharedFleet !== undefined) return;
    sharedFleet = new TestFleet({engines: 2, services: 1, entries: 2});
    await sharedFleet.start();
  }

  /** Starts callers distributed over the entries; later steps find them in `loads`. */
  startLoad(callers: number, tokens: number, requests?: number): LoadRun {
    const {entries} = this.fleet;
    const load = new LoadRun({
      callers,
      tokens,
      key: PAID_KEY,
      url: caller => entries[caller % entries.length].url,
      ...(requests === undefined ? {} : {requests}),
    });
    this.loads.push(load);
    return load;
  }

  /** Writes a temporary file; it is deleted after the scenario. */
  async tempFile(name: string, text: string): Promise<string> {
    const folder = await mkdtemp(join(tmpdir(), 'jasminepost-'));
    this.folders.push(folder);
    const file = join(folder, name);
    await writeFile(file, text);
    return file;
  }

  async dispose(): Promise<void> {
    await Promise.all(this.folders.map(folder => rm(folder, {recursive: true})));
    for (const cleanup of this.cleanups) cleanup();
    await Promise.all(this.ownedProcesses.map(process => process.kill()));
    await this.ownFleet?.stop();
  }
}

let sharedFleet: TestFleet | undefined;

setDefaultTimeout(STEP_TIMEOUT_MS);
setWorldConstructor(FleetWorld);

After(async function (this: FleetWorld) {
  await this.dispose();
  assert.deepEqual(takeUnexpectedErrors(), []);
});

AfterAll(async () => {
  await sharedFleet?.stop();
});
