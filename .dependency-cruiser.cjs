/** Packages that each package may import; see docs/ARCHITECTURE.md. */
const ALLOWED = {
  core: [],
  serving: ['core'],
  policy: ['core'],
  key_value: ['core'],
  mesh: ['core'],
  engine: ['core'],
  service: ['core'],
  weight_store: ['core'],
  caller: ['core'],
  operator: ['core', 'mesh', 'key_value', 'policy'],
};

const packageRules = Object.entries(ALLOWED).map(([name, allowed]) => ({
  name: `package-${name}`,
  severity: 'error',
  from: {path: `^packages/${name}/`},
  to: {
    path: '^(packages|apps|stand_ins|features|bench|scripts|soak)/',
    pathNot: `^packages/(${[name, ...allowed].join('|')})/`,
  },
}));

module.exports = {
  forbidden: [
    ...packageRules,
    {
      name: 'platform-adapter',
      severity: 'error',
      from: {path: '^platform/'},
      to: {
        path: '^(packages|apps|stand_ins|features|bench|scripts|soak)/',
        pathNot: '^packages/(core|key_value|serving)/',
      },
    },
    {
      // These packages and programs are independent of the users' platform.
      name: 'packages-without-adapter',
      severity: 'error',
      from: {path: '^(packages|apps/(entry|sidecar|cli))/'},
      to: {path: '^platform/'},
    },
    {
      name: 'no-circular',
      severity: 'error',
      // A class and the class that creates it may import each other's types.
      from: {},
      to: {circular: true, viaOnly: {dependencyTypesNot: ['type-only']}},
    },
    {
      name: 'apps-independent',
      severity: 'error',
      from: {path: '^apps/([^/]+)/'},
      to: {path: '^apps/', pathNot: '^apps/$1/'},
    },
    {
      name: 'apps-without-test-code',
      severity: 'error',
      from: {path: '^apps/'},
      to: {path: '^(stand_ins|features|bench|scripts|soak)/'},
    },
    {
      name: 'policy-without-io',
      severity: 'error',
      from: {path: '^packages/policy/'},
      to: {dependencyTypes: ['core']},
    },
  ],
  options: {
    doNotFollow: {path: 'node_modules'},
    tsPreCompilationDeps: true,
    tsConfig: {fileName: 'tsconfig.json'},
    enhancedResolveOptions: {exportsFields: ['exports'], conditionNames: ['import', 'node']},
  },
};
