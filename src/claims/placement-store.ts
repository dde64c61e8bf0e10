/** The groups' records in the platform's key-value service. */
import { MAX_GROUPS } from '../core/claim/claim-groups.js';
import type { PlacementRecord } from '../core/claim/placement.js';
import type { PlatformClient } from '../etcd/platform-client.js';
import { validateLayout, validatePlacement } from './claim-messages.js';

/** Prefix of all keys that claims use. */
const CLAIMS_PREFIX = 'sillshore/claims/';

/** Key of the number of groups; written once. */
export const LAYOUT_KEY = `${CLAIMS_PREFIX}layout`;

/** Key of a group's placement record. */
export function placementKey(group: number): string {
  return `${CLAIMS_PREFIX}placement/${String(group).padStart(2, '0')}`;
}

/** The stored record with the revision to compare with. */
export interface StoredPlacement {
  /** Absent when there is none, or when the stored one is invalid. */
  readonly record?: PlacementRecord;
  /** 0 when the key does not exist. */
  readonly modRevision: number;
}

/** All claim records that the platform stores. */
export interface StoredClaims {
  /** Number of groups; absent before the first start of the fleet. */
  readonly groups?: number;
  readonly records: ReadonlyMap<number, PlacementRecord>;
}

/** Reads all records at once; `undefined` when the platform does not answer. */
export async function readStoredClaims(
  platform: PlatformClient,
): Promise<StoredClaims | undefined> {
  const result = await platform.range(CLAIMS_PREFIX);
  if (result.isErr) return undefined;
  const values = new Map(result.value.values.map((each) => [each.key, each.value]));
  const records = new Map<number, PlacementRecord>();
  for (let group = 0; group < MAX_GROUPS; group += 1) {
    const record = parsePlacement(values.get(placementKey(group)));
    if (record !== undefined) records.set(group, record);
  }
  const layout = values.get(LAYOUT_KEY);
  const groups = layout === undefined ? undefined : parseLayout(layout);
  return { records, ...(groups === undefined ? {} : { groups }) };
}

/** Writes the number of groups, unless one is stored already; that one stays in force. */
export async function createLayout(platform: PlatformClient, groups: number): Promise<void> {
  const value = JSON.stringify({ groups });
  await platform.transact([{ key: LAYOUT_KEY, modRevision: 0 }], [{ key: LAYOUT_KEY, value }]);
}

/** Reads and writes one group's record. */
export class PlacementStore {
  private readonly key: string;

  constructor(
    private readonly platform: PlatformClient,
    group: number,
  ) {
    this.key = placementKey(group);
  }

  /** Reads the record; `undefined` when the platform does not answer. */
  async read(): Promise<StoredPlacement | undefined> {
    const result = await this.platform.range(this.key);
    if (result.isErr) return undefined;
    const found = result.value.values.find((each) => each.key === this.key);
    if (found === undefined) return { modRevision: 0 };
    const record = parsePlacement(found.value);
    return { modRevision: found.modRevision, ...(record === undefined ? {} : { record }) };
  }

  /**
   * Writes the record if the stored one has not changed.
   *
   * @returns true only when it is certain that this record is stored
   */
  async write(record: PlacementRecord, modRevision: number): Promise<boolean> {
    const value = JSON.stringify(record);
    const compare = { key: this.key, modRevision };
    const result = await this.platform.transact([compare], [{ key: this.key, value }]);
    if (result.isOk) return result.value.succeeded;
    const stored = await this.read();
    return stored?.record !== undefined && JSON.stringify(stored.record) === value;
  }

  /** Stores a newer record, best effort: the group itself is the authority on its epoch. */
  async publish(record: PlacementRecord): Promise<void> {
    const stored = await this.read();
    if (stored === undefined || (stored.record?.epoch ?? 0) >= record.epoch) return;
    await this.write(record, stored.modRevision);
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function parsePlacement(text: string | undefined): PlacementRecord | undefined {
  const parsed = validatePlacement(parseJson(text ?? ''));
  return parsed.isOk ? parsed.value : undefined;
}

function parseLayout(text: string): number | undefined {
  const parsed = validateLayout(parseJson(text));
  return parsed.isOk ? parsed.value.groups : undefined;
}
