/** Seeds for the node's random numbers, so that no two nodes share one sequence. */
import { hashToUnit } from '../core/admission/admission-priority.js';

const UINT32_RANGE = 0x1_0000_0000;

/** Hashes a text that differs between nodes and between uses to a seed with all bits mixed. */
export function seedOf(text: string): number {
  return Math.floor(hashToUnit(text) * UINT32_RANGE) | 0;
}
