// Bundles each program into dist/; npm packages stay external, unless JASMINEPOST_BUNDLE is 1.
import {build} from 'esbuild';
import {readdirSync, readFileSync} from 'node:fs';
import {bundleOptions} from './bundle/options.mjs';

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

const options = bundled
  ? bundleOptions
  : {banner: {js: '#!/usr/bin/env node'}, plugins: [externalPackages]};

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
  logLevel: 'warning',
  ...options,
  plugins: [applyMutant, ...options.plugins],
});
