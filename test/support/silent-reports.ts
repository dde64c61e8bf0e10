/** A reporter of limits for tests that do not look at the reports. */
import type { LimitReporter } from '../../src/http/connection-guard.js';

export const silentReports: LimitReporter<string> = { note: () => {}, close: () => {} };
