/** Reading state of a host; these values are sent in heartbeats. */
export type SourceState = 'idle' | 'reading' | 'failing';
