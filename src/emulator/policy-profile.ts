/**
 * What the data path does around a policy. The baselines stand for common practice
 * without sillshore: each layer has its own timeout and retries by itself.
 */

/** Behaviour of the data path under one policy. */
export interface PolicyProfile {
  /** Work whose caller went away is cancelled all along the chain. */
  readonly cancels: boolean;
  /** Calls below inherit the deadline; otherwise each layer waits the kind's whole deadline. */
  readonly propagatesDeadline: boolean;
  /** Attempts of the whole chain draw from one budget; otherwise each layer retries by itself. */
  readonly sharesAttempts: boolean;
  /** An error answer caused by a failed call below is retried by the layer above. */
  readonly retriesErrorAnswers: boolean;
}

const SILLSHORE_PROFILE: PolicyProfile = {
  cancels: true,
  propagatesDeadline: true,
  sharesAttempts: true,
  retriesErrorAnswers: false,
};

const LAYERED_PROFILE: PolicyProfile = {
  cancels: false,
  propagatesDeadline: false,
  sharesAttempts: false,
  retriesErrorAnswers: true,
};

const BASELINES: ReadonlyMap<string, PolicyProfile> = new Map([
  ['none', LAYERED_PROFILE],
  ['fixed', LAYERED_PROFILE],
  ['aimd', { ...LAYERED_PROFILE, cancels: true, propagatesDeadline: true }],
]);

/** Profile of a policy: a baseline's own, else that of sillshore. */
export function profileOf(policy: string): PolicyProfile {
  return BASELINES.get(policy) ?? SILLSHORE_PROFILE;
}
