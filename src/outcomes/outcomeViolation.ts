/** A breach of the rules of section 8 of the design. */
export type OutcomeViolation = 'second-outcome' | 'second-send' | 'missing-outcome';
