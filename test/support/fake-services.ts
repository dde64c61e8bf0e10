/** In-memory fakes of the services that the path of a call uses. */
import { Result } from 'true-myth';
import type {
  AttemptCharge,
  ChargeGrant,
  ClaimDecision,
  ClaimRequest,
  ClaimService,
} from '../../src/claims/claim-service.js';
import { createFailure, type Failure } from '../../src/core/failure.js';
import type { HttpAnswer } from '../../src/core/http-message.js';
import { ResultCode } from '../../src/core/result-code.js';
import type { Clock } from '../../src/kernel/clock.js';
import type { Member, Membership, MutableFacts } from '../../src/membership/membership.js';
import type { PeerCallName, PeerCalls } from '../../src/peer/messages.js';
import type {
  BodyValidator,
  PeerCallHandler,
  PeerCallOptions,
  PeerNetwork,
} from '../../src/peer/peer-network.js';

/** The members of one fleet; all nodes see a change at once. */
export class FakeFleet {
  readonly members = new Map<string, Member>();
  readonly handlers = new Map<string, Map<string, AnyHandler>>();
  private readonly listeners = new Set<() => void>();

  notify(): void {
    for (const listener of this.listeners) listener();
  }

  subscribe(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }
}

interface AnyHandler {
  readonly validate: (body: unknown) => Result<unknown, Failure>;
  readonly handle: (
    from: string,
    body: unknown,
    signal: AbortSignal,
  ) => Promise<Result<unknown, Failure>>;
}

/** Membership without a network. */
export class FakeMembership implements Membership {
  constructor(
    private readonly fleet: FakeFleet,
    private readonly own: Member,
  ) {
    fleet.members.set(own.nodeId, own);
  }

  self(): Member {
    return this.fleet.members.get(this.own.nodeId) ?? this.own;
  }

  members(): readonly Member[] {
    return [...this.fleet.members.values()];
  }

  find(nodeId: string): Member | undefined {
    return this.fleet.members.get(nodeId);
  }

  update(facts: MutableFacts): void {
    this.fleet.members.set(this.own.nodeId, { ...this.self(), ...facts });
    this.fleet.notify();
  }

  addSeeds(): void {}

  leave(): Promise<void> {
    return Promise.resolve();
  }

  subscribe(listener: () => void): () => void {
    return this.fleet.subscribe(listener);
  }
}

/** Calls between the nodes of a fleet, without a network. */
export class FakePeerNetwork implements PeerNetwork {
  /** Peers whose replies are lost after they have handled the call. */
  readonly lossy = new Set<string>();

  constructor(
    private readonly fleet: FakeFleet,
    private readonly nodeId: string,
  ) {}

  async call<K extends PeerCallName>(
    node: string,
    name: K,
    request: PeerCalls[K]['request'],
    options: PeerCallOptions,
  ): Promise<Result<PeerCalls[K]['reply'], Failure>> {
    const handler = this.fleet.handlers.get(node)?.get(name);
    if (handler === undefined) {
      return Result.err(createFailure(ResultCode.PeerUnreachable, node));
    }
    const body = handler.validate(request);
    if (body.isErr) return Result.err(body.error);
    const signal = options.signal ?? new AbortController().signal;
    const reply = await handler.handle(this.nodeId, body.value, signal);
    if (this.lossy.has(node)) return Result.err(createFailure(ResultCode.PeerLost, node));
    return reply as Result<PeerCalls[K]['reply'], Failure>;
  }

  handle<K extends PeerCallName>(
    name: K,
    validate: BodyValidator<PeerCalls[K]['request']>,
    handler: PeerCallHandler<K>,
  ): void {
    const own = this.fleet.handlers.get(this.nodeId) ?? new Map<string, AnyHandler>();
    this.fleet.handlers.set(this.nodeId, own);
    own.set(name, { validate, handle: handler as AnyHandler['handle'] });
  }

  setAddress(): void {}
}

interface ClaimRecord {
  readonly fingerprint: string;
  state: 'running' | 'finished';
  answer?: HttpAnswer;
}

/** Claim service of one fleet, without replicas. */
export class FakeClaimService implements ClaimService {
  private readonly records = new Map<string, ClaimRecord>();
  private readonly charges = new Map<string, number>();
  /** Refuses all claims while true, as if no majority replied. */
  unavailable = false;
  /** Time after a grant during which dispatch is allowed, in milliseconds. */
  notAfterMs = 5_000;

  constructor(private readonly clock: Clock) {}

  claim(request: ClaimRequest): Promise<ClaimDecision> {
    return Promise.resolve(this.decide(request));
  }

  release(request: ClaimRequest): void {
    this.records.delete(request.key);
  }

  finish(request: ClaimRequest, answer: HttpAnswer | undefined): void {
    const record = this.records.get(request.key);
    if (record === undefined) return;
    record.state = 'finished';
    if (answer !== undefined) record.answer = answer;
  }

  async charge(charge: AttemptCharge): Promise<Result<number, Failure>> {
    const granted = await this.chargeReturnable(charge);
    return granted.map(({ attempts }) => attempts);
  }

  chargeReturnable({
    requestId,
    wanted,
    bound,
  }: AttemptCharge): Promise<Result<ChargeGrant, Failure>> {
    const used = this.charges.get(requestId) ?? 0;
    const attempts = Math.min(wanted, bound - used);
    this.charges.set(requestId, used + attempts);
    if (attempts < 1) {
      return Promise.resolve(Result.err(createFailure(ResultCode.AttemptsExhausted, 'charged')));
    }
    const giveBack = (unused: number): void => {
      this.charges.set(requestId, (this.charges.get(requestId) ?? 0) - unused);
    };
    return Promise.resolve(Result.ok({ attempts, giveBack }));
  }

  private decide(request: ClaimRequest): ClaimDecision {
    if (this.unavailable) {
      return { type: 'refused', failure: createFailure(ResultCode.ClaimUnavailable, 'test') };
    }
    const record = this.records.get(request.key);
    if (record === undefined) {
      this.records.set(request.key, { fingerprint: request.fingerprint, state: 'running' });
      return { type: 'granted', notAfter: this.clock.now() + this.notAfterMs };
    }
    if (record.fingerprint !== request.fingerprint) {
      return { type: 'refused', failure: createFailure(ResultCode.IdempotencyKeyReused, 'test') };
    }
    if (record.state === 'running') return { type: 'in-progress' };
    const { answer } = record;
    return answer === undefined ? { type: 'finished' } : { type: 'finished', answer };
  }
}
