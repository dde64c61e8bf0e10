/** Seeds for the node's random numbers; two nodes never share one sequence. */
import { hashToUnit } from '../core/admission/admission-priority.js';

const UINT32_RANGE = 0x1_0000_0000;

/** Seed with all bits mixed, from a text that differs from node to node and use to use. */
export function seedOf(text: string): number {
  return Math.floor(hashToUnit(text) * UINT32_RANGE) | 0;
}
