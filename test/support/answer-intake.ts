/** An intake of answers for tests of a client alone. */
import type { AnswerLimits } from '../../src/core/holding/answer-allowance.js';
import { AnswerIntake, type AnswerLimit } from '../../src/http/answer-intake.js';

const BYTES_PER_MB = 1024 * 1024;
const LIMITS: AnswerLimits = { maxBodyBytes: 32 * BYTES_PER_MB, maxOverheadBytes: BYTES_PER_MB };

/** An intake whose buffers never run out. */
export function createAnswerIntake(
  limits: AnswerLimits = LIMITS,
  onLimit: (limit: AnswerLimit) => void = () => {},
): AnswerIntake {
  const openBuffers = () => ({ cover: () => true, release: () => {} });
  return new AnswerIntake({ limits, openBuffers, onLimit });
}
