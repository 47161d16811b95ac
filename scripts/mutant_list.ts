/** Mechanisms that `npm run mutants` switches off. */

export interface Mutant {
  readonly name: string;
  readonly file: string;
  readonly find: string;
  readonly replace: string;
  /** Arguments that select the scenarios that must fail. */
  readonly features: readonly string[];
}

export const MUTANTS: readonly Mutant[] = [
  {
    name: 'no claim before a marked request runs',
    file: 'apps/sidecar/src/lib/upstream_gate.ts',
    find: 'attempt.isClaimed ? await context.claims.run(attempt) : await attempt.run()',
    replace: 'await attempt.run()',
    features: ['features/at_most_once.feature', '--name', 'no fault'],
  },
  {
    name: 'a lost link counts as not run',
    file: 'apps/entry/src/lib/request_run.ts',
    find: "this.afterAttempt(mayHaveRun('link_lost'), 0);\n  }\n\n  /** Starts an attempt",
    replace: "this.afterAttempt(notRun('not_written'), 0);\n  }\n\n  /** Starts an attempt",
    features: ['features/at_most_once.feature', '--name', 'what may have run'],
  },
  {
    name: 'a cancelled attempt may still claim',
    file: 'packages/key_value/src/lib/claim_store.ts',
    find: "if (found.cancelled.includes(attemptId)) return {kind: 'cancelled'};",
    replace: '',
    features: ['features/at_most_once.feature', '--name', 'does not run later'],
  },
  {
    name: 'a lost write answer counts as not written',
    file: 'packages/key_value/src/lib/claim_store.ts',
    find: 'if (!unknown) throw thrown;',
    replace: 'throw thrown;',
    features: ['features/at_most_once.feature', '--name', 'a lost answer to the claim'],
  },
  {
    name: 'frames out of sequence are delivered',
    file: 'apps/entry/src/lib/attempt_stream.ts',
    find: 'return seq === this.seq;',
    replace: 'return seq >= 0;',
    features: ['features/streams.feature', '--name', 'double a frame'],
  },
  {
    name: 'frames of another attempt are taken',
    file: 'apps/entry/src/lib/request_run.ts',
    find: 'this.replica === replica && this.stream?.tag === tag',
    replace: 'this.replica === replica && tag >= 0',
    features: ['features/streams.feature', '--name', 'cross two attempts'],
  },
  {
    name: 'cut streams are not resumed',
    file: 'packages/caller/src/lib/completion_request.ts',
    find: 'resumable: (req.n ?? 1) === 1',
    replace: 'resumable: false && (req.n ?? 1) === 1',
    features: ['features/streams.feature', '--name', 'an engine is killed'],
  },
  {
    name: 'a cut stream ends cleanly',
    file: 'packages/caller/src/lib/completion_sink.ts',
    find: 'this.res.end(`event: error',
    replace: 'this.res.end(`data: [DONE]\\n\\nevent: error',
    features: ['features/streams.feature', '--name', 'a stream that cannot go on'],
  },
  {
    name: 'a stalled peer is never noticed',
    file: 'packages/mesh/src/lib/mesh_client.ts',
    find: "link.cut('silent');",
    replace: '',
    features: ['features/streams.feature', '--name', 'a sidecar is paused'],
  },
  {
    name: 'crashes seen elsewhere are not counted',
    file: 'apps/sidecar/src/lib/upstream_gate.ts',
    find: 'Math.max(attempt.start.crashes, this.context.crashesOf(fingerprint)) + 1',
    replace: 'this.context.crashesOf(fingerprint) + 1',
    features: ['features/resilience.feature', '--name', 'crashes engines'],
  },
  {
    name: 'no retry budget',
    file: 'packages/policy/src/lib/retry_budget.ts',
    find: 'if (tokens < 1) return false;',
    replace: '',
    features: ['features/resilience.feature', '--name', 'every service refuses'],
  },
  {
    name: 'older configurations are applied',
    file: 'packages/operator/src/lib/accept.ts',
    find: '(inForce?.generation ?? 0) !== expectGeneration',
    replace: 'false',
    features: ['features/configuration.feature', '--name', 'old generation'],
  },
  {
    name: 'configurations do not spread between peers',
    file: 'packages/operator/src/lib/config_spreader.ts',
    find: 'if (generation > 0) link.send',
    replace: 'if (generation < 0) link.send',
    features: ['features/configuration.feature', '--name', 'goes down right after'],
  },
  {
    name: 'a leaving sidecar says nothing',
    file: 'apps/sidecar/src/wire.ts',
    find: 'board.leaving = true;',
    replace: 'board.leaving = false;',
    features: ['features/leaving.feature', '--name', 'no new work soon after the operator'],
  },
  {
    name: 'a stop does not wait for work in progress',
    file: 'apps/sidecar/src/wire.ts',
    find: "await parts.drain('signal');",
    replace: "void parts.drain('signal');",
    features: ['features/leaving.feature', '--name', 'a stop lets a plain call finish'],
  },
  {
    name: "the platform's leaving state is ignored",
    file: 'apps/entry/src/lib/replica_index.ts',
    find: '|| replica.listedLeaving',
    replace: '',
    features: ['features/leaving.feature', '--name', 'list shows it as leaving'],
  },
  {
    name: 'the ledger forgets open orders',
    file: 'packages/policy/src/lib/memory_ledger.ts',
    find: 'this.open.push(order);',
    replace: '',
    features: ['features/resilience.feature', '--name', 'memory holds'],
  },
  {
    name: 'every gateway asks the store',
    file: 'apps/gateway/src/lib/fleet_feed.ts',
    find: 'else if (this.isRelayed())',
    replace: 'else if (false)',
    features: ['features/users_platform.feature', '--name', 'hear of the store'],
  },
  {
    name: 'a planner drops its term when the store is silent',
    file: 'packages/key_value/src/lib/term_lease.ts',
    find: 'return held > 0 ? held : this.lastTerm;',
    replace: 'return held;',
    features: ['features/users_platform.feature', '--name', 'placement goes on'],
  },
  {
    name: 'requests before the first configuration are refused',
    file: 'apps/gateway/src/lib/caller_server.ts',
    find: 'if (!this.ctx().isStarting()) {',
    replace: 'if (true) {',
    features: ['features/users_platform.feature', '--name', 'before the first configuration'],
  },
];
