/** Tenants of soak runs with limits, and the limits that are checked. */
import type { TenantOptions } from '../../platform/stand-ins/rules-document.js';

export const LIMITED_TENANT = 'limited';
export const LIMITED_KEY = 'key-of-limited';
export const UNLIMITED_KEY = 'key-of-unlimited';

const RATE_PER_SECOND = 20;
const BURST = 10;
const OVERSHOOT = 0.1;
const SLACK = 20;
const MS_PER_SECOND = 1_000;

/** Length of the window over which requests of a tenant are counted, in milliseconds. */
export const QUOTA_WINDOW_MS = 5_000;

/** Most requests of the limited tenant that may run in a window. */
export const MAX_LIMITED_RUNS =
  ((RATE_PER_SECOND * QUOTA_WINDOW_MS) / MS_PER_SECOND + BURST) * (1 + OVERSHOOT) + SLACK;

export const TENANTS: readonly TenantOptions[] = [
  { name: LIMITED_TENANT, keys: [LIMITED_KEY], ratePerSecond: RATE_PER_SECOND, burst: BURST },
  { name: 'unlimited', keys: [UNLIMITED_KEY] },
];

/** What the nodes' settings say about limits. */
export const QUOTA_SETTINGS = {
  quotaWindow: `${QUOTA_WINDOW_MS}ms`,
  quotaOvershoot: OVERSHOOT,
  quotaSlack: SLACK,
  keyRevocation: '5s',
  refuseUncheckedKeys: true,
};
