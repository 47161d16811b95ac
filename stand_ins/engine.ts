/** Stand-in for a model engine; see docs/contracts/engine.md. */
import type {ServerResponse} from 'node:http';
import {fnv1a32} from '@jasminepost/core';
import {EngineCache} from './engine_cache.ts';
import {EngineMemory, type EngineOrderBody} from './engine_memory.ts';
import {JsonServer, parseJson, sendJson, type JsonCall} from './json_server.ts';

const CRASH_EXIT_CODE = 70;
const DEFAULT_TOKENS = 16;

interface CompletionBody {
  readonly model: string;
  readonly messages: ReadonlyArray<{readonly content?: unknown}>;
  readonly max_tokens: number;
  readonly priority: number;
  readonly resume: {readonly tokens: number; readonly text: string};
}

/** Cached KV blocks of one prefix, as transferred between engines. */
interface CacheBlock {
  readonly prefix: string;
}

interface Generation {
  readonly res: ServerResponse;
  readonly priority: number;
  readonly tokenPrefix: string;
  readonly totalTokens: number;
  readonly crashesEngine: boolean;
  nextToken: number;
  prefillMs: number;
  timer: NodeJS.Timeout | undefined;
}

interface OrderFaults {
  /** Number of further orders that are dropped without effect. */
  lose: number;
  /** Number of further orders that are applied but get no response. */
  loseAnswer: number;
  /** Delay of `late` orders, and of the repetition of `double` ones. */
  lateMs: number;
  /** Number of further orders that take effect after `lateMs` and get no response. */
  late: number;
  /** Number of further orders that are applied again after `lateMs`. */
  double: number;
}

export interface EngineOptions {
  readonly totalMiB: number;
  readonly slots: number;
  readonly tokenMs: number;
  readonly prefillMs: number;
  readonly reportLagMs: number;
  readonly honoursFencing: boolean;
  readonly crashText: string;
  fetchWeights(item: string): Promise<void>;
}

/** Engine with slots, a fixed time per token, orders, and faults set by `/admin/faults`. */
export class EngineStandIn {
  readonly http = new JsonServer();
  readonly memory: EngineMemory;
  private readonly incarnation = `${process.pid}-${Date.now()}`;
  private readonly running = new Set<Generation>();
  private readonly queue: Generation[] = [];
  private readonly cache: EngineCache;
  private readonly counters = {started: 0, resumed: 0, completed: 0, cancelled: 0, prefixHits: 0};
  private snapshot = {atMs: 0, state: {}};
  private faults: OrderFaults = {lose: 0, loseAnswer: 0, lateMs: 0, late: 0, double: 0};

  constructor(private readonly options: EngineOptions) {
    this.memory = new EngineMemory(options.totalMiB, options.honoursFencing, item =>
      options.fetchWeights(item),
    );
    this.cache = new EngineCache(options.reportLagMs);
    this.http.on('GET', '/v1/cache/events', ({res, query}) => {
      const events = this.cache.eventsAfter(Number(query.get('after') ?? 0), performance.now());
      sendJson(res, 200, {events});
    });
    this.http.on('POST', '/v1/cache/export', call => this.exportCache(call));
    this.http.on('POST', '/v1/cache/import', ({res, text}) => {
      const {prefix = ''} = parseJson<CacheBlock>(text);
      sendJson(res, 200, {stored: !this.cache.touch(prefix)});
    });
    this.http.on('GET', '/health', ({res}) => {
      res.end(this.incarnation);
    });
    this.http.on('GET', '/v1/state', ({res}) => this.sendState(res));
    this.http.on('POST', '/v1/orders', call => this.handleOrder(call));
    this.http.on('POST', '/v1/chat/completions', call => this.handleCompletion(call));
    this.http.on('GET', '/admin/counters', ({res}) => {
      const {overcommits, peakMiB, loads, unloads} = this.memory;
      sendJson(res, 200, {...this.counters, overcommits, peakMiB, loads, unloads});
    });
    this.http.on('POST', '/admin/faults', ({res, text}) => {
      this.faults = {...this.faults, ...parseJson<OrderFaults>(text)};
      sendJson(res, 200, this.faults);
    });
  }

  private sendState(res: ServerResponse): void {
    const nowMs = performance.now();
    if (nowMs - this.snapshot.atMs >= this.options.reportLagMs) {
      this.snapshot = {atMs: nowMs, state: this.currentState()};
    }
    sendJson(res, 200, {...this.snapshot.state, ageMs: nowMs - this.snapshot.atMs});
  }

  private currentState(): object {
    return {
      incarnation: this.incarnation,
      totalMiB: this.options.totalMiB,
      usedMiB: this.memory.usedMiB(),
      slots: this.options.slots,
      running: this.running.size,
      highestFence: this.memory.highestFence,
      items: [...this.memory.items.values()].map(item => ({...item})),
    };
  }

  private exportCache({res, text}: JsonCall): void {
    const {prefix = ''} = parseJson<CacheBlock>(text);
    if (this.cache.has(prefix)) sendJson(res, 200, {prefix});
    else sendJson(res, 404, {error: 'not cached'});
  }

  private handleOrder({res, text}: JsonCall): void {
    const order = JSON.parse(text) as EngineOrderBody;
    const {faults} = this;
    if (faults.lose > 0) {
      faults.lose -= 1;
      res.destroy();
      return;
    }
    if (faults.late > 0) {
      faults.late -= 1;
      setTimeout(() => this.memory.apply(order), faults.lateMs);
      res.destroy();
      return;
    }
    const outcome = this.memory.apply(order);
    if (faults.double > 0) {
      faults.double -= 1;
      setTimeout(() => this.memory.apply(order), faults.lateMs);
    }
    if (faults.loseAnswer > 0) {
      faults.loseAnswer -= 1;
      res.destroy();
      return;
    }
    sendJson(res, outcome === 'accepted' ? 200 : 409, {outcome});
  }

  private handleCompletion({res, text}: JsonCall): void {
    const body = parseJson<CompletionBody>(text);
    const item = this.memory.items.get(String(body.model).split(':', 1)[0]);
    if (item?.state !== 'ready') {
      sendJson(res, 404, {error: {message: `model ${body.model ?? ''} is not loaded`}});
      return;
    }
    const prompt = JSON.stringify(body.messages);
    const generation = this.createGeneration(res, body, prompt);
    this.counters.started += 1;
    if (generation.nextToken > 0) this.counters.resumed += 1;
    res.on('close', () => this.cancelGeneration(generation));
    this.queue.push(generation);
    this.queue.sort((a, b) => a.priority - b.priority);
    this.dispatchQueued();
  }

  /** A resumed generation continues with the token prefix of the given text. */
  private createGeneration(
    res: ServerResponse,
    body: Partial<CompletionBody>,
    prompt: string,
  ): Generation {
    const resumed = /^(\w+)\./.exec(body.resume?.text ?? '');
    const prefix = prompt.slice(0, 256);
    const hit = this.cache.touch(prefix);
    if (hit) this.counters.prefixHits += 1;
    const {crashText} = this.options;
    return {
      res,
      priority: body.priority ?? 0,
      tokenPrefix: resumed?.[1] ?? createTokenPrefix(prompt),
      totalTokens: body.max_tokens ?? DEFAULT_TOKENS,
      crashesEngine: crashText !== '' && prompt.includes(crashText),
      nextToken: body.resume?.tokens ?? 0,
      prefillMs: hit ? 0 : this.options.prefillMs,
      timer: undefined,
    };
  }

  private dispatchQueued(): void {
    while (this.running.size < this.options.slots && this.queue.length > 0) {
      const generation = this.queue.shift()!;
      this.running.add(generation);
      generation.res.writeHead(200, {'content-type': 'text/event-stream'});
      const firstMs = generation.prefillMs + this.options.tokenMs;
      generation.timer = setTimeout(() => this.sendNextToken(generation), firstMs);
    }
  }

  private sendNextToken(generation: Generation): void {
    if (generation.crashesEngine) process.exit(CRASH_EXIT_CODE);
    if (generation.nextToken >= generation.totalTokens) {
      this.finishGeneration(generation);
      return;
    }
    const content = `${generation.tokenPrefix}.${generation.nextToken} `;
    generation.nextToken += 1;
    writeEvent(generation.res, {choices: [{index: 0, delta: {content}, finish_reason: null}]});
    generation.timer = setTimeout(() => this.sendNextToken(generation), this.options.tokenMs);
  }

  private finishGeneration(generation: Generation): void {
    this.counters.completed += 1;
    writeEvent(generation.res, {choices: [{index: 0, delta: {}, finish_reason: 'length'}]});
    const usage = {prompt_tokens: 1, completion_tokens: generation.totalTokens};
    writeEvent(generation.res, {choices: [], usage});
    generation.res.end('data: [DONE]\n\n');
    this.running.delete(generation);
    this.dispatchQueued();
  }

  private cancelGeneration(generation: Generation): void {
    clearTimeout(generation.timer);
    const index = this.queue.indexOf(generation);
    if (index >= 0) this.queue.splice(index, 1);
    if (this.running.delete(generation)) this.counters.cancelled += 1;
    this.dispatchQueued();
  }
}

/** Identifies prompt and generation, so that a response shows which request it belongs to. */
function createTokenPrefix(prompt: string): string {
  return `${fnv1a32(prompt).toString(36)}x${Math.random().toString(36).slice(2, 8)}`;
}

function writeEvent(res: ServerResponse, event: object): void {
  res.write(`data: ${JSON.stringify(event)}\n\n`);
}
