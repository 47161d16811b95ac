/**
 * Stewards as witnesses of the version at which streams began: a steward outlives the gateways, and
 * unlike the store it is not restored from an older copy.
 */
import type {Clock} from '@jasminepost/core';
import {
  MAX_ASKED_STREAMS,
  MAX_STREAM_NAME_LENGTH,
  type MeshMessage,
  type StreamsReplyMessage,
} from '@jasminepost/mesh';
import {STREAM_LIFE_MS} from '@jasminepost/policy';
import type {Replica} from './replica.ts';

/** Time for the replies; links to stewards may have to be opened first. */
const REPLY_TIMEOUT_MS = 1000;
/** Interval between two questions to all stewards of a service, for each of them. */
const ASK_INTERVAL_MS_PER_STEWARD = 1;
const MIN_ASK_INTERVAL_MS = 10;
/** Streams at one replica that its steward is told again; the oldest are dropped first. */
const MAX_STREAMS_PER_STEWARD = 2000;

/** @internal */
export interface StreamWitnessContext {
  readonly clock: Clock;
  /** Hosts of the stewards beside the replicas of a service, linked or not. */
  hostsOf(service: string): readonly string[];
  /** @returns False while the steward isn't linked. */
  send(host: string, message: MeshMessage): boolean;
}

interface ToldStream {
  readonly requestId: string;
  readonly version: string;
  readonly atMs: number;
}

interface Question {
  readonly requestId: string;
  readonly answer: Promise<string | undefined>;
  /** Stewards that have not replied. */
  readonly open: Set<string>;
  settle(version: string | undefined): void;
}

/** @internal */
export class StreamWitnesses {
  /** Open questions, by request id. */
  private readonly questions = new Map<string, Question>();
  /** Streams that may still be resumed, the oldest first, by host of their steward. */
  private readonly told = new Map<string, ToldStream[]>();
  private unsent: Question[] = [];
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly ctx: StreamWitnessContext) {}

  /** Tells the steward of the replica that a stream runs there; `requestId` began the stream. */
  tell({entry}: Replica, requestId: string, version: string): void {
    if (!canBeTold(requestId) || version.length > MAX_STREAM_NAME_LENGTH) return;
    const {host} = entry.address;
    const nowMs = this.ctx.clock.monotonicMs();
    const told = this.told.get(host) ?? [];
    this.told.set(host, told);
    while (told.length > 0 && nowMs - told[0].atMs > STREAM_LIFE_MS) told.shift();
    if (told.length === MAX_STREAMS_PER_STEWARD) told.shift();
    told.push({requestId, version, atMs: nowMs});
    this.ctx.send(host, {type: 'stream_begun', requestId, version});
  }

  /** Forgets the streams of a replica that is gone, with its steward. */
  forget({entry}: Replica): void {
    this.told.delete(entry.address.host);
  }

  /**
   * Asks all stewards of a service at which version a stream began.
   *
   * @returns Undefined when none of them knows it, or none that does has replied in time.
   * @example
   * const version = await witnesses.find('models', req.resumed.firstRequestId);
   */
  find(service: string, requestId: string): Promise<string | undefined> {
    if (!canBeTold(requestId)) return Promise.resolve(undefined);
    const asked = this.questions.get(requestId);
    if (asked !== undefined) return asked.answer;
    const hosts = this.ctx.hostsOf(service);
    if (hosts.length === 0) return Promise.resolve(undefined);
    const question = this.createQuestion(requestId, hosts);
    this.questions.set(requestId, question);
    this.unsent.push(question);
    const delayMs = Math.max(MIN_ASK_INTERVAL_MS, ASK_INTERVAL_MS_PER_STEWARD * hosts.length);
    this.timer ??= setTimeout(() => {
      this.timer = undefined;
      this.sendQuestions();
    }, delayMs);
    return question.answer;
  }

  /**
   * Tells a steward that has just been linked, and may have just started, of the streams at its
   * replica, and asks it what the others have been asked.
   */
  onLinked(host: string): void {
    for (const {requestId, version} of this.told.get(host) ?? [])
      this.ctx.send(host, {type: 'stream_begun', requestId, version});
    const open = [...this.questions.values()].filter(question => question.open.has(host));
    this.ask(host, open);
  }

  onReply(host: string, {streams}: StreamsReplyMessage): void {
    for (const {requestId, version} of streams) {
      const question = this.questions.get(requestId);
      if (question === undefined) continue;
      question.open.delete(host);
      if (version !== '') question.settle(version);
      else if (question.open.size === 0) question.settle(undefined);
    }
  }

  dispose(): void {
    clearTimeout(this.timer);
    for (const question of this.questions.values()) question.settle(undefined);
  }

  private createQuestion(requestId: string, hosts: readonly string[]): Question {
    let settle!: Question['settle'];
    const answer = new Promise<string | undefined>(resolve => {
      const timeout = setTimeout(() => settle(undefined), REPLY_TIMEOUT_MS);
      settle = version => {
        clearTimeout(timeout);
        this.questions.delete(requestId);
        resolve(version);
      };
    });
    return {requestId, answer, open: new Set(hosts), settle};
  }

  private sendQuestions(): void {
    const questions = this.unsent;
    this.unsent = [];
    const hosts = new Set(questions.flatMap(({open}) => [...open]));
    for (const host of hosts)
      this.ask(
        host,
        questions.filter(({open}) => open.has(host)),
      );
  }

  private ask(host: string, questions: readonly Question[]): void {
    for (let at = 0; at < questions.length; at += MAX_ASKED_STREAMS) {
      const requestIds = questions.slice(at, at + MAX_ASKED_STREAMS).map(each => each.requestId);
      this.ctx.send(host, {type: 'streams_ask', requestIds});
    }
  }
}

function canBeTold(requestId: string): boolean {
  return requestId !== '' && requestId.length <= MAX_STREAM_NAME_LENGTH;
}
