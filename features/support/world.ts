/** State of one scenario. */
import {After, AfterAll, setDefaultTimeout, setWorldConstructor, World} from '@cucumber/cucumber';
import type {CompletionAnswer, ServiceAnswer} from './caller.ts';
import {TestFleet, type FleetOptions} from './test_fleet.ts';

const STEP_TIMEOUT_MS = 90_000;

export class FleetWorld extends World {
  private ownFleet: TestFleet | undefined;
  private usesShared = false;
  completion: CompletionAnswer | undefined;
  completions: CompletionAnswer[] = [];
  call: ServiceAnswer | undefined;
  calls: ServiceAnswer[] = [];
  /** Raw answer of a call that checks an error. */
  answer: {readonly status: number; readonly text: string; readonly headers: Headers} | undefined;
  /** Names in a list of models. */
  listed = '';
  /** Work that a later step waits for. */
  pending: Promise<unknown> = Promise.resolve();
  /** Values that one step notes for a later one. */
  readonly notes = new Map<string, number>();

  get fleet(): TestFleet {
    const fleet = this.usesShared ? sharedFleet : this.ownFleet;
    if (fleet === undefined) throw new Error('the scenario has no fleet');
    return fleet;
  }

  async startFleet(options: FleetOptions): Promise<void> {
    this.ownFleet = new TestFleet(options);
    await this.ownFleet.start();
  }

  /** Uses one fleet for all scenarios that leave it as they found it. */
  async shareFleet(): Promise<void> {
    this.usesShared = true;
    if (sharedFleet !== undefined) return;
    sharedFleet = new TestFleet({engines: 2, services: 1, entries: 2});
    await sharedFleet.start();
  }

  async dispose(): Promise<void> {
    await this.ownFleet?.stop();
  }
}

let sharedFleet: TestFleet | undefined;

setDefaultTimeout(STEP_TIMEOUT_MS);
setWorldConstructor(FleetWorld);

After(async function (this: FleetWorld) {
  await this.dispose();
});

AfterAll(async () => {
  await sharedFleet?.stop();
});
