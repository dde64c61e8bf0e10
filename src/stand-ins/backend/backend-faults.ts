/** Faults of the back-end stand-in, switched on and off by `POST /control` while it runs. */
import { z } from 'zod';

/** Schema of the faults. */
export const backendFaultsSchema = z.strictObject({
  /** Reads and serves requests, but sends no answer. */
  pauseAnswers: z.boolean(),
  /** Destroys the connection in the middle of each answer. */
  dieMidAnswer: z.boolean(),
  /** Announces the full length, sends half of it and closes the connection without a reset. */
  truncate: z.boolean(),
  /** Milliseconds by which each answer is delayed. */
  answerDelayMs: z.number().min(0).max(600_000),
  /** Factor on the service time. */
  slowFactor: z.number().min(0.01).max(1_000),
  /** Refuses every request with `Backend-State: overloaded`. */
  shed: z.boolean(),
  /** Drains: answers announce the state, and requests are refused after `refuseAfterMs`. */
  drain: z.boolean(),
  refuseAfterMs: z.number().min(0).max(600_000),
  /** Drains and keeps serving; only `/health` and the list of machines show it, not the answers. */
  silentDrain: z.boolean(),
  /** State that `/health` reports instead of the actual one, unless `null`. */
  healthOverride: z.enum(['starting', 'serving', 'draining']).nullable(),
  /** Milliseconds by which `/health` and `/load` lag. */
  reportLagMs: z.number().min(0).max(600_000),
  /** Requests in flight that `/load` reports instead of the actual number, unless `null`. */
  loadOverride: z.int().min(0).nullable(),
  /** Makes downstream calls without the context field. */
  dropContext: z.boolean(),
  /** Number of times that the back end itself retries a failed downstream call. */
  ownRetries: z.int().min(0).max(100),
  /** Ignores that a client has closed its connection: the work goes on and takes effect. */
  ignoreCancel: z.boolean(),
  /** Serves requests whose deadline has passed. */
  ignoreDeadline: z.boolean(),
});

/** Faults in force. */
export type BackendFaults = z.infer<typeof backendFaultsSchema>;

/** Values of a back end without faults. */
export const NO_FAULTS: BackendFaults = {
  pauseAnswers: false,
  dieMidAnswer: false,
  truncate: false,
  answerDelayMs: 0,
  slowFactor: 1,
  shed: false,
  drain: false,
  refuseAfterMs: 0,
  silentDrain: false,
  healthOverride: null,
  reportLagMs: 0,
  loadOverride: null,
  dropContext: false,
  ownRetries: 0,
  ignoreCancel: false,
  ignoreDeadline: false,
};

/** Schema of `POST /control`: faults to change (absent ones keep their value), and `coldMs`. */
export const backendControlSchema = backendFaultsSchema.partial().extend({
  /** Simulates a cold start: requests take longer for this many milliseconds from now. */
  coldMs: z.number().min(0).max(600_000).optional(),
});

/** Body of `POST /control`. */
export type BackendControl = z.infer<typeof backendControlSchema>;
