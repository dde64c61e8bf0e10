/** Operators' tokens in the settings: what each one may do, and for which tenants. */
import { createHash } from 'node:crypto';
import { z } from 'zod';
import { name } from './rules.js';
import { serverTlsSchema } from './tls-settings.js';

const HASHED = /^sha256:([0-9a-f]{64})$/;

/** Text that marks a token given as its hash. */
const HASH_PREFIX = 'sha256:';

/** A token in clear text, or as `sha256:` and the 64 lower-case hex digits of its SHA-256. */
export const operatorToken = z
  .string()
  .min(8)
  .max(1_024)
  .refine(
    (value) => !value.startsWith(HASH_PREFIX) || HASHED.test(value),
    'after sha256: the 64 lower-case hex digits of the hash',
  );

/** Schema of one token of `admin.tokens`. */
export const tokenGrantSchema = z.strictObject({
  token: operatorToken,
  /** Tenants that the token gives access to. */
  tenants: z.union([z.literal('all'), z.array(name).min(1).max(1_000)]),
  /** A reader may not change anything. */
  role: z.enum(['operator', 'reader']),
});

/** Schema of the operators' part of the settings. */
export const adminSettingsSchema = z
  .strictObject({
    /** Bearer token of an operator of all tenants; may not be empty. */
    token: operatorToken,
    /** Further tokens, each for some tenants or for reading only. */
    tokens: z.array(tokenGrantSchema).max(1_000).default([]),
    /** TLS of the whole port, `/metrics` and health included; plain HTTP when absent. */
    tls: serverTlsSchema.optional(),
  })
  .superRefine(({ token, tokens }, context) => {
    const seen = new Set([digestOf(token).toString('hex')]);
    for (const [index, grant] of tokens.entries()) {
      const digest = digestOf(grant.token).toString('hex');
      const path = ['tokens', index, 'token'];
      if (seen.has(digest)) context.addIssue({ code: 'custom', path, message: 'given twice' });
      seen.add(digest);
    }
  });

/** SHA-256 of a token of the settings, which give the token in clear text or that hash. */
export function digestOf(configured: string): Buffer {
  const hash = HASHED.exec(configured)?.[1];
  return hash === undefined ? hashToken(configured) : Buffer.from(hash, 'hex');
}

/** SHA-256 of a token in clear text. */
export function hashToken(token: string): Buffer {
  return createHash('sha256').update(token).digest();
}
