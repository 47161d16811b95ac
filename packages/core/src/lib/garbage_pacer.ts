/** Collects garbage by the bytes of buffers that have become unused. */
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

type Collect = (options: {readonly type: 'minor' | 'major'}) => void;

/** Bytes of short-lived buffers after which young objects are collected (about 1 ms). */
const MINOR_BYTES = 8 * 1024 * 1024;
/** Bytes of long-lived buffers after which all objects are collected (about 20 ms). */
const MAJOR_BYTES = 8 * 1024 * 1024;

/**
 * V8 collects unused buffers when their small JavaScript objects fill the young generation, or after
 * 64 MB of them, which is a third of the memory of a small process. Collecting by bytes keeps
 * the unused ones to a few megabytes.
 *
 * @example
 * const pacer = new GarbagePacer();
 * pacer.recordShortLived(chunk.length); // for each chunk that is not kept
 * @public
 */
export class GarbagePacer {
  private shortLivedBytes = 0;
  private longLivedBytes = 0;

  /** @param collector - Made when it is first needed: another context of V8 takes memory. */
  constructor(private collector?: Collect) {}

  /** Records a buffer that is unused soon after its allocation. */
  recordShortLived(bytes: number): void {
    this.shortLivedBytes += bytes;
    if (this.shortLivedBytes < MINOR_BYTES) return;
    this.shortLivedBytes = 0;
    this.collect({type: 'minor'});
  }

  /** Records a buffer that is unused after it has been kept for a time. */
  recordLongLived(bytes: number): void {
    this.longLivedBytes += bytes;
    if (this.longLivedBytes < MAJOR_BYTES) return;
    this.longLivedBytes = 0;
    this.shortLivedBytes = 0;
    this.collect({type: 'major'});
  }

  private collect(options: Parameters<Collect>[0]): void {
    this.collector ??= exposedCollector();
    this.collector(options);
  }
}

/** The collector of V8, which is exposed to new contexts only. */
function exposedCollector(): Collect {
  setFlagsFromString('--expose-gc');
  return runInNewContext('gc') as Collect;
}
