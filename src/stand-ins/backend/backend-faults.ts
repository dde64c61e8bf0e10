/** Faults of the back-end stand-in, switched by `POST /control` while it runs. */
import { z } from 'zod';

/** Schema of the control document; members that are absent stay as they are. */
export const backendFaultsSchema = z.strictObject({
  /** Requests are read and served, but no answer is sent. */
  pauseAnswers: z.boolean(),
  /** Destroys the connection in the middle of each answer. */
  dieMidAnswer: z.boolean(),
  /** Announces the full length, sends half and ends the connection in order. */
  truncate: z.boolean(),
  /** Milliseconds by which each answer is held back. */
  answerDelayMs: z.number().min(0).max(600_000),
  /** Factor on the service time. */
  slowFactor: z.number().min(0.01).max(1_000),
  /** Refuses everything with `Backend-State: overloaded`. */
  shed: z.boolean(),
  /** Leaves: the state on the answers, and a refusal after `refuseAfterMs`. */
  drain: z.boolean(),
  refuseAfterMs: z.number().min(0).max(600_000),
  /** Leaves without a sign on its answers and keeps serving; only `/health` and the list tell. */
  silentDrain: z.boolean(),
  /** State that `/health` tells whatever the truth; `null` tells the truth. */
  healthOverride: z.enum(['starting', 'serving', 'draining']).nullable(),
  /** Milliseconds by which `/health` and `/load` lag. */
  reportLagMs: z.number().min(0).max(600_000),
  /** Requests in flight that `/load` tells whatever the truth; `null` tells the truth. */
  loadOverride: z.int().min(0).nullable(),
  /** Calls below are made without the context field. */
  dropContext: z.boolean(),
  /** Times that the back end itself repeats a failed call below. */
  ownRetries: z.int().min(0).max(100),
  /** Ignores that a client went away: work goes on and takes effect. */
  ignoreCancel: z.boolean(),
  /** Serves requests whose deadline has passed. */
  ignoreDeadline: z.boolean(),
});

/** Faults in force. */
export type BackendFaults = z.infer<typeof backendFaultsSchema>;

/** A back end without faults. */
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

/** Schema of `POST /control`: a change of some faults, and `coldMs` to start cold once. */
export const backendControlSchema = backendFaultsSchema.partial().extend({
  /** Milliseconds from now in which requests take longer. */
  coldMs: z.number().min(0).max(600_000).optional(),
});

/** Body of `POST /control`. */
export type BackendControl = z.infer<typeof backendControlSchema>;
