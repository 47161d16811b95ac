/** Client of the platform's instance list, which lags; see docs/contracts/instance_list.md. */
import {Agent, request} from 'undici';
import * as z from 'zod';
import {backoffMs, httpConnector, PlatformError, sleep} from '@jasminepost/core';

const CALL_TIMEOUT_MS = 2000;
const RETRY_CAP_MS = 3000;

const agent = new Agent({connect: httpConnector({timeout: CALL_TIMEOUT_MS})});

const instanceSchema = z.object({
  id: z.string(),
  role: z.enum(['entry', 'sidecar']),
  zone: z.string(),
  host: z.string(),
  port: z.number().int(),
  state: z.enum(['live', 'leaving']),
});
const listReply = z.object({instances: z.array(instanceSchema)});

/** @public */
export type ListedInstance = z.infer<typeof instanceSchema>;

/** Polls the list and passes each result to `onList`, except during an outage. @public */
export class InstanceListClient {
  private readonly abort = new AbortController();
  private failures = 0;

  constructor(
    private readonly baseUrl: string,
    private readonly intervalMs: number,
    private readonly onList: (instances: ListedInstance[]) => void,
  ) {}

  start(): void {
    void this.run();
  }

  dispose(): void {
    this.abort.abort();
  }

  /** Reads the list once. */
  static async read(baseUrl: string): Promise<ListedInstance[]> {
    const res = await request(`${baseUrl}/v1/instances`, {
      dispatcher: agent,
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    });
    const text = await res.body.text();
    if (res.statusCode !== 200) {
      throw new PlatformError('unavailable', `instance list: status ${res.statusCode}`);
    }
    return listReply.parse(JSON.parse(text)).instances;
  }

  private async run(): Promise<void> {
    while (!this.abort.signal.aborted) {
      let delayMs = this.intervalMs;
      try {
        const instances = await InstanceListClient.read(this.baseUrl);
        if (this.abort.signal.aborted) return;
        this.failures = 0;
        this.onList(instances);
      } catch {
        delayMs = backoffMs(
          this.failures,
          this.intervalMs,
          Math.max(RETRY_CAP_MS, this.intervalMs),
        );
        this.failures += 1;
      }
      await sleep(delayMs, this.abort.signal);
    }
  }
}
