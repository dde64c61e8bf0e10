/** When admission is shared over all nodes. */
import { isLargeFleet } from '../../core/fleet-size.js';

/**
 * Every node reports five times a second while a service is short, and one node receives all reports; a larger fleet
 * would take most of its processor time.
 */
const LARGEST_SHARED_FLEET = 150;

/**
 * Whether costs are sent and admission shares are planned.
 *
 * @param mode setting `loadControl.sharedAdmission`
 * @param fleetSize number of known nodes, this one included
 */
export function isSharedAdmissionOn(mode: 'auto' | 'off', fleetSize: number): boolean {
  return mode === 'auto' && isLargeFleet(fleetSize) && fleetSize <= LARGEST_SHARED_FLEET;
}
