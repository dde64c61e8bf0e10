/** Registers every policy that an experiment can name, the variants for measurements included. */
import '../core/overload-policies.js';
import '../core/policies/adaptive-variants.js';
