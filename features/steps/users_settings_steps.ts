/** Steps about the settings file of the users' platform. */
import assert from 'node:assert/strict';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {Then, When} from '@cucumber/cucumber';
import {runToEnd} from '../support/fleet_process.ts';
import {usersSettings} from '../support/users_settings.ts';
import type {FleetWorld} from '../support/world.ts';

const exits = new WeakMap<FleetWorld, {readonly code: number; readonly output: string}>();

When(
  /^a gateway starts with a settings file with (.*)$/,
  async function (this: FleetWorld, fault: string) {
    const settings: Record<string, unknown> = usersSettings('gateway-1', '127.0.0.1', {
      listenAddrs: {front: '127.0.0.1:1', readyAddr: '127.0.0.1:2'},
      platform: {address: '127.0.0.1:3', ttlMinMs: 1000},
    });
    switch (fault) {
      case 'no node':
        delete settings.node;
        break;
      case 'a bad store address':
        settings.platform = {address: 'nowhere', ttlMinMs: 1000};
        break;
      case 'no address for callers':
        settings.listenAddrs = {};
        break;
      case 'a text as a bound':
        settings.bounds = {...(settings.bounds as object), drainMs: 'soon'};
        break;
      default:
        assert.fail(`unknown fault ${fault}`);
    }
    const path = join(mkdtempSync(join(tmpdir(), 'jasminepost-settings-')), 'node.json');
    writeFileSync(path, JSON.stringify(settings));
    exits.set(this, await runToEnd('jasminepost-gateway', ['--config', path, '--mesh-key', 'k']));
  },
);

Then('it exits at once and names {string}', function (this: FleetWorld, field: string) {
  const {code, output} = exits.get(this)!;
  assert.equal(code, 2);
  assert.ok(output.includes(field), output);
});
