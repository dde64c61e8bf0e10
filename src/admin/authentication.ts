/** Bearer tokens of operators (RFC 6750). */
import { timingSafeEqual } from 'node:crypto';
import type { Settings } from '../config/settings.js';
import { digestOf, hashToken } from '../config/operator-tokens.js';

const BEARER = /^Bearer ([^\s]+)$/i;

/** What the holder of a token may do. */
export interface OperatorGrant {
  readonly tenants: 'all' | readonly string[];
  /** A reader cannot change anything. */
  readonly role: 'operator' | 'reader';
}

/** The tokens of a node's settings. */
export class OperatorTokens {
  private readonly entries: readonly { readonly digest: Buffer; readonly grant: OperatorGrant }[];

  constructor({ token, tokens }: Settings['admin']) {
    const full = { token, tenants: 'all', role: 'operator' } as const;
    this.entries = [full, ...tokens].map(({ token: configured, tenants, role }) => ({
      digest: digestOf(configured),
      grant: { tenants, role },
    }));
  }

  /**
   * Returns the grant of the token in an `Authorization` field; undefined when the token is not
   * valid. Compares all digests, each in constant time, so that the timing reveals neither a
   * token's content and length nor its place in the settings.
   */
  find(authorization: string | undefined): OperatorGrant | undefined {
    const presented = BEARER.exec(authorization ?? '')?.[1];
    if (presented === undefined) return undefined;
    const digest = hashToken(presented);
    const matches = this.entries.filter((entry) => timingSafeEqual(entry.digest, digest));
    return matches[0]?.grant;
  }
}
