/** Stands in for the platform's load balancer: picks entries whose `/readyz` returns 200. */
import type {FleetMember} from './fleet_types.ts';

const POLL_MS = 50;

export class Balancer {
  private ready: FleetMember[] = [];
  private next = 0;
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly entries: readonly FleetMember[]) {
    this.ready = [...entries];
    this.timer = setInterval(() => void this.poll(), POLL_MS);
  }

  /** Address of the next ready entry, in round-robin order; of any entry while none is ready. */
  url(): string {
    const pool = this.ready.length > 0 ? this.ready : this.entries;
    this.next += 1;
    return pool[this.next % pool.length].url;
  }

  close(): void {
    clearInterval(this.timer);
  }

  private async poll(): Promise<void> {
    const ready = await Promise.all(
      this.entries.map(entry =>
        fetch(`${entry.adminUrl}/readyz`).then(
          res => res.status === 200,
          () => false,
        ),
      ),
    );
    this.ready = this.entries.filter((_, index) => ready[index]);
  }
}
