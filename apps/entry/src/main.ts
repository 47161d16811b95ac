/** jasminepost-entry: serves callers. */
import {runProgram} from '@jasminepost/core';
import {parseEntrySettings, ENTRY_SETTINGS} from './settings.ts';
import {startEntry} from './wire.ts';

void runProgram('jasminepost-entry', ENTRY_SETTINGS, raw => startEntry(parseEntrySettings(raw)));
