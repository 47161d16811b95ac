/** Starts and stops the project's processes for tests, the demo and the benchmarks. */
import {spawn, type ChildProcess} from 'node:child_process';
import {createServer} from 'node:net';
import {fileURLToPath} from 'node:url';

const DIST =
  process.env['JASMINEPOST_DIST'] ?? fileURLToPath(new URL('../../dist', import.meta.url));
const READY_TIMEOUT_MS = 20_000;
const POLL_MS = 25;

/** Below the kernel's ephemeral port range, so that outgoing connections take none of these. */
const FIRST_PORT = 10_000;
const PORTS_PER_WORKER = 5000;
const WORKER_ID = Number(process.env['CUCUMBER_WORKER_ID'] ?? 3);
let nextPort = process.pid % PORTS_PER_WORKER;

/** Reserves a free loopback port; each test worker uses its own range. */
export async function freePort(): Promise<number> {
  for (;;) {
    nextPort = (nextPort + 1) % PORTS_PER_WORKER;
    const port = FIRST_PORT + WORKER_ID * PORTS_PER_WORKER + nextPort;
    if (await isFree(port)) return port;
  }
}

function isFree(port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

/** Repeats `check` until it returns a value; fails with `what` after `timeoutMs`. */
export async function until<T>(
  what: string,
  timeoutMs: number,
  check: () => Promise<T | undefined>,
): Promise<T> {
  const deadlineMs = performance.now() + timeoutMs;
  for (;;) {
    const value = await check().catch(() => undefined);
    if (value !== undefined) return value;
    if (performance.now() > deadlineMs) throw new Error(`timed out after ${timeoutMs} ms: ${what}`);
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
}

/** Lines about errors that nothing took, of all processes, since they were last taken. */
let unexpectedErrors: string[] = [];

/** Returns and forgets these lines; a scenario or run that injects no such error has none. */
export function takeUnexpectedErrors(): string[] {
  const taken = unexpectedErrors;
  unexpectedErrors = [];
  return taken;
}

/** A child process that runs one of the built programs. */
export class FleetProcess {
  readonly log: string[] = [];
  exitCode: number | undefined;
  readonly exited: Promise<number>;
  private readonly child: ChildProcess;
  /** Length of the output at the last answered prompt. */
  private answeredChars = 0;

  constructor(
    readonly program: string,
    readonly args: readonly string[],
    /** True opens a standard input for `answer`. */
    isInteractive = false,
    /** Options of Node.js, before the program. */
    readonly nodeArgs: readonly string[] = [],
  ) {
    this.child = spawn(process.execPath, [...nodeArgs, `${DIST}/${program}.js`, ...args], {
      stdio: [isInteractive ? 'pipe' : 'ignore', 'pipe', 'pipe'],
    });
    let line = '';
    const append = (data: Buffer) => {
      const text = data.toString('utf8');
      this.log.push(text);
      const lines = (line + text).split('\n');
      line = lines.pop()!;
      unexpectedErrors.push(...lines.filter(each => each.includes('"unexpected error"')));
    };
    this.child.stdout!.on('data', append);
    this.child.stderr!.on('data', append);
    this.exited = new Promise(resolve => {
      this.child.on('exit', (code, signal) => {
        this.exitCode = code ?? (signal === null ? 0 : 128);
        resolve(this.exitCode);
      });
    });
  }

  get pid(): number {
    return this.child.pid!;
  }

  get running(): boolean {
    return this.exitCode === undefined;
  }

  /** Waits for the next prompt and writes `line` to the standard input. */
  async answer(line: string): Promise<void> {
    await until('a prompt', READY_TIMEOUT_MS, async () => {
      const text = this.log.join('');
      return text.length > this.answeredChars && text.endsWith(': ') ? true : undefined;
    });
    this.answeredChars = this.log.join('').length;
    this.child.stdin!.write(`${line}\n`);
  }

  signal(signal: NodeJS.Signals): void {
    if (this.running) this.child.kill(signal);
  }

  /** Kills the process, also when it is stopped, and waits for its exit. */
  async kill(): Promise<void> {
    if (!this.running) return;
    this.child.kill('SIGCONT');
    this.child.kill('SIGKILL');
    await this.exited;
  }

  /** Waits until `url` returns 200. */
  async ready(url: string): Promise<void> {
    await until(`${this.program} ready at ${url}`, READY_TIMEOUT_MS, async () => {
      if (!this.running) throw new Error(`${this.program} exited early: ${this.log.join('')}`);
      const res = await fetch(url);
      await res.text();
      return res.status === 200 ? true : undefined;
    }).catch((thrown: unknown) => {
      throw new Error(`${String(thrown)}\n${this.log.slice(-5).join('')}`);
    });
  }
}

/** Runs a program until it exits. */
export async function runToEnd(
  program: string,
  args: readonly string[],
): Promise<{readonly code: number; readonly output: string}> {
  const process = new FleetProcess(program, args);
  const code = await process.exited;
  return {code, output: process.log.join('')};
}
