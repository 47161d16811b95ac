// Bundles each program into one file under dist/; npm packages stay external.
import {build} from 'esbuild';
import {readdirSync, readFileSync} from 'node:fs';

// A deployment carries its packages with it; the repository's own runs take them from npm.
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

// `npm run mutants` builds with one mechanism switched off.
const mutant = JSON.parse(process.env.JASMINEPOST_MUTANT ?? 'null');

const applyMutant = {
  name: 'apply-mutant',
  setup(ctx) {
    if (mutant === null) return;
    ctx.onLoad({filter: new RegExp(`${mutant.file}$`)}, args => {
      const text = readFileSync(args.path, 'utf8');
      if (!text.includes(mutant.find)) throw new Error(`${mutant.file} lacks ${mutant.find}`);
      return {contents: text.replace(mutant.find, mutant.replace), loader: 'ts'};
    });
  },
};

// Packages in CommonJS call `require`, which a module does not have.
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

await build({
  entryPoints,
  outdir: process.env.JASMINEPOST_DIST ?? 'dist',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  // What a program imports later is a file of its own, so that its first lines run at once.
  splitting: true,
  chunkNames: 'chunks/[hash]',
  sourcemap: true,
  // Less to read at each start; names stay for the stack traces.
  minifyWhitespace: bundled,
  minifySyntax: bundled,
  logLevel: 'warning',
  banner: {js: bundled ? BUNDLE_BANNER : '#!/usr/bin/env node'},
  plugins: bundled ? [applyMutant] : [applyMutant, externalPackages],
});
