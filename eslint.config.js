import tseslint from 'typescript-eslint';

export default tseslint.config(
  {ignores: ['node_modules', 'dist', '**/*.cjs', '**/*.mjs', 'eslint.config.js', 'cucumber.js']},
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
);
