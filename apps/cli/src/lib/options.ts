/** Options shared by several commands, each with an environment variable. */
import {oneOf, option, string} from 'cmd-ts';

/** @internal */
export const keyValueUrl = option({
  type: string,
  long: 'key-value-url',
  env: 'JASMINEPOST_KEY_VALUE_URL',
  description: 'URL of the key-value service',
});

/** @internal */
export const instanceListUrl = option({
  type: string,
  long: 'instance-list-url',
  env: 'JASMINEPOST_INSTANCE_LIST_URL',
  description: 'URL of the instance list',
});

/** @internal */
export const meshKey = option({
  type: string,
  long: 'mesh-key',
  env: 'JASMINEPOST_MESH_KEY',
  description: 'Secret key shared by all processes',
});

/** @internal */
export const output = option({
  type: oneOf(['table', 'json'] as const),
  long: 'output',
  env: 'JASMINEPOST_OUTPUT',
  defaultValue: () => 'table' as const,
  description: 'Output format: table or json',
});
