import type {BuildOptions} from 'esbuild';

export declare const bundleOptions: Required<
  Pick<BuildOptions, 'minifyWhitespace' | 'minifySyntax' | 'banner' | 'plugins'>
>;
