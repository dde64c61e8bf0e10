/** One node's own settings: identity, addresses, platform endpoints and limits. */
import { Result } from 'true-myth';
import { z } from 'zod';
import type { Failure } from '../core/failure.js';
import { MAX_GROUPS } from '../core/claim/claim-groups.js';
import { ResultCode } from '../core/result-code.js';
import { parseAndValidate } from './parse-document.js';
import { validateValue } from './validate-value.js';
import { adminSettingsSchema } from './operator-tokens.js';
import { address, name } from './rules.js';
import { mutualTlsSchema } from './tls-settings.js';

const sharedKey = z.string().min(16).max(1_024);
const url = z.string().regex(/^https?:\/\/[^\s]+$/, 'an http or https URL');

/** Schema of a node's settings document. */
export const settingsSchema = z.strictObject({
  node: z.strictObject({
    /** Unique name; a replacement machine takes a new name. */
    id: name,
    zone: name,
    region: name,
    /** Target ids that this node fronts; empty leaves the choice to the placement by zone. */
    fronts: z.array(name).max(1_000).default([]),
  }),
  listen: z.strictObject({
    /** Callers' HTTP entry, also used by back ends for the next call of a chain. */
    entry: address,
    /** Admin API, metrics and health. */
    admin: address,
    /** Node-to-node links: the same port for TCP (calls) and UDP (membership). */
    peer: address,
  }),
  platform: z.strictObject({
    /** Base URLs of the key-value service (etcd v3 JSON gateway). */
    keyValue: z.array(url).min(1).max(9),
    /** URL of the list of machines. */
    machines: url,
    /** Time limit of one exchange in milliseconds. */
    timeoutMs: z.int().min(10).max(60_000).default(1_000),
  }),
  peers: z.strictObject({
    /** Addresses of nodes to join through; the list of machines adds to them. */
    seeds: z.array(address).max(64).default([]),
    /** Key shared by all nodes, 16 characters or more; authenticates links and datagrams. */
    sharedKey,
    /** Keys that are also accepted but never used to send; for changing `sharedKey`. */
    previousSharedKeys: z.array(sharedKey).max(3).default([]),
    /** TLS of links; plain TCP when absent. All nodes have it or none. */
    tls: mutualTlsSchema.optional(),
  }),
  /** Operators' tokens. */
  admin: adminSettingsSchema,
  limits: z
    .strictObject({
      /** Largest node-to-node frame in bytes. */
      maxFrameBytes: z.int().min(1_024).max(67_108_864).default(20_971_520),
      /** Requests in flight on one link. */
      maxInFlightPerLink: z.int().min(1).max(100_000).default(4_096),
      /** Messages waiting in one task's mailbox. */
      maxMailboxLength: z.int().min(1).max(1_000_000).default(16_384),
      /** Bytes of bodies that the node buffers at once. */
      maxBufferedBytes: z.int().min(1_024).max(4_294_967_296).default(67_108_864),
      /** Time within which a caller must send the whole request, in milliseconds. */
      requestReadTimeoutMs: z.int().min(10).max(600_000).default(10_000),
      /** Descriptors that the process may have open; shares of them bound the connections of each port. */
      fileDescriptors: z.int().min(100).max(10_000_000).default(4_096),
      /** Requests that a caller may send on one connection before the first of them is answered. */
      requestsAhead: z.int().min(1).max(100_000).default(64),
      /** Unanswered requests of all callers; requests sent ahead may be a quarter of them. */
      openRequests: z.int().min(16).max(10_000_000).default(8_192),
      /** Time within which a caller must read an answer, in milliseconds. */
      answerReadTimeoutMs: z.int().min(10).max(600_000).default(30_000),
    })
    .prefault({}),
  claims: z
    .strictObject({
      /**
       * Number of replica groups for the claims when this node starts the fleet; later the
       * fleet's own record applies. Absent: one group for about ten nodes.
       */
      groups: z.int().min(1).max(MAX_GROUPS).exactOptional(),
    })
    .prefault({}),
  overload: z
    .strictObject({
      /** Name of the registered overload policy. */
      policy: z.string().min(1).max(64).default('adaptive'),
    })
    .prefault({}),
  log: z
    .strictObject({ level: z.enum(['trace', 'debug', 'info', 'warn', 'error']).default('info') })
    .prefault({}),
  /** Time allowed for a planned stop, in milliseconds. */
  stopTimeoutMs: z.int().min(0).max(600_000).default(30_000),
});

/** One node's validated settings. */
export type Settings = z.infer<typeof settingsSchema>;

/** Parses and validates a settings document (YAML or JSON). */
export function parseSettings(text: string): Result<Settings, Failure> {
  return parseAndValidate(text, settingsSchema, ResultCode.SettingsInvalid);
}

/** Validates settings that were built in code or from flags. */
export function validateSettings(value: unknown): Result<Settings, Failure> {
  return validateValue(value, settingsSchema, ResultCode.SettingsInvalid);
}
