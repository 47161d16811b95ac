/** What a test fleet is made of. */
import type {FleetProcess} from './fleet_process.ts';

/** One process with the addresses that it serves. */
export interface FleetMember {
  readonly id: string;
  readonly zone: string;
  readonly role: 'entry' | 'sidecar';
  readonly meshPort: number;
  readonly adminUrl: string;
  /** For callers on an entry, of the upstream on a sidecar. */
  readonly url: string;
  process: FleetProcess;
  listed: boolean;
  state: 'live' | 'leaving';
}

/** An upstream stand-in; may be started again after a crash. */
export interface UpstreamProcess {
  readonly id: string;
  readonly url: string;
  readonly program: string;
  readonly args: readonly string[];
  process: FleetProcess;
}

export interface FleetOptions {
  readonly engines: number;
  readonly services: number;
  readonly entries: number;
  readonly models?: readonly string[];
  readonly floorCopies?: number;
  readonly modelMiB?: number;
  readonly engineArgs?: readonly string[];
  readonly sidecarArgs?: readonly string[];
  readonly entryArgs?: readonly string[];
  readonly listLagMs?: number;
  readonly keyValueArgs?: readonly string[];
  readonly organisation?: Readonly<Record<string, unknown>>;
  /** True: all service sidecars stand before one service stand-in. */
  readonly sharedService?: boolean;
  readonly listIntervalMs?: number;
  /** False leaves the first configuration to the test. */
  readonly accept?: boolean;
}
