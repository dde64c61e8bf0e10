/**
 * Behaviour of the data path under a policy. The baselines model common practice without
 * sillshore: each layer has its own timeout and retries by itself.
 */

/** Behaviour of the data path under one policy. */
export interface PolicyProfile {
  /** Work whose caller disconnected is cancelled along the whole chain. */
  readonly cancels: boolean;
  /**
   * Downstream calls inherit the deadline; otherwise each layer waits for the kind's whole
   * deadline.
   */
  readonly propagatesDeadline: boolean;
  /** The whole chain shares one attempt budget; otherwise each layer retries by itself. */
  readonly sharesAttempts: boolean;
  /** The calling node retries an error answer that a failed downstream call caused. */
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

/** Returns the profile of a baseline, or that of sillshore for any other policy. */
export function profileOf(policy: string): PolicyProfile {
  return BASELINES.get(policy) ?? SILLSHORE_PROFILE;
}
