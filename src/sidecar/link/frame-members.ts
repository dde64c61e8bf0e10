/**
 * Reads the members of decoded frames. Each `...Member` function throws when a member has another type, so that
 * the frame is rejected where it is decoded and not where the value is used.
 */
import type { NodeStatus, RawFields, TargetState } from './link-messages.js';

const FIELD_SEPARATOR = '\n';
const TARGET_STATES: ReadonlySet<unknown> = new Set<TargetState>(['unknown', 'ready', 'leaving']);

/** The member as a string. */
export function textMember(value: unknown): string {
  if (typeof value !== 'string') throw new TypeError('a member is not a string');
  return value;
}

/** The member as a number other than NaN. */
export function numberMember(value: unknown): number {
  if (typeof value !== 'number' || Number.isNaN(value)) {
    throw new TypeError('a member is not a number');
  }
  return value;
}

/** The member as bytes. */
export function bytesMember(value: unknown): Uint8Array {
  if (!(value instanceof Uint8Array)) throw new TypeError('a member is not binary');
  return value;
}

/** Encodes header fields; neither names nor values contain line breaks. */
export function fieldsToText(fields: RawFields): string {
  return fields.join(FIELD_SEPARATOR);
}

/** The member as header fields. */
export function fieldsMember(value: unknown): RawFields {
  const text = textMember(value);
  return text === '' ? [] : text.split(FIELD_SEPARATOR);
}

/** The member as the status of a node. */
export function statusMember(value: unknown): NodeStatus {
  if (typeof value !== 'object' || value === null) throw new TypeError('a status is no document');
  const { node, service, target, incarnation, rulesVersion } = value as Partial<NodeStatus>;
  textMember(node);
  textMember(service);
  numberMember(rulesVersion);
  if (incarnation !== undefined) textMember(incarnation);
  if (!TARGET_STATES.has(target)) throw new TypeError('the state of a target is not known');
  return value as NodeStatus;
}
