/** Registers every policy that an experiment can name, including the variants for measurements. */
import '../core/overload-policies.js';
import '../core/policies/adaptive-variants.js';
