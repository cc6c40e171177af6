import packageDescription from '../../package.json';

/** Version of this package. */
export const VERSION: string = packageDescription.version;
