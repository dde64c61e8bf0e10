/** Validates received ledger calls. */
import type { Result } from 'true-myth';
import { z } from 'zod';
import type { Failure } from '../core/failure.js';
import { validateMessage } from './attempt-codec.js';
import type { ReserveAttemptsMessage, ReturnAttemptsMessage } from './attempt-ledger-messages.js';

const MAX_ATTEMPTS = 255;
const name = z.string().min(1).max(256);

const reserveSchema = z.object({
  parentAttemptId: name,
  service: name,
  kindAttempts: z.int().min(1).max(MAX_ATTEMPTS),
});

const returnSchema = z.object({
  parentAttemptId: name,
  unused: z.int().min(0).max(MAX_ATTEMPTS),
  service: name,
  threshold: z.number().min(0).max(1),
});

/** Checks a received request for attempts. */
export function validateReserveMessage(value: unknown): Result<ReserveAttemptsMessage, Failure> {
  return validateMessage(value, reserveSchema);
}

/** Checks a received return of attempts. */
export function validateReturnMessage(value: unknown): Result<ReturnAttemptsMessage, Failure> {
  return validateMessage(value, returnSchema);
}
