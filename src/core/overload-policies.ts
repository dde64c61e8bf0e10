/** Registers every overload policy; import this module once, then use the registry. */
import './policies/adaptive.js';
import './policies/aimd.js';
import './policies/fixed.js';
import './policies/none.js';
