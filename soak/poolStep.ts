/** One step of a random run. */
export type PoolStep =
  | { readonly kind: 'arrive'; readonly count: number; readonly class: string }
  | { readonly kind: 'arrive-suspect' }
  | { readonly kind: 'advance'; readonly ms: number }
  | { readonly kind: 'pause'; readonly ms: number }
  | { readonly kind: 'view-ends' }
  | {
      readonly kind: 'straggle' | 'fail-fast' | 'drain' | 'cut' | 'restart' | 'move' | 'list';
      readonly target: number;
    }
  | { readonly kind: 'zone'; readonly zone: number };
