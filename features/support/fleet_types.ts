/** Types of a test fleet. */
import type {FleetProcess} from './fleet_process.ts';

/** An entry or sidecar process with its addresses. */
export interface FleetMember {
  readonly id: string;
  readonly zone: string;
  readonly role: 'entry' | 'sidecar';
  readonly meshPort: number;
  readonly adminUrl: string;
  /** Address for callers (entry) or of the upstream (sidecar). */
  readonly url: string;
  process: FleetProcess;
  listed: boolean;
  state: 'live' | 'leaving';
}

/** A stand-in upstream; it can be restarted after a crash. */
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
  /** True connects all service sidecars to one stand-in service. */
  readonly sharedService?: boolean;
  readonly listIntervalMs?: number;
  /** False starts without accepting a first configuration; the test does that. */
  readonly accept?: boolean;
}
