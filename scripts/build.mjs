// Bundles each program into dist/; npm packages stay external, unless JASMINEPOST_BUNDLE is 1.
import {build} from 'esbuild';
import {readdirSync, readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';

// A deployment includes the npm packages; runs in the repository use those in node_modules.
const bundled = process.env.JASMINEPOST_BUNDLE === '1';

const entryPoints = {
  'jasminepost-entry': 'apps/entry/src/main.ts',
  'jasminepost-sidecar': 'apps/sidecar/src/main.ts',
  'jasminepost-gateway': 'apps/gateway/src/main.ts',
  'jasminepost-steward': 'apps/steward/src/main.ts',
  jasminepost: 'apps/cli/src/main.ts',
};
for (const file of bundled ? [] : readdirSync('stand_ins')) {
  if (file.endsWith('_main.ts')) {
    entryPoints[`stand_in_${file.replace('_main.ts', '')}`] = `stand_ins/${file}`;
  }
}

// `npm run mutants` builds the programs with one mutant applied.
const mutant = JSON.parse(process.env.JASMINEPOST_MUTANT ?? 'null');

const applyMutant = {
  name: 'apply-mutant',
  setup(ctx) {
    if (mutant === null) return;
    ctx.onLoad({filter: new RegExp(`${mutant.file}$`)}, args => {
      const text = readFileSync(args.path, 'utf8');
      if (!text.includes(mutant.find))
        throw new Error(`${mutant.file} does not contain ${mutant.find}`);
      return {contents: text.replace(mutant.find, mutant.replace), loader: 'ts'};
    });
  },
};

// CommonJS packages call `require`, which is not defined in an ES module.
const BUNDLE_BANNER = [
  '#!/usr/bin/env node',
  "import {createRequire as bundleRequire} from 'node:module';",
  'const require = bundleRequire(import.meta.url);',
].join('\n');

const externalPackages = {
  name: 'external-packages',
  setup(ctx) {
    ctx.onResolve({filter: /^[a-z@]/}, args =>
      args.kind === 'entry-point' || args.path.startsWith('@jasminepost/')
        ? undefined
        : {path: args.path, external: true},
    );
  },
};

/** Replaces libraries of which the programs use a small part, in bundles only. */
const librarySubsets = {
  name: 'library-subsets',
  setup(ctx) {
    const subsets = {undici: 'undici.cjs', 'hdr-histogram-js': 'hdr_histogram.cjs'};
    ctx.onResolve({filter: /^(undici|hdr-histogram-js)$/}, args => ({
      path: fileURLToPath(new URL(`bundle/${subsets[args.path]}`, import.meta.url)),
    }));
  },
};

await build({
  entryPoints,
  outdir: process.env.JASMINEPOST_DIST ?? 'dist',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  // Dynamic imports become separate chunks, so that a program's first lines run without delay.
  splitting: true,
  chunkNames: 'chunks/[hash]',
  sourcemap: true,
  // Reduces what is read at each start; identifiers stay for the stack traces.
  minifyWhitespace: bundled,
  minifySyntax: bundled,
  logLevel: 'warning',
  banner: {js: bundled ? BUNDLE_BANNER : '#!/usr/bin/env node'},
  plugins: bundled ? [applyMutant, librarySubsets] : [applyMutant, externalPackages],
});
