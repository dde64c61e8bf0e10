/** The record that a node writes about itself into the store: its address, its location and its target. */
import { isIPv4 } from 'node:net';
import { splitAddress } from '../../core/host-and-port.js';
import type { TargetState } from '../link/link-messages.js';

/** Prefix of the keys of all node records; the rest of a key is the node's identity. */
export const NODE_RECORD_PREFIX = 'sillshore/nodes/';

/** Record of one node. */
export interface NodeRecord {
  readonly node: string;
  /** IP address and port for links. */
  readonly address: string;
  readonly zone: string;
  readonly region: string;
  readonly service: string;
  /** Identity of the target; empty while none is known. */
  readonly targetId: string;
  /** Start of the target's process in Unix milliseconds; absent where targets don't report it. */
  readonly targetStartedAt?: number;
  readonly target: TargetState;
  /** Number of requests that the target works on at the same time; absent while no target is known. */
  readonly targetSlots?: number;
  /**
   * Era of the store in which the record was written; absent where the store reports none. In a later era the
   * store may have lost a newer record.
   */
  readonly storeEra?: number;
}

const TARGET_STATES: ReadonlySet<unknown> = new Set<TargetState>(['unknown', 'ready', 'leaving']);
const ADDRESS = /^[0-9.]{7,15}:[0-9]{1,5}$/;
const HIGHEST_PORT = 65_535;
/** As for names in the settings and for ids of targets. */
const MAX_TEXT_LENGTH = 200;

/** Key of a node's record. */
export function keyOfNode(node: string): string {
  return NODE_RECORD_PREFIX + node;
}

export function encodeNodeRecord(record: NodeRecord): Buffer {
  return Buffer.from(JSON.stringify(record));
}

/**
 * Decodes the record under a key; undefined for a value that is not a valid record of the key's node (another
 * writer wrote it). Never throws, whatever the bytes are. Members that no record has are dropped.
 */
export function decodeNodeRecord(key: string, value: Buffer): NodeRecord | undefined {
  try {
    const record = JSON.parse(value.toString('utf8')) as Partial<NodeRecord> | null;
    if (typeof record !== 'object' || record === null || !isNodeRecord(record)) return undefined;
    return keyOfNode(record.node) === key ? withKnownMembers(record) : undefined;
  } catch {
    return undefined;
  }
}

function isNodeRecord(record: Partial<NodeRecord>): record is NodeRecord {
  const { node, address, zone, region, service, targetId, target } = record;
  const { targetStartedAt, targetSlots, storeEra } = record;
  if (![node, zone, region, service, targetId].every(isText) || service === '') return false;
  if (![targetStartedAt, targetSlots, storeEra].every(isOptionalCount)) return false;
  return TARGET_STATES.has(target) && isAddress(address);
}

function withKnownMembers(record: NodeRecord): NodeRecord {
  const { node, address, zone, region, service, targetId, target } = record;
  const { targetStartedAt, targetSlots, storeEra } = record;
  return {
    ...{ node, address, zone, region, service, targetId, target },
    ...(targetStartedAt === undefined ? {} : { targetStartedAt }),
    ...(targetSlots === undefined ? {} : { targetSlots }),
    ...(storeEra === undefined ? {} : { storeEra }),
  };
}

function isText(value: unknown): boolean {
  return typeof value === 'string' && value.length <= MAX_TEXT_LENGTH;
}

function isOptionalCount(value: unknown): boolean {
  return value === undefined || (Number.isSafeInteger(value) && (value as number) >= 0);
}

/** Only IP addresses: any other host would be looked up by name. */
function isAddress(address: unknown): boolean {
  if (typeof address !== 'string' || !ADDRESS.test(address)) return false;
  const { host, port } = splitAddress(address);
  return isIPv4(host) && port > 0 && port <= HIGHEST_PORT;
}
