/** Settings of hollow nodes: names, zones and ports by number. */
import type { Settings } from '../config/settings.js';
import { validateSettings } from '../config/settings.js';

/** A fleet of hollow nodes. */
export interface HollowFleet {
  /** Nodes of the whole fleet, over all processes. */
  readonly total: number;
  readonly zones: number;
  readonly regions: number;
  /** Port of node 0; node n listens on `firstPort + n`. */
  readonly firstPort: number;
  /** Base URL of the platform. */
  readonly platform: string;
}

const SHARED_KEY = 'hollow-fleet-shared-key';
const TOKEN = 'hollow-fleet-token';
/** Nodes that every node joins by. */
const SEED_COUNT = 3;
/** Ports that hollow nodes name and never open. */
const UNUSED_ADDRESS = '127.0.0.1:1';

/** Name of a node of the fleet. */
export function hollowNodeId(number: number): string {
  return `hollow-${number}`;
}

/** Settings of node `number`, spread over zones in turn. */
export function createHollowSettings(fleet: HollowFleet, number: number): Settings {
  const zone = number % fleet.zones;
  const region = zone % fleet.regions;
  const seeds = Array.from({ length: Math.min(SEED_COUNT, fleet.total) }, (_, index) =>
    peerAddress(fleet, index),
  );
  const settings = validateSettings({
    node: { id: hollowNodeId(number), zone: `zone-${zone}`, region: `region-${region}` },
    listen: { entry: UNUSED_ADDRESS, admin: UNUSED_ADDRESS, peer: peerAddress(fleet, number) },
    platform: { keyValue: [fleet.platform], machines: `${fleet.platform}/machines` },
    peers: { seeds, sharedKey: SHARED_KEY },
    admin: { token: TOKEN },
  });
  if (settings.isErr) throw new Error(JSON.stringify(settings.error.violations));
  return settings.value;
}

function peerAddress(fleet: HollowFleet, number: number): string {
  return `127.0.0.1:${fleet.firstPort + number}`;
}
