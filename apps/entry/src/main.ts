/** jasminepost-entry: accepts callers' requests and routes them to sidecars. */
import {runProgram} from '@jasminepost/core';
import {parseEntrySettings, ENTRY_SETTINGS} from './settings.ts';
import {startEntry} from './wire.ts';

void runProgram('jasminepost-entry', ENTRY_SETTINGS, raw => startEntry(parseEntrySettings(raw)));
