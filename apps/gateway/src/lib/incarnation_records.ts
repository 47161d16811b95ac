/** What incarnations of replicas have stated about themselves, kept while they are not listed. */
import {
  INITIAL_AVAILABILITY,
  NO_RATE_LIMIT,
  type ReplicaAvailability,
  type ReplicaPace,
  type ReplicaRateLimit,
} from '@jasminepost/policy';

/** Maximum number of incarnations that are kept. */
const MAX_RECORDS = 10_000;

/** @internal */
export interface IncarnationRecord {
  availability: ReplicaAvailability;
  limit: ReplicaRateLimit;
  /** Undefined before its first report. */
  pace?: ReplicaPace;
}

/**
 * Records of removed incarnations. They are kept by reference: requests that were in progress at
 * the removal still update them.
 *
 * @internal
 */
export class IncarnationRecords {
  /** The last removed is last. */
  private readonly records = new Map<string, IncarnationRecord>();

  add(incarnation: string, record: IncarnationRecord): void {
    this.records.delete(incarnation);
    this.records.set(incarnation, record);
    if (this.records.size > MAX_RECORDS) this.records.delete(this.records.keys().next().value!);
  }

  has(incarnation: string): boolean {
    return this.records.has(incarnation);
  }

  /** Removes and returns the record of an incarnation; a new one if there is none. */
  take(incarnation: string): IncarnationRecord {
    const found = this.records.get(incarnation);
    this.records.delete(incarnation);
    return found ?? {availability: INITIAL_AVAILABILITY, limit: NO_RATE_LIMIT};
  }
}
