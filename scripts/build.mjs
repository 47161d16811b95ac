// Bundles each program into one file under dist/; npm packages stay external.
import {build} from 'esbuild';
import {readdirSync} from 'node:fs';

const entryPoints = {
  'jasminepost-entry': 'apps/entry/src/main.ts',
  'jasminepost-sidecar': 'apps/sidecar/src/main.ts',
  jasminepost: 'apps/cli/src/main.ts',
};
for (const file of readdirSync('stand_ins')) {
  if (file.endsWith('_main.ts')) {
    entryPoints[`stand_in_${file.replace('_main.ts', '')}`] = `stand_ins/${file}`;
  }
}

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

await build({
  entryPoints,
  outdir: 'dist',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  sourcemap: true,
  logLevel: 'warning',
  banner: {js: '#!/usr/bin/env node'},
  plugins: [externalPackages],
});
