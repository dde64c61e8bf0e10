/** Prometheus metrics of one node (prom-client), served as text on the admin address. */
import type { TrafficMeter } from './traffic-meter.js';
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client';

const LATENCY_BUCKETS_SECONDS = [
  0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5,
];

/** Sampling interval of the event loop's delay; prom-client's default wakes an idle process. */
const EVENT_LOOP_SAMPLE_MS = 100;

const TRANSPORTS = ['tcp', 'udp'] as const;
const DIRECTIONS = ['sent', 'received'] as const;

/** The metrics that plug-ins update. */
export interface Metrics {
  readonly registry: Registry;
  /** Requests at the callers' entry, by service, kind and result code. */
  readonly requests: Counter<'service' | 'kind' | 'code'>;
  /** Times that a limit on what clients may hold was reached, by port and limit. */
  readonly limitHits: Counter<'port' | 'limit'>;
  /** Caller-side latency in seconds, by service and kind. */
  readonly latency: Histogram<'service' | 'kind'>;
  /** Attempts sent to targets, by service and outcome. */
  readonly attempts: Counter<'service' | 'outcome'>;
  /** Requests being served by a target through this node. */
  readonly inFlight: Gauge<'target'>;
  /** Requests waiting in this node's queue for a target. */
  readonly queued: Gauge<'target'>;
  /** Current concurrency limit of a target. */
  readonly limit: Gauge<'target'>;
  /** Rules revision in force, by tenant. */
  readonly rulesRevision: Gauge<'tenant'>;
  /** Members by state. */
  readonly members: Gauge<'state'>;
  /** Claims by result. */
  readonly claims: Counter<'result'>;
}

/** Creates the metrics in their own registry, so that several nodes can run in one process. */
export function createMetrics(withDefaults = true): Metrics {
  const registry = new Registry();
  const registers = [registry];
  if (withDefaults) {
    const eventLoopMonitoringPrecision = EVENT_LOOP_SAMPLE_MS;
    collectDefaultMetrics({ register: registry, eventLoopMonitoringPrecision });
  }
  return {
    registry,
    requests: new Counter({
      name: 'sillshore_requests_total',
      help: 'Requests at the callers entry by service, kind and result code',
      labelNames: ['service', 'kind', 'code'],
      registers,
    }),
    limitHits: new Counter({
      name: 'sillshore_client_limit_hits_total',
      help: 'Times that a limit on what clients may hold was reached, by port and limit',
      labelNames: ['port', 'limit'],
      registers,
    }),
    latency: new Histogram({
      name: 'sillshore_request_seconds',
      help: 'Caller-side latency in seconds',
      labelNames: ['service', 'kind'],
      buckets: LATENCY_BUCKETS_SECONDS,
      registers,
    }),
    attempts: new Counter({
      name: 'sillshore_attempts_total',
      help: 'Attempts sent to targets by service and outcome',
      labelNames: ['service', 'outcome'],
      registers,
    }),
    inFlight: new Gauge({
      name: 'sillshore_target_in_flight',
      help: 'Requests being served by a target through this node',
      labelNames: ['target'],
      registers,
    }),
    queued: new Gauge({
      name: 'sillshore_target_queued',
      help: 'Requests waiting for a target in this node',
      labelNames: ['target'],
      registers,
    }),
    limit: new Gauge({
      name: 'sillshore_target_limit',
      help: 'Current concurrency limit of a target',
      labelNames: ['target'],
      registers,
    }),
    rulesRevision: new Gauge({
      name: 'sillshore_rules_revision',
      help: 'Rules revision in force by tenant',
      labelNames: ['tenant'],
      registers,
    }),
    members: new Gauge({
      name: 'sillshore_members',
      help: 'Members by state',
      labelNames: ['state'],
      registers,
    }),
    claims: new Counter({
      name: 'sillshore_claims_total',
      help: 'Claims by result',
      labelNames: ['result'],
      registers,
    }),
  };
}

/** Publishes the byte counts of the links between nodes as `sillshore_peer_bytes_total`. */
export function publishTraffic(registry: Registry, traffic: TrafficMeter): void {
  new Counter({
    name: 'sillshore_peer_bytes_total',
    help: 'Bytes exchanged with other nodes by transport and direction',
    labelNames: ['transport', 'direction'],
    registers: [registry],
    collect() {
      this.reset();
      for (const transport of TRANSPORTS) {
        for (const direction of DIRECTIONS) {
          this.inc({ transport, direction }, traffic.read(transport, direction));
        }
      }
    },
  });
}
