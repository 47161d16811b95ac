/** Steps that send requests as a caller and check the responses. */
import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {callService, complete, isCompleteText, type CallerError} from '../support/caller.ts';
import {PAID_KEY, TRIAL_KEY} from '../support/test_fleet.ts';
import type {FleetWorld} from '../support/world.ts';

const MIB = 1024 * 1024;

When('a paid caller asks for {int} tokens', async function (this: FleetWorld, tokens: number) {
  this.savedValues.set('startedMs', performance.now());
  this.completion = await complete({url: this.fleet.entries[0].url, key: PAID_KEY, tokens});
});

When(
  'a paid caller asks model {string} for {int} tokens',
  async function (this: FleetWorld, model: string, tokens: number) {
    const url = this.fleet.entries[0].url;
    this.completion = await complete({url, key: PAID_KEY, tokens, model});
  },
);

When(
  'a paid caller asks for {int} tokens without streaming',
  async function (this: FleetWorld, tokens: number) {
    const res = await fetch(`${this.fleet.entries[0].url}/v1/chat/completions`, {
      method: 'POST',
      headers: {authorization: `Bearer ${PAID_KEY}`},
      body: JSON.stringify({
        model: 'summary',
        messages: [{role: 'user', content: 'a document'}],
        max_tokens: tokens,
      }),
    });
    assert.equal(res.status, 200);
    this.savedValues.set('tokens', tokens);
    const body = (await res.json()) as {
      readonly choices: ReadonlyArray<{
        readonly message: {readonly content: string};
        readonly finish_reason: string;
      }>;
      readonly usage: {readonly completion_tokens: number};
    };
    assert.equal(body.choices[0].finish_reason, 'length');
    this.savedValues.set('usage', body.usage.completion_tokens);
    this.savedValues.set('whole', isCompleteText(body.choices[0].message.content, tokens) ? 1 : 0);
  },
);

Then(
  'the completion has all {int} tokens and its usage',
  function (this: FleetWorld, tokens: number) {
    assert.equal(this.savedValues.get('whole'), 1);
    assert.equal(this.savedValues.get('usage'), tokens);
  },
);

Then(
  'the stream has all {int} tokens and its end marker',
  function (this: FleetWorld, tokens: number) {
    const {status, error, ended, text} = this.completion!;
    assert.equal(status, 200, JSON.stringify(error));
    assert.equal(error, undefined);
    assert.ok(ended, 'the stream has no end marker');
    assert.ok(isCompleteText(text, tokens), text);
  },
);

When(
  'a paid caller posts {string} to {string}',
  async function (this: FleetWorld, body: string, path: string) {
    this.savedValues.set('startedMs', performance.now());
    this.call = await callService(this.fleet.entries[0].url, PAID_KEY, path, body);
  },
);

When(
  'a paid caller posts {string} to {string} within {int} ms',
  async function (this: FleetWorld, body: string, path: string, timeoutMs: number) {
    this.savedValues.set('startedMs', performance.now());
    const headers = {'x-request-timeout-ms': String(timeoutMs)};
    this.call = await callService(this.fleet.entries[0].url, PAID_KEY, path, body, headers);
  },
);

When('a paid caller publishes with key {string}', async function (this: FleetWorld, key: string) {
  this.savedValues.set('startedMs', performance.now());
  const headers = {'idempotency-key': key};
  const url = this.fleet.entries[0].url;
  this.call = await callService(url, PAID_KEY, '/publish', 'order', headers);
});

Then(
  'the service received {int} bytes on path {string}',
  function (this: FleetWorld, bytes: number, path: string) {
    assert.equal(this.call?.status, 200);
    assert.equal(this.call.body['bytes'], bytes);
    assert.equal(this.call.body['path'], path);
  },
);

When('a paid caller lists models', async function (this: FleetWorld) {
  const res = await fetch(`${this.fleet.entries[1].url}/v1/models`, {
    headers: {authorization: `Bearer ${PAID_KEY}`},
  });
  const body = (await res.json()) as {readonly data: ReadonlyArray<{readonly id: string}>};
  this.listed = body.data.map(model => model.id).join(',');
});

Then('the listed models are {string}', function (this: FleetWorld, list: string) {
  assert.equal(this.listed, list);
});

Then('the explain command shows how the request ran', async function (this: FleetWorld) {
  const requestId = this.completion!.headers.get('x-request-id')!;
  const {code, output} = await this.fleet.cli(['explain', requestId, ...this.fleet.fleetFlags()]);
  assert.equal(code, 0, output);
  assert.match(output, /attempt +sidecar-\d/);
  assert.match(output, /end +sidecar-\d/);
});

When(
  'a caller sends {word} {string} with key {string}, headers {string} and body {}',
  async function (
    this: FleetWorld,
    method: string,
    path: string,
    key: string,
    headerText: string,
    body: string,
  ) {
    const apiKey = key === 'paid' ? PAID_KEY : key;
    const [name, value] = headerText.split(': ');
    const res = await fetch(this.fleet.entries[0].url + path, {
      method,
      headers: {
        ...(apiKey === '' ? {} : {authorization: `Bearer ${apiKey}`}),
        ...(value === undefined ? {} : {[name]: value}),
      },
      ...(method === 'GET' ? {} : {body}),
    });
    this.answer = {status: res.status, text: await res.text(), headers: res.headers};
  },
);

When('a caller sends a body of {int} MiB', async function (this: FleetWorld, sizeMiB: number) {
  const res = await fetch(`${this.fleet.entries[0].url}/services/ledger/a`, {
    method: 'POST',
    headers: {authorization: `Bearer ${PAID_KEY}`},
    body: 'x'.repeat(sizeMiB * MIB),
  });
  this.answer = {status: res.status, text: await res.text(), headers: res.headers};
});

Then(
  'the response has status {int}, code {string}, verdict {string} and a message with {string}',
  function (this: FleetWorld, status: number, code: string, verdict: string, message: string) {
    const {error} = JSON.parse(this.answer!.text) as {readonly error: CallerError};
    assert.equal(this.answer!.status, status);
    assert.equal(error.code, code);
    assert.equal(error.verdict, verdict);
    assert.ok(error.message.includes(message), error.message);
    assert.equal(this.answer!.headers.get('x-jasminepost-verdict'), verdict);
  },
);

Then(
  'the response comes within {int} ms with status {int}, code {string}, verdict {string} and Retry-After',
  function (this: FleetWorld, limitMs: number, status: number, code: string, verdict: string) {
    const elapsedMs = performance.now() - this.savedValues.get('startedMs')!;
    const response = this.call ?? this.completion!;
    assert.equal(response.status, status, JSON.stringify(response.error));
    assert.equal(response.error?.code, code);
    assert.equal(response.error.verdict, verdict);
    assert.ok(Number(response.headers.get('retry-after')) >= 1);
    assert.ok(elapsedMs < limitMs, `response after ${elapsedMs} ms`);
  },
);

When(
  '{int} callers each ask both entries for {int} tokens and entry {int} is killed',
  async function (this: FleetWorld, callers: number, tokens: number, killed: number) {
    const sendRequest = (index: number) => {
      const {url} = this.fleet.entries[index % 2];
      return complete({url, key: PAID_KEY, tokens, prompt: `caller ${index}`}).catch(() => ({
        status: 0,
        headers: new Headers(),
        text: '',
        ended: false,
        error: undefined,
        cut: true,
      }));
    };
    this.savedValues.set('tokens', tokens);
    this.savedValues.set('killed', killed);
    const pending = Promise.all(Array.from({length: callers * 2}, (_, i) => sendRequest(i)));
    await new Promise(resolve => setTimeout(resolve, 150));
    await this.fleet.entries[killed].process.kill();
    this.completions = await pending;
  },
);

Then('all responses of entry {int} are complete', function (this: FleetWorld, entry: number) {
  const tokens = this.savedValues.get('tokens')!;
  const entryResponses = this.completions.filter((_, i) => i % 2 === entry);
  const whole = entryResponses.filter(
    response => response.ended && isCompleteText(response.text, tokens),
  );
  assert.equal(whole.length, entryResponses.length);
});

Then(
  'some responses of entry {int} are cut, and none with an end marker is incomplete',
  function (this: FleetWorld, entry: number) {
    const tokens = this.savedValues.get('tokens')!;
    const entryResponses = this.completions.filter((_, i) => i % 2 === entry);
    assert.ok(
      entryResponses.some(response => response.cut),
      'no response was cut when the entry was killed',
    );
    for (const response of entryResponses) {
      if (response.ended) assert.ok(isCompleteText(response.text, tokens), response.text);
    }
  },
);

When(
  'a paid caller publishes and both sidecar and key-value service are lost midway',
  async function (this: FleetWorld) {
    const {fleet} = this;
    const headers = {'idempotency-key': 'lost'};
    const pending = callService(fleet.entries[0].url, PAID_KEY, '/publish', 'order', headers);
    await new Promise(resolve => setTimeout(resolve, 250));
    await fleet.setFaults(fleet.keyValueUrl, {outage: 'refuse'});
    this.savedValues.set('startedMs', performance.now());
    await fleet.sidecars[1].process.kill();
    this.call = await pending;
  },
);

When(
  '{int} trial callers ask for {int} tokens at once',
  async function (this: FleetWorld, callers: number, tokens: number) {
    const {url} = this.fleet.entries[0];
    this.savedValues.set('tokens', tokens);
    const sendRequest = async (index: number) => {
      const startedMs = performance.now();
      const response = await complete({url, key: TRIAL_KEY, tokens, prompt: `trial ${index}`});
      const slow = response.status !== 200 && performance.now() - startedMs > 1000;
      if (slow) this.savedValues.set('slowRefusals', 1);
      return response;
    };
    this.completions = await Promise.all(Array.from({length: callers}, (_, i) => sendRequest(i)));
  },
);

Then(
  'some requests are refused within 1000 ms with code {string} and Retry-After, and the others are complete',
  function (this: FleetWorld, code: string) {
    const refused = this.completions.filter(response => response.status !== 200);
    assert.ok(refused.length > 0, 'no request was refused');
    assert.equal(this.savedValues.get('slowRefusals'), undefined);
    for (const response of refused) {
      assert.equal(response.error?.code, code);
      assert.equal(response.error.verdict, 'not_run');
      assert.ok(Number(response.headers.get('retry-after')) >= 1);
    }
    const served = this.completions.filter(response => response.status === 200);
    assert.ok(served.length > 0, 'no request was served');
    for (const response of served) {
      assert.ok(
        response.ended && isCompleteText(response.text, this.savedValues.get('tokens')!),
        response.text,
      );
    }
  },
);
