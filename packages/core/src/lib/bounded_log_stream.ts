/** Log stream that never blocks the event loop and drops lines instead of growing without bound. */
import {createWriteStream, fstatSync} from 'node:fs';
import {Socket} from 'node:net';
import {Writable} from 'node:stream';

const STDOUT_FD = 1;
/** Bytes buffered for a slow reader before lines are dropped. */
const MAX_PENDING_BYTES = 1024 * 1024;
/** Bounds the load that logging puts on the reader and on the CPU. */
const MAX_LINES_PER_S = 400;
const WINDOW_MS = 1000;

/**
 * Forwards lines while the target keeps up. Dropped lines are counted, and the count is logged as a
 * line of its own once lines are forwarded again.
 *
 * @example
 * const stream = new BoundedLogStream(openStandardOutput());
 * @public
 */
export class BoundedLogStream extends Writable {
  private droppedLines = 0;
  private windowStartMs = Number.NEGATIVE_INFINITY;
  private linesInWindow = 0;

  constructor(
    private readonly target: Writable,
    private readonly now: () => number = () => performance.now(),
  ) {
    super({decodeStrings: false});
    // A closed pipe must not end the process; lines for its reader are lost.
    target.on('error', () => undefined);
  }

  override _write(line: string | Buffer, _encoding: string, callback: () => void): void {
    if (this.canWrite()) {
      if (this.droppedLines > 0) {
        const notice = {level: 'warn', message: 'log lines dropped', lines: this.droppedLines};
        this.droppedLines = 0;
        this.target.write(`${JSON.stringify(notice)}\n`);
      }
      this.target.write(line);
    } else {
      this.droppedLines += 1;
    }
    callback();
  }

  private canWrite(): boolean {
    const nowMs = this.now();
    if (nowMs - this.windowStartMs >= WINDOW_MS) {
      this.windowStartMs = nowMs;
      this.linesInWindow = 0;
    }
    this.linesInWindow += 1;
    return this.linesInWindow <= MAX_LINES_PER_S && this.target.writableLength < MAX_PENDING_BYTES;
  }
}

/** Standard output with non-blocking writes; `process.stdout` blocks on a full pipe. @public */
export function openStandardOutput(): Writable {
  const stat = fstatSync(STDOUT_FD);
  if (stat.isFIFO() || stat.isSocket()) {
    return new Socket({fd: STDOUT_FD, readable: false, writable: true});
  }
  return createWriteStream('', {fd: STDOUT_FD, autoClose: false});
}
