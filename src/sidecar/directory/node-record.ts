/** What a node writes about itself into the store: where it is and what stands beside it. */
import type { TargetState } from '../link/link-messages.js';

/** Keys of all records begin so; the rest is the node's identity. */
export const NODE_RECORD_PREFIX = 'sillshore/nodes/';

/** One node. */
export interface NodeRecord {
  readonly node: string;
  /** IP address and port for links. */
  readonly address: string;
  readonly zone: string;
  readonly region: string;
  readonly service: string;
  /** Incarnation of the target; empty while none is known. */
  readonly targetId: string;
  readonly target: TargetState;
}

/** Key of a node's record. */
export function keyOfNode(node: string): string {
  return NODE_RECORD_PREFIX + node;
}

/** Writes a record. */
export function encodeNodeRecord(record: NodeRecord): Buffer {
  return Buffer.from(JSON.stringify(record));
}

/** Reads a record; undefined when it cannot be read. */
export function decodeNodeRecord(value: Buffer): NodeRecord | undefined {
  try {
    const record = JSON.parse(value.toString('utf8')) as Partial<NodeRecord> | null;
    const { node, address, zone, region, service, targetId, target } = record ?? {};
    const texts = [node, address, zone, region, service, targetId];
    if (texts.some((text) => typeof text !== 'string')) return undefined;
    if (target !== 'unknown' && target !== 'ready' && target !== 'leaving') return undefined;
    return record as NodeRecord;
  } catch {
    return undefined;
  }
}
