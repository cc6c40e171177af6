// Replaces an optional module that is excluded from the bundle; modules that require it catch this.
throw Object.assign(new Error('left out of the bundle'), { code: 'MODULE_NOT_FOUND' });
