/** Steps that start fleets and inject failures. */
import {Given, When} from '@cucumber/cucumber';
import '../support/world.ts';
import type {FleetWorld} from '../support/world.ts';

Given('the shared fleet', async function (this: FleetWorld) {
  await this.shareFleet();
});

Given(
  'a fleet of {int} engines, {int} services and {int} entries',
  async function (this: FleetWorld, engines: number, services: number, entries: number) {
    await this.startFleet({engines, services, entries});
  },
);

When('sidecar {int} is killed', async function (this: FleetWorld, index: number) {
  await this.fleet.sidecars[index].process.kill();
  // Entries notice the closed connection at once, but not in the same turn of the event loop.
  await new Promise(resolve => setTimeout(resolve, 200));
});

When('the key-value service refuses calls', async function (this: FleetWorld) {
  await this.fleet.setFaults(this.fleet.keyValueUrl, {outage: 'refuse'});
});

When('the key-value service answers nothing', async function (this: FleetWorld) {
  await this.fleet.setFaults(this.fleet.keyValueUrl, {outage: 'hang'});
});

When('the key-value service is back', async function (this: FleetWorld) {
  await this.fleet.setFaults(this.fleet.keyValueUrl, {outage: 'none'});
});

When('the service refuses {int} calls', async function (this: FleetWorld, refuse: number) {
  await this.fleet.setFaults(this.fleet.services[0].url, {refuse});
});

When('the service cuts {int} calls', async function (this: FleetWorld, cut: number) {
  await this.fleet.setFaults(this.fleet.services[0].url, {cut});
});

When('the service takes {int} ms', async function (this: FleetWorld, workMs: number) {
  await this.fleet.setFaults(this.fleet.services[0].url, {workMs});
});

Given(
  'a fleet whose organisations may send one request a second',
  async function (this: FleetWorld) {
    const organisation = {requestsPerS: 1};
    await this.startFleet({engines: 1, services: 0, entries: 1, organisation});
  },
);

Given('a fleet without a configuration', async function (this: FleetWorld) {
  await this.startFleet({engines: 1, services: 0, entries: 1, accept: false});
});

Given(
  'a fleet of {int} engines, {int} services and {int} entries with watches of {int} ms',
  async function (
    this: FleetWorld,
    engines: number,
    services: number,
    entries: number,
    watchMs: number,
  ) {
    const args = ['--watch-ms', String(watchMs)];
    await this.startFleet({engines, services, entries, entryArgs: args, sidecarArgs: args});
  },
);
