/**
 * Datagrams of the membership protocol: 16 bytes of HMAC-SHA256, then a BSON document with
 * short keys. Each update is encoded as an array, so that its keys take two bytes each.
 */
import { createHmac, createSecretKey, timingSafeEqual, type KeyObject } from 'node:crypto';
import { deserialize, serialize } from 'bson';
import type { MemberUpdate } from '../core/membership/member-update.js';
import type { MembershipMessage } from '../core/membership/membership-message.js';
import { MAX_VERSION_BITS_BYTES, type VersionDigest } from '../core/membership/version-digest.js';
import { isCount, isMemberUpdate, isText } from './membership-calls.js';

/** Largest datagram: fits into an Ethernet frame with room for the headers of tunnels. */
export const MAX_DATAGRAM_BYTES = 1_400;

const TAG_BYTES = 16;
const MESSAGE_TYPES = ['ping', 'ack', 'ping-request', 'nack', 'gossip'] as const;
const UPDATE_TYPES = ['facts', 'notice', 'suspect', 'failed', 'version'] as const;

interface WireMessage {
  /** Index in {@link MESSAGE_TYPES}. */
  readonly k: number;
  readonly f: string;
  readonly i: number;
  readonly v: number;
  readonly h: number;
  readonly u: readonly (readonly unknown[])[];
  /** View, version and bits of the digest of rules versions. */
  readonly d?: readonly [number, number, Uint8Array];
  readonly p?: number;
  /** `to` or `subject`. */
  readonly s?: string;
  readonly a?: string;
  readonly w?: boolean;
}

/** Encodes and authenticates datagrams with the shared key. */
export class DatagramCodec {
  private readonly key: KeyObject;
  private readonly previousKeys: readonly KeyObject[];

  /** @param previousSharedKeys also accepted in received datagrams, tried after `sharedKey` */
  constructor(sharedKey: string, previousSharedKeys: readonly string[] = []) {
    this.key = deriveKey(sharedKey);
    this.previousKeys = previousSharedKeys.map(deriveKey);
  }

  encode(message: MembershipMessage): Buffer {
    const body = serialize(toWire(message));
    return Buffer.concat([this.sign(body), body]);
  }

  /** Returns undefined when the datagram is not signed with an accepted key, or is malformed. */
  decode(datagram: Buffer): MembershipMessage | undefined {
    if (datagram.length <= TAG_BYTES || datagram.length > MAX_DATAGRAM_BYTES) return undefined;
    const body = datagram.subarray(TAG_BYTES);
    if (!this.isAuthentic(body, datagram.subarray(0, TAG_BYTES))) return undefined;
    try {
      return fromWire(deserialize(body, { promoteBuffers: true }));
    } catch {
      return undefined;
    }
  }

  private isAuthentic(body: Uint8Array, tag: Buffer): boolean {
    if (timingSafeEqual(this.sign(body), tag)) return true;
    return this.previousKeys.some((key) => timingSafeEqual(this.sign(body, key), tag));
  }

  private sign(body: Uint8Array, key = this.key): Buffer {
    return createHmac('sha256', key).update(body).digest().subarray(0, TAG_BYTES);
  }
}

function deriveKey(sharedKey: string): KeyObject {
  return createSecretKey(`sillshore-membership-1 ${sharedKey}`, 'utf8');
}

function toWire(message: MembershipMessage): WireMessage {
  const { versions } = message;
  const header = {
    k: MESSAGE_TYPES.indexOf(message.type),
    f: message.from,
    i: message.incarnation,
    v: message.configVersion,
    h: message.stateHash,
    u: message.updates.map(updateToWire),
    ...(versions !== undefined && { d: [versions.view, versions.version, versions.bits] as const }),
  };
  switch (message.type) {
    case 'ping':
      return { ...header, p: message.probe, s: message.to };
    case 'ack':
      return { ...header, p: message.probe, s: message.subject, w: message.factsWanted };
    case 'ping-request':
      return { ...header, p: message.probe, s: message.subject, a: message.address };
    case 'nack':
      return { ...header, p: message.probe };
    case 'gossip':
      return header;
  }
}

function fromWire(wire: Record<string, unknown>): MembershipMessage | undefined {
  const {
    k,
    f: from,
    i: incarnation,
    v: configVersion,
    h: stateHash,
    u,
    d,
    p: probe,
    s,
    a: address,
    w,
  } = wire;
  if (!isText(from) || from === '' || !isCount(incarnation) || !isCount(configVersion)) return;
  if (!isCount(stateHash) || !Array.isArray(u)) return undefined;
  const updates = u.map(updateFromWire);
  if (!updates.every(isMemberUpdate)) return undefined;
  const versions = d === undefined ? undefined : versionsFromWire(d);
  if (d !== undefined && versions === undefined) return undefined;
  const header = {
    from,
    incarnation,
    configVersion,
    stateHash,
    updates,
    ...(versions && { versions }),
  };
  const type = MESSAGE_TYPES[k as number];
  if (type === 'gossip') return { type, ...header };
  if (type === undefined || !isCount(probe)) return undefined;
  if (type === 'nack') return { type, ...header, probe };
  if (!isText(s)) return undefined;
  if (type === 'ping') return { type, ...header, probe, to: s };
  if (type === 'ack') return { type, ...header, probe, subject: s, factsWanted: w === true };
  return isText(address) ? { type, ...header, probe, subject: s, address } : undefined;
}

function versionsFromWire(value: unknown): VersionDigest | undefined {
  const [view, version, bits] = Array.isArray(value) ? (value as unknown[]) : [];
  if (!isCount(view) || !isCount(version) || !Buffer.isBuffer(bits)) return undefined;
  return bits.length <= MAX_VERSION_BITS_BYTES ? { view, version, bits } : undefined;
}

function updateToWire(update: MemberUpdate): unknown[] {
  const kind = UPDATE_TYPES.indexOf(update.type);
  switch (update.type) {
    case 'facts': {
      const { facts, leaving } = update;
      return [
        kind,
        facts.nodeId,
        facts.incarnation,
        facts.sequence,
        facts.zone,
        facts.region,
        facts.peerAddress,
        facts.entryAddress,
        facts.adminAddress,
        facts.fronts,
        facts.leavingTargets,
        facts.configVersion,
        facts.ready,
        leaving,
      ];
    }
    case 'suspect':
      return [kind, update.nodeId, update.incarnation, update.sequence, update.from];
    case 'version':
      return [kind, update.nodeId, update.incarnation, update.configVersion];
    default:
      return [kind, update.nodeId, update.incarnation, update.sequence];
  }
}

/** Rebuilds an update without checks; the caller validates it. */
function updateFromWire(value: unknown): unknown {
  if (!Array.isArray(value)) return undefined;
  const [kind, nodeId, incarnation, third, fourth] = value as unknown[];
  const type = UPDATE_TYPES[kind as number];
  if (type === 'facts') return factsFromWire(value);
  if (type === 'version') return { type, nodeId, incarnation, configVersion: third };
  if (type === 'suspect') return { type, nodeId, incarnation, sequence: third, from: fourth };
  return { type, nodeId, incarnation, sequence: third };
}

function factsFromWire(value: readonly unknown[]): unknown {
  const [, nodeId, incarnation, sequence, zone, region, peerAddress, entryAddress] = value;
  const [adminAddress, fronts, leavingTargets, configVersion, ready, leaving] = value.slice(8);
  const place = { zone, region, peerAddress, entryAddress, adminAddress };
  const state = { fronts, leavingTargets, configVersion, ready };
  return {
    type: 'facts',
    facts: { nodeId, incarnation, sequence, ...place, ...state },
    leaving,
  };
}
