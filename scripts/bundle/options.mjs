/** Options by which esbuild includes the npm packages in a program. */
import {fileURLToPath} from 'node:url';

// CommonJS packages call `require`, which is not defined in an ES module.
const BANNER = [
  '#!/usr/bin/env node',
  "import {createRequire as bundleRequire} from 'node:module';",
  'const require = bundleRequire(import.meta.url);',
].join('\n');

/** Modules of which the programs use a small part. */
const SUBSETS = {
  undici: 'undici.cjs',
  'hdr-histogram-js': 'hdr_histogram.cjs',
  'node:assert': 'assert.cjs',
};

const librarySubsets = {
  name: 'library-subsets',
  setup(ctx) {
    const folder = fileURLToPath(new URL('.', import.meta.url));
    ctx.onResolve({filter: /^(undici|hdr-histogram-js|node:assert)$/}, ({path, resolveDir}) =>
      // A subset itself uses the original.
      `${resolveDir}/` === folder ? undefined : {path: folder + SUBSETS[path]},
    );
  },
};

/** For a program that needs no `node_modules`. */
export const bundleOptions = {
  // Reduces what is read at each start; identifiers stay for the stack traces.
  minifyWhitespace: true,
  minifySyntax: true,
  banner: {js: BANNER},
  plugins: [librarySubsets],
};
