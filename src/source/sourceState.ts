/** What a host says of its reading of the source. */
export type SourceState = 'idle' | 'reading' | 'failing';
