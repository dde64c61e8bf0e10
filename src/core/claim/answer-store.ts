/** Answers retained for retries of a key, within a byte budget; evicts the oldest first. */
import type { HttpAnswer } from '../http-message.js';
import { MAX_KEPT_ANSWER_BYTES, MAX_KEPT_ANSWERS_BYTES } from './claim-limits.js';

/** Bytes counted per answer for its status and its entry in the table. */
const ANSWER_OVERHEAD_BYTES = 64;

function sizeOf(answer: HttpAnswer): number {
  const fields = answer.headers.reduce((sum, [name, value]) => sum + name.length + value.length, 0);
  return ANSWER_OVERHEAD_BYTES + fields + answer.body.byteLength;
}

/** Answers by key. */
export class AnswerStore {
  private readonly answers = new Map<string, HttpAnswer>();
  private bytes = 0;

  constructor(
    private readonly maxAnswerBytes = MAX_KEPT_ANSWER_BYTES,
    private readonly maxTotalBytes = MAX_KEPT_ANSWERS_BYTES,
  ) {}

  find(key: string): HttpAnswer | undefined {
    return this.answers.get(key);
  }

  /** Adds an answer unless it is too large; evicts the oldest ones to make room. */
  add(key: string, answer: HttpAnswer): void {
    const size = sizeOf(answer);
    if (size > this.maxAnswerBytes || this.answers.has(key)) return;
    this.answers.set(key, answer);
    this.bytes += size;
    for (const oldest of this.answers.keys()) {
      if (this.bytes <= this.maxTotalBytes) break;
      this.delete(oldest);
    }
  }

  delete(key: string): void {
    const answer = this.answers.get(key);
    if (answer === undefined) return;
    this.bytes -= sizeOf(answer);
    this.answers.delete(key);
  }

  clear(): void {
    this.answers.clear();
    this.bytes = 0;
  }
}
