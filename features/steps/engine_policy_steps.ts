/** Steps that simulate queueing, placement, retries and orders under load. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {PriorWaitEstimator, requestTimes, WindowedRetryBudget} from '@jasminepost/policy';
import {ModelDemandTracker} from '../../apps/gateway/src/lib/model_demand_tracker.ts';
import {DemandMeter} from '../../apps/gateway/src/lib/demand_meter.ts';
import {PrefillEstimator} from '../../apps/gateway/src/lib/prefill_estimator.ts';
import {SeededRandom} from '../../bench/random.ts';
import {
  loadInTerms,
  allocateAfterOverlappingReservations,
  runOrderHistory,
  type OrderHistory,
  type DeliveryFault,
} from '../support/order_history.ts';
import {replay, type ReplayLoad, type ReplayOutcome} from '../support/engine_replay.ts';
import {changeRole, type RoleChange} from '../support/role_change.ts';
import type {FleetWorld} from '../support/world.ts';

const SEED = 20_261;
const RETRY_WINDOW_MS = 10_000;
const RETRY_RATIO = 0.2;
const RETRY_SLACK = 52;
const BUSY_MODELS = 10;

const workloads = new WeakMap<FleetWorld, ReplayLoad>();
const outcomes = new WeakMap<FleetWorld, {with: ReplayOutcome; without: ReplayOutcome}>();
const attemptsSent = new WeakMap<FleetWorld, ReadonlyArray<{atMs: number; isRetry: boolean}>>();
const loadedModels = new WeakMap<FleetWorld, string[]>();
const fences = new WeakMap<FleetWorld, number[]>();
const roleChanges = new WeakMap<FleetWorld, RoleChange>();
const waitingCounts = new WeakMap<FleetWorld, number[]>();
const orderHistories = new WeakMap<FleetWorld, OrderHistory>();

Given(
  'a fleet of {int} replicas in which one model with {int} copies gets {int} requests a second for {int} s',
  function (this: FleetWorld, replicas: number, copies: number, rate: number, seconds: number) {
    workloads.set(this, {
      seed: SEED,
      replicas,
      models: 1,
      durationMs: seconds * 1000 + 6000,
      rate: (_model, atMs) => (atMs < seconds * 1000 ? rate : 0),
      initialModels: replica => (replica < copies ? [0] : []),
    });
  },
);

Given(
  'a fleet of {int} replicas in which {int} of {int} models are in demand, and demand moves on by two models at {int} s and at {int} s',
  function (
    this: FleetWorld,
    replicas: number,
    activeModels: number,
    busyModels: number,
    first: number,
    second: number,
  ) {
    const shiftOf = (atMs: number) => (atMs > second * 1000 ? 4 : atMs > first * 1000 ? 2 : 0);
    workloads.set(this, {
      seed: SEED,
      replicas,
      models: busyModels,
      durationMs: 30_000,
      // The busiest active model gets about half of the requests; the others share the rest.
      rate: (model, atMs) => {
        const rank = model - shiftOf(atMs);
        if (rank < 0 || rank >= activeModels) return 0;
        return rank === 0 ? 20 : 6;
      },
      initialModels: replica => [replica % BUSY_MODELS, (replica + 5) % BUSY_MODELS],
    });
  },
);

Given(
  'a fleet of {int} replicas with {int} models, the busiest with {int} requests a second, in which the first {int} replicas take {float} requests a second from {int} s to {int} s, with seed {int}',
  function (
    this: FleetWorld,
    replicas: number,
    models: number,
    rate: number,
    limited: number,
    perS: number,
    fromS: number,
    toS: number,
    seed: number,
  ) {
    workloads.set(this, {
      seed,
      replicas,
      models,
      durationMs: toS * 1000,
      rate: model => rate / (model + 1),
      initialModels: replica => [replica * 3, replica * 3 + 1, replica * 3 + 2],
      rateLimit: (replica, atMs) => (replica < limited && atMs > fromS * 1000 ? perS : undefined),
    });
  },
);

When(
  'the requests are simulated with and without rate limits being known to the planner',
  function (this: FleetWorld) {
    const workload = workloads.get(this)!;
    outcomes.set(this, {
      with: replay(workload, {ordersQueue: true, plansPlacement: true}),
      without: replay(workload, {ordersQueue: true, plansPlacement: true, knowsRateLimits: false}),
    });
  },
);

Then(
  'a planner that knows the rate limits serves more requests on time',
  function (this: FleetWorld) {
    const {with: withLimits, without: withoutLimits} = outcomes.get(this)!;
    assert.ok(
      withLimits.onTime > withoutLimits.onTime,
      `${withLimits.onTime} against ${withoutLimits.onTime}`,
    );
  },
);

When(
  'the requests are simulated with an ordered queue and first come, first served',
  function (this: FleetWorld) {
    const workload = workloads.get(this)!;
    outcomes.set(this, {
      with: replay(workload, {ordersQueue: true, plansPlacement: false}),
      without: replay(workload, {ordersQueue: false, plansPlacement: false}),
    });
  },
);

When('the requests are simulated with and without placement', function (this: FleetWorld) {
  const workload = workloads.get(this)!;
  outcomes.set(this, {
    with: replay(workload, {ordersQueue: true, plansPlacement: true}),
    without: replay(workload, {ordersQueue: true, plansPlacement: false}),
  });
});

Then(
  'the ordered queue serves at least twice as many requests on time',
  function (this: FleetWorld) {
    const {with: prioritized, without: fifo} = outcomes.get(this)!;
    assert.ok(
      prioritized.onTime >= 2 * fifo.onTime,
      `${prioritized.onTime} against ${fifo.onTime}`,
    );
  },
);

Then(
  'no request that could still be on time was sent after a less urgent one of its model',
  function (this: FleetWorld) {
    assert.equal(outcomes.get(this)!.with.inversions, 0);
  },
);

Then('placement serves more requests on time', function (this: FleetWorld) {
  const {with: planned, without: fixed} = outcomes.get(this)!;
  assert.ok(planned.onTime > fixed.onTime, `${planned.onTime} against ${fixed.onTime}`);
});

Then('every requested model has been served', function (this: FleetWorld) {
  assert.equal(outcomes.get(this)!.with.servedModels.size, 8);
});

Then('no replica ever exceeded its memory', function (this: FleetWorld) {
  assert.equal(outcomes.get(this)!.with.memoryOvercommits, 0);
});

Then(
  'no more than {int} loads from the weight store began within 5 s',
  function (this: FleetWorld, most: number) {
    assert.ok(outcomes.get(this)!.with.maxStoreLoads <= most);
  },
);

When(
  '{int} senders try to retry every request for {int} s with seed {int}',
  function (this: FleetWorld, senders: number, seconds: number, seed: number) {
    const random = new SeededRandom(seed).uniform;
    const limits = {ratio: RETRY_RATIO, slack: RETRY_SLACK, windowMs: RETRY_WINDOW_MS};
    const budgets = Array.from({length: senders}, () => new WindowedRetryBudget(limits, 0));
    const sends: Array<{atMs: number; isRetry: boolean}> = [];
    for (let atMs = 0; atMs < seconds * 1000; atMs += 10) {
      const budget = budgets[Math.floor(random() * senders)];
      budget.countFirstAttempt(atMs);
      sends.push({atMs, isRetry: false});
      if (budget.tryRetry(senders, atMs)) sends.push({atMs, isRetry: true});
    }
    attemptsSent.set(this, sends);
  },
);

When(
  '{int} senders, each restarted every {int} s, try to retry every request for {int} s with seed {int}',
  function (
    this: FleetWorld,
    senders: number,
    restartIntervalS: number,
    seconds: number,
    seed: number,
  ) {
    const random = new SeededRandom(seed).uniform;
    const limits = {ratio: RETRY_RATIO, slack: RETRY_SLACK, windowMs: RETRY_WINDOW_MS};
    const budgets = Array.from({length: senders}, () => new WindowedRetryBudget(limits, 0));
    const startsMs = budgets.map(() => random() * restartIntervalS * 1000);
    const sends: Array<{atMs: number; isRetry: boolean}> = [];
    // Few requests, each retried several times: the ratio allows little, so the slack decides.
    for (let atMs = 0; atMs < seconds * 1000; atMs += 100) {
      for (const [i, startMs] of startsMs.entries()) {
        if (atMs < startMs) continue;
        budgets[i] = new WindowedRetryBudget(limits, atMs);
        startsMs[i] = startMs + restartIntervalS * 1000;
      }
      const budget = budgets[Math.floor(random() * senders)];
      budget.countFirstAttempt(atMs);
      sends.push({atMs, isRetry: false});
      for (let i = 0; i < 5; i++) {
        if (budget.tryRetry(senders, atMs)) sends.push({atMs, isRetry: true});
      }
    }
    attemptsSent.set(this, sends);
  },
);

Then(
  'no window of {int} s holds more retries than a fifth of its requests plus {int}',
  function (this: FleetWorld, seconds: number, slack: number) {
    const sends = attemptsSent.get(this)!;
    for (let startMs = 0; startMs < 60_000; startMs += 500) {
      const window = sends.filter(({atMs}) => atMs >= startMs && atMs < startMs + seconds * 1000);
      const retryCount = window.filter(({isRetry}) => isRetry).length;
      const allowed = RETRY_RATIO * (window.length - retryCount) + slack;
      assert.ok(retryCount <= allowed, `${retryCount} of ${allowed} from ${startMs} ms`);
    }
  },
);

Then(
  'a request with a time limit of {int} ms, a target of {int} ms and a first event after {int} ms must be sent by {int} ms and is abandoned after {int} ms',
  function (
    limitMs: number,
    targetLatencyMs: number,
    firstEventMs: number,
    sendByMs: number,
    abandonedMs: number,
  ) {
    const times = requestTimes({
      arrivedMs: 0,
      priorWaitMs: 0,
      limitMs,
      targetLatencyMs,
      targetGapMs: 250,
      firstEventMs,
    });
    assert.deepEqual([times.sendByMs, times.abandonedMs], [sendByMs, abandonedMs]);
  },
);

When(
  /^a steward gives orders for (\d+) adapter requests and (\d+) placements to a replica whose orders are (.*), with seed (\d+)$/,
  async function (
    this: FleetWorld,
    adapterRequests: string,
    placements: string,
    fault: DeliveryFault,
    seed: string,
  ) {
    orderHistories.set(
      this,
      await runOrderHistory(Number(adapterRequests), Number(placements), fault, Number(seed)),
    );
  },
);

Then('the replica never exceeded its memory or its adapter slots', function (this: FleetWorld) {
  const {
    memoryOvercommits: overMemory,
    adapterOvercommits: overPlaces,
    executed: carriedOut,
  } = orderHistories.get(this)!;
  assert.deepEqual([overMemory, overPlaces], [0, 0]);
  assert.ok(carriedOut > 10, String(carriedOut));
});

Then("every order carried the replica's current sequence", function (this: FleetWorld) {
  assert.equal(orderHistories.get(this)!.wrongSequence, 0);
});

Then('the fencing tokens only increased', function (this: FleetWorld) {
  const {fencingTokens: fences} = orderHistories.get(this)!;
  for (let i = 1; i < fences.length; i++) assert.ok(fences[i] > fences[i - 1]);
});

When(
  'a steward gets a placement of term {int} and then one of term {int}',
  async function (this: FleetWorld, first: number, second: number) {
    loadedModels.set(this, await loadInTerms([first, second]));
  },
);

Then('only the placement of term 2 is carried out', function (this: FleetWorld) {
  assert.deepEqual(loadedModels.get(this), ['m2']);
});

When(
  'a steward reserves fencing tokens twice while the store responds late to the first write',
  async function (this: FleetWorld) {
    fences.set(this, await allocateAfterOverlappingReservations());
  },
);

Then('every fencing token is larger than the one before', function (this: FleetWorld) {
  const tokens = fences.get(this)!;
  for (let i = 1; i < tokens.length; i++) assert.ok(tokens[i] > tokens[i - 1], tokens.join(' '));
});

When(
  'a gateway reports its demand twice while {int} requests are queued and none is new',
  function (this: FleetWorld, waiting: number) {
    const meter = new DemandMeter(new PrefillEstimator());
    const tracker = new ModelDemandTracker();
    const counts = [0, 250].map(nowMs => {
      tracker.record('gateway', meter.collect(new Map([['drafts/m1', waiting]])), nowMs);
      return tracker.demandFor('drafts/m1', nowMs).waiting;
    });
    waitingCounts.set(this, counts);
  },
);

Then(
  'the planner sees {int} queued requests after each report',
  function (this: FleetWorld, waiting: number) {
    assert.deepEqual(waitingCounts.get(this), [waiting, waiting]);
  },
);

Then(
  'at least {int} in 100 of the requests that the copies can serve are served on time',
  function (this: FleetWorld, share: number) {
    const {onTime} = outcomes.get(this)!.with;
    // Each of the 4 copies takes 120 ms for a prompt, and requests arrive for 12 s.
    const most = (4 * 12_000) / 120;
    assert.ok(onTime >= (share / 100) * most, `${onTime} of ${most}`);
  },
);

Then(
  'at most {int} in 100 of the served requests are late',
  function (this: FleetWorld, share: number) {
    const {late, onTime} = outcomes.get(this)!.with;
    assert.ok(late <= (share / 100) * (late + onTime), `${late} against ${onTime}`);
  },
);

Then(
  '{int} in 10 of the refused requests are refused within {int} ms',
  function (this: FleetWorld, share: number, withinMs: number) {
    const {refusedAfterMs} = outcomes.get(this)!.with;
    const early = refusedAfterMs.filter(waitedMs => waitedMs <= withinMs).length;
    assert.ok(
      early >= (share / 10) * refusedAfterMs.length,
      `${early} of ${refusedAfterMs.length}`,
    );
  },
);

Then(
  'a caller with {int} ms left, where callers usually start with {int} ms, is estimated to have waited {int} ms',
  function (remainingMs: number, initialMs: number, priorWaitMs: number) {
    const estimator = new PriorWaitEstimator();
    estimator.priorWaitMs('drafts', initialMs, 0);
    assert.equal(estimator.priorWaitMs('drafts', remainingMs, 100), priorWaitMs);
  },
);

When(
  'two processes compete for a role and its holder becomes unable to fill it',
  async function (this: FleetWorld) {
    roleChanges.set(this, await changeRole());
  },
);

Then(
  'the other process holds the role within {int} s, with a larger term',
  function (this: FleetWorld, seconds: number) {
    const {terms, tookMs} = roleChanges.get(this)!;
    assert.ok(tookMs < seconds * 1000, String(tookMs));
    assert.ok(terms[1] > terms[0], terms.join(' '));
  },
);

Then('the role was never held by both at once', function (this: FleetWorld) {
  assert.equal(roleChanges.get(this)!.heldByBoth, false);
});
