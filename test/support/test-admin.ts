/** An administration server over in-memory parts, for the tests of the API and of the commands. */
import { Result } from 'true-myth';
import type { RevisionRecord } from '../../src/config/config-store.js';
import { InMemoryConfigStore } from '../../src/config/in-memory-config-store.js';
import { parseRules, type Rules } from '../../src/config/rules.js';
import type {
  ApplyFailure,
  ApplyRequest,
  RulesRepository,
} from '../../src/config/rules-repository.js';
import { validateSettings, type Settings } from '../../src/config/settings.js';
import { createFailure, type Failure } from '../../src/core/failure.js';
import { ResultCode } from '../../src/core/result-code.js';
import { systemClock } from '../../src/kernel/clock.js';
import { silentEventLog } from '../../src/kernel/event.js';
import { createMetrics, type Metrics } from '../../src/kernel/metrics.js';
import type { Member, Membership } from '../../src/membership/membership.js';
import type { AdminNode } from '../../src/admin/admin-node.js';
import { AdminServer, type AdminTimeLimits } from '../../src/admin/admin-server.js';

/** Token of the test server. */
export const TEST_TOKEN = 'operator-token';

/** A small valid rules document. */
export function createRulesDocument(tenant = 'roteiro-vivo', slots = 12): string {
  const kind = {
    name: 'step',
    match: { method: 'GET', pathPrefix: '/steps' },
    criticality: 'critical',
    deadlineMs: 500,
    attempts: 3,
    idempotent: true,
  };
  const service = {
    name: 'guide',
    hosts: ['guide.example'],
    slots,
    connections: 110,
    targets: [
      { id: 'guide-1', zone: 'zone-a', address: '127.0.0.1:7001' },
      { id: 'guide-2', zone: 'zone-b', address: '127.0.0.1:7002' },
    ],
    kinds: [kind],
  };
  return JSON.stringify({ apiVersion: 'sillshore/v1', tenant, services: [service] });
}

/** Creates the settings of the test node; every port is any free one. */
export function createTestSettings(): Settings {
  const settings = validateSettings({
    node: { id: 'a1', zone: 'zone-a', region: 'recife' },
    listen: { entry: '127.0.0.1:0', admin: '127.0.0.1:0', peer: '127.0.0.1:0' },
    platform: { keyValue: ['http://127.0.0.1:1'], machines: 'http://127.0.0.1:1/machines' },
    peers: { sharedKey: '0123456789abcdef' },
    admin: { token: TEST_TOKEN },
  });
  return settings.unwrapOrElse((failure) => {
    throw new Error(JSON.stringify(failure));
  });
}

/** The accepted revisions of the platform, in memory; an accepted revision is in force at once. */
export class FakeRulesRepository implements RulesRepository {
  readonly revisions: RevisionRecord[] = [];
  /** Failures of the next calls of `apply`; with `applied` the change takes effect nevertheless. */
  readonly failures: { readonly failure: Failure; readonly applied: boolean }[] = [];
  /** Number of calls of `apply` so far. */
  applies = 0;

  constructor(private readonly store: InMemoryConfigStore) {}

  validate(tenant: string, document: string): Result<Rules, Failure> {
    return parseRules(document).andThen((rules) =>
      rules.tenant === tenant
        ? Result.ok<Rules, Failure>(rules)
        : Result.err(createFailure(ResultCode.TenantMismatch, `rules of ${rules.tenant}`)),
    );
  }

  apply(request: ApplyRequest): Promise<Result<RevisionRecord, ApplyFailure>> {
    this.applies += 1;
    const injected = this.failures.shift();
    if (injected?.applied === false) return Promise.resolve(Result.err(injected.failure));
    const applied = this.applyNow(request);
    return Promise.resolve(injected === undefined ? applied : Result.err(injected.failure));
  }

  get(tenant: string, revision?: number): Promise<Result<RevisionRecord, Failure>> {
    const found = this.of(tenant).find(
      (record) => record.revision === (revision ?? record.revision),
    );
    const failure = createFailure(ResultCode.RevisionNotFound, `${tenant} ${revision ?? ''}`);
    return Promise.resolve(found === undefined ? Result.err(failure) : Result.ok(found));
  }

  history(tenant: string, limit: number): Promise<Result<readonly RevisionRecord[], Failure>> {
    return Promise.resolve(Result.ok(this.of(tenant).slice(0, limit)));
  }

  private applyNow(request: ApplyRequest): Result<RevisionRecord, ApplyFailure> {
    const { tenant, document, operationId, author } = request;
    const known = this.of(tenant).find((record) => record.operationId === operationId);
    if (known !== undefined) return Result.ok(known);
    const currentRevision = this.of(tenant)[0]?.revision ?? 0;
    return this.validate(tenant, document).andThen((rules) => {
      if (currentRevision !== request.expectedRevision) {
        const failure = createFailure(ResultCode.RevisionConflict, `it is ${currentRevision}`);
        return Result.err<RevisionRecord, ApplyFailure>({ ...failure, currentRevision });
      }
      const version = this.revisions.length + 1;
      const revision = currentRevision + 1;
      const record = { tenant, revision, version, operationId, author, acceptedAtMs: 0, rules };
      this.revisions.push(record);
      this.store.offer(record);
      return Result.ok(record);
    });
  }

  private of(tenant: string): RevisionRecord[] {
    return this.revisions.filter((record) => record.tenant === tenant).reverse();
  }
}

/** Creates a member of the test fleet. */
export function createMember(nodeId: string, zone: string, changes: Partial<Member> = {}): Member {
  return {
    nodeId,
    incarnation: 1,
    sequence: 1,
    zone,
    region: 'recife',
    peerAddress: '127.0.0.1:9001',
    entryAddress: '127.0.0.1:9002',
    adminAddress: '127.0.0.1:9003',
    fronts: [],
    leavingTargets: [],
    configVersion: 1,
    ready: true,
    state: 'alive',
    ...changes,
  };
}

/** Membership of a fixed fleet: the test node a1, and b1 in another zone. */
export class FakeMembership implements Membership {
  others: Member[] = [createMember('b1', 'zone-b')];

  constructor(private readonly store: InMemoryConfigStore) {}

  self(): Member {
    return createMember('a1', 'zone-a', { configVersion: this.store.version });
  }

  members(): readonly Member[] {
    return [this.self(), ...this.others];
  }

  find(nodeId: string): Member | undefined {
    return this.members().find((member) => member.nodeId === nodeId);
  }

  update(): void {}

  addSeeds(): void {}

  leave(): Promise<void> {
    return Promise.resolve();
  }

  subscribe(): () => void {
    return () => {};
  }
}

/** A running test server and its parts. */
export interface TestAdmin {
  readonly url: string;
  readonly port: number;
  readonly server: AdminServer;
  readonly store: InMemoryConfigStore;
  readonly repository: FakeRulesRepository;
  readonly membership: FakeMembership;
  readonly metrics: Metrics;
  /** Drain commands that the target side received, such as `guide-1 true`. */
  readonly drained: string[];
  /** Number of requested planned stops. */
  readonly stops: { count: number };
}

/** An administration node over in-memory parts, and the parts. */
export type TestNode = Omit<TestAdmin, 'url' | 'port' | 'server'> & { readonly node: AdminNode };

/** Creates the node behind an administration server; `parts` replaces parts of it. */
export function createTestNode(parts: Partial<AdminNode> = {}): TestNode {
  const store = new InMemoryConfigStore();
  const repository = new FakeRulesRepository(store);
  const membership = new FakeMembership(store);
  const metrics = createMetrics(false);
  const drained: string[] = [];
  const stops = { count: 0 };
  const node: AdminNode = {
    settings: createTestSettings(),
    clock: systemClock,
    log: silentEventLog,
    kernel: { draining: false, requestStop: () => (stops.count += 1) },
    metrics,
    configStore: store,
    rulesRepository: repository,
    membership,
    targets: {
      drainTarget: (target, on) => {
        drained.push(`${target} ${on}`);
        return target === 'guide-1';
      },
    },
    ...parts,
  };
  return { node, store, repository, membership, metrics, drained, stops };
}

/** Starts an administration server; `parts` replaces parts of its node. */
export async function startTestAdmin(
  parts: Partial<AdminNode> = {},
  limits?: AdminTimeLimits,
): Promise<TestAdmin> {
  const { node, ...rest } = createTestNode(parts);
  const server = new AdminServer(node, limits);
  await server.start();
  const { port } = server;
  return { url: `http://127.0.0.1:${port}`, port, server, ...rest };
}
