/** Seeded schedules of faults for the processes of a deployment. */
import type { BackendControl } from '../stand-ins/backend/backend-faults.js';
import { hash32 } from '../core/hash.js';
import { createRandom, type Random } from '../core/random.js';

/** What a fault acts on. */
export type FaultPlace = 'node' | 'target' | 'platform';

/** How a fault is brought about. */
export type FaultAction =
  /** SIGKILL, then a new process. */
  | { readonly type: 'kill-node' }
  /** SIGSTOP, then SIGCONT. */
  | { readonly type: 'pause-node' }
  /** SIGTERM, then a new process. */
  | { readonly type: 'stop-node' }
  /** Switches faults of a back end on, then off. */
  | { readonly type: 'target-fault'; readonly on: BackendControl; readonly off: BackendControl }
  /** Switches faults of the platform on, then off. */
  | { readonly type: 'platform-fault'; readonly on: object; readonly off: object };

export interface FaultKind {
  readonly name: string;
  readonly place: FaultPlace;
  readonly action: FaultAction;
}

function targetFault(name: string, on: BackendControl, off: BackendControl): FaultKind {
  return { name, place: 'target', action: { type: 'target-fault', on, off } };
}

function platformFault(name: string, on: object, off: object): FaultKind {
  return { name, place: 'platform', action: { type: 'platform-fault', on, off } };
}

/** The faults that schedules draw from. */
export const FAULT_KINDS: readonly FaultKind[] = [
  { name: 'node killed', place: 'node', action: { type: 'kill-node' } },
  { name: 'node paused', place: 'node', action: { type: 'pause-node' } },
  { name: 'node stopped as planned', place: 'node', action: { type: 'stop-node' } },
  targetFault(
    'connection closed in the middle of an answer',
    { dieMidAnswer: true },
    { dieMidAnswer: false },
  ),
  targetFault('answers are truncated', { truncate: true }, { truncate: false }),
  targetFault('answers are late', { answerDelayMs: 1_000 }, { answerDelayMs: 0 }),
  targetFault('no answers', { pauseAnswers: true }, { pauseAnswers: false }),
  targetFault('service ten times slower', { slowFactor: 10 }, { slowFactor: 1 }),
  targetFault('sheds all load', { shed: true }, { shed: false }),
  targetFault('drains', { drain: true, refuseAfterMs: 500 }, { drain: false }),
  targetFault('ignores cancellation', { ignoreCancel: true }, { ignoreCancel: false }),
  targetFault('retries calls by itself', { ownRetries: 3 }, { ownRetries: 0 }),
  targetFault('drops the context field', { dropContext: true }, { dropContext: false }),
  platformFault('platform refuses', { outage: 'refuse' }, { outage: 'none' }),
  platformFault('platform hangs', { outage: 'hang' }, { outage: 'none' }),
  platformFault('platform slow', { delayMs: 800 }, { delayMs: 0 }),
];

/** One fault of a schedule. */
export interface ScheduledFault {
  readonly kind: FaultKind;
  /** Selects the node or back end; taken modulo the number of them in the deployment. */
  readonly index: number;
  /** Milliseconds after the start of the load. */
  readonly atMs: number;
  readonly lastsMs: number;
}

const MIN_FAULT_MS = 300;
const MAX_FAULT_MS = 5_000;

/**
 * Draws a schedule, which the seed determines.
 *
 * @param durationMs faults begin before this time
 */
export function createFaultSchedule(
  seed: number,
  count: number,
  durationMs: number,
): readonly ScheduledFault[] {
  const random = createRandom(hash32(`faults ${seed}`));
  const faults = Array.from({ length: count }, () => drawFault(random, durationMs));
  return faults.sort((a, b) => a.atMs - b.atMs);
}

function drawFault(random: Random, durationMs: number): ScheduledFault {
  // Places have equal weight; else the many kinds of back-end faults would crowd out node faults.
  const place = (['node', 'target', 'platform'] as const)[random.nextInt(3)]!;
  const kinds = FAULT_KINDS.filter((kind) => kind.place === place);
  return {
    kind: kinds[random.nextInt(kinds.length)]!,
    index: random.nextInt(1_000),
    atMs: Math.floor(random.next() * durationMs),
    lastsMs: MIN_FAULT_MS + Math.floor(random.next() * (MAX_FAULT_MS - MIN_FAULT_MS)),
  };
}
