import tseslint from 'typescript-eslint';

export default tseslint.config(
  {
    ignores: [
      'node_modules',
      'dist',
      'target',
      '**/*.cjs',
      '**/*.mjs',
      'eslint.config.js',
      'cucumber.js',
    ],
  },
  ...tseslint.configs.recommendedTypeChecked,
  {
    languageOptions: {parserOptions: {projectService: true, tsconfigRootDir: import.meta.dirname}},
    rules: {
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        {considerDefaultExhaustiveForUnions: true},
      ],
      '@typescript-eslint/naming-convention': [
        'error',
        {selector: 'typeLike', format: ['PascalCase']},
        {selector: 'function', format: ['camelCase']},
      ],
      '@typescript-eslint/require-await': 'off',
      'no-restricted-syntax': [
        'error',
        {selector: 'ExportDefaultDeclaration', message: 'Use named exports.'},
      ],
      'prefer-const': 'error',
      eqeqeq: 'error',
      'max-lines': ['error', 400],
    },
  },
  {
    files: ['apps/gateway/**', 'apps/steward/**', 'packages/serving/**', 'packages/policy/**'],
    rules: {
      'no-restricted-syntax': [
        'error',
        {selector: 'ExportDefaultDeclaration', message: 'Use named exports.'},
        {
          selector:
            'Literal[value=/^\\u002f-\\u002f|^(request-id|deadline-ms|expect-instance|not-executed|response-signature|server-load|retry-after|token-usage|prompt-prefix)$/i]',
          message: 'Names of the wire protocol belong in platform/.',
        },
      ],
    },
  },
);
