/** A violation of the rules for call outcomes (design, section 8). */
export type OutcomeViolation = 'second-outcome' | 'second-send' | 'missing-outcome';
