/** Admission thresholds of the services downstream of a target, by kind of the calling request. */
import { AgedThreshold } from './aged-threshold.js';

/** Key of thresholds that apply to every kind. */
const EVERY_KIND = '';

/** The highest downstream threshold and the service that set it. */
export interface DownstreamThreshold {
  readonly threshold: number;
  /** Service that the target calls. */
  readonly service: string;
  /** Service that lacks slots, as load reports of the called service name it; absent: not named. */
  readonly shortService?: string;
}

interface CalledThreshold {
  readonly aged: AgedThreshold;
  named: { readonly shortService?: string };
}

const NONE: DownstreamThreshold = { threshold: 0, service: '' };

/** Thresholds received from downstream services. */
export class DownstreamThresholds {
  private readonly byKind = new Map<string, Map<string, CalledThreshold>>();

  /**
   * Records the threshold of `service`, received by a call that a request of `kind` made.
   *
   * @param shortService service that the call's load reports named; absent: as last named
   */
  note(
    now: number,
    service: string,
    threshold: number,
    kind = EVERY_KIND,
    shortService?: string,
  ): void {
    const services = getOrCreate(this.byKind, kind, () => new Map<string, CalledThreshold>());
    const called = getOrCreate(services, service, () => {
      return { aged: new AgedThreshold(), named: {} };
    });
    called.aged.note(now, threshold);
    if (shortService !== undefined) called.named = { shortService };
  }

  /** Highest downstream threshold for a kind of request. */
  highest(now: number, kind: string): DownstreamThreshold {
    let highest = NONE;
    for (const key of [EVERY_KIND, kind]) {
      for (const [service, { aged, named }] of this.byKind.get(key) ?? []) {
        const threshold = aged.at(now);
        if (threshold > highest.threshold) highest = { threshold, service, ...named };
      }
    }
    return highest;
  }
}

function getOrCreate<K, V>(map: Map<K, V>, key: K, create: () => V): V {
  let value = map.get(key);
  if (value === undefined) {
    value = create();
    map.set(key, value);
  }
  return value;
}
