/** Reads KNOWN-RED.txt, which lists known failures until they are fixed. */
import {existsSync, readFileSync} from 'node:fs';

const FILE = 'KNOWN-RED.txt';

/** Names of the listed tests and bounds, the first column of each entry. */
export function readKnownFailures(): Set<string> {
  if (!existsSync(FILE)) return new Set();
  const lines = readFileSync(FILE, 'utf8').split('\n');
  return new Set(
    lines
      .filter(line => line.trim() !== '' && !line.startsWith('#'))
      .map(line => line.split('|', 1)[0].trim()),
  );
}
