/** Standard output for logs: never blocks the event loop, and drops lines rather than grow. */
import {createWriteStream, fstatSync} from 'node:fs';
import {Socket} from 'node:net';
import {Writable} from 'node:stream';

const STDOUT_FD = 1;
/** Bytes that may wait for a slow reader. */
const MAX_PENDING_BYTES = 1024 * 1024;
/** Lines a second that a reader and the processor can be asked to take. */
const MAX_LINES_PER_S = 400;
const WINDOW_MS = 1000;

/**
 * Writes lines to a target as long as it keeps up. What is dropped is counted, and the count is
 * written as a line of its own once lines pass again.
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
    // A reader that has gone must not end the process; its lines are lost with it.
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

/** Standard output with writes that do not block; `process.stdout` blocks on a full pipe. @public */
export function openStandardOutput(): Writable {
  const stat = fstatSync(STDOUT_FD);
  if (stat.isFIFO() || stat.isSocket()) {
    return new Socket({fd: STDOUT_FD, readable: false, writable: true});
  }
  return createWriteStream('', {fd: STDOUT_FD, autoClose: false});
}
