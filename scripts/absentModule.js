// Stands for an optional module that is left out of the bundle; its users catch this.
throw Object.assign(new Error('left out of the bundle'), { code: 'MODULE_NOT_FOUND' });
