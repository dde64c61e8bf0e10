/** A replica group as coordinators and delivery use it. */
import type { PlacementRecord } from '../core/claim/placement.js';
import type { ReplicaClient } from './replica-client.js';

/** One group as its coordinators use it. */
export interface GroupAccess {
  readonly client: Pick<ReplicaClient, 'ask' | 'askAll'>;
  /** Newest established placement record. */
  readonly placement: PlacementRecord | undefined;
  /** Takes in a newer record that a replica told about. */
  observe(record: PlacementRecord): void;
}
