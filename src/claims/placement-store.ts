/** The placement record in the platform's key-value service. */
import type { PlacementRecord } from '../core/claim/placement.js';
import type { PlatformClient } from '../platform/platform-client.js';
import { validatePlacement } from './claim-messages.js';

/** Key of the record. */
export const PLACEMENT_KEY = 'sillshore/claims/placement';

/** The stored record with the revision to compare with. */
export interface StoredPlacement {
  /** Absent when there is none, or none that can be read. */
  readonly record?: PlacementRecord;
  /** 0 when the key does not exist. */
  readonly modRevision: number;
}

/** Reader and writer of the record. */
export class PlacementStore {
  constructor(private readonly platform: PlatformClient) {}

  /** Reads the record; `undefined` when the platform does not answer. */
  async read(): Promise<StoredPlacement | undefined> {
    const result = await this.platform.range(PLACEMENT_KEY);
    if (result.isErr) return undefined;
    const found = result.value.values.find((each) => each.key === PLACEMENT_KEY);
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
    const compare = { key: PLACEMENT_KEY, modRevision };
    const result = await this.platform.transact([compare], [{ key: PLACEMENT_KEY, value }]);
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

function parsePlacement(text: string): PlacementRecord | undefined {
  try {
    const parsed = validatePlacement(JSON.parse(text));
    return parsed.isOk ? parsed.value : undefined;
  } catch {
    return undefined;
  }
}
