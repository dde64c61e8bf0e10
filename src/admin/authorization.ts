/** What each method asks of an operator's token, and the check of it. */
import { createContextKey, createContextValues } from '@connectrpc/connect';
import type { ContextValues, Interceptor } from '@connectrpc/connect';
import { createFailure, type Failure } from '../core/failure.js';
import { ResultCode } from '../core/result-code.js';
import { AdminService } from '../gen/sillshore/admin/v1/admin_pb.js';
import { Event } from '../kernel/event.js';
import type { AdminNode } from './admin-node.js';
import type { OperatorGrant } from './authentication.js';
import { toConnectError } from './connect-error.js';

/**
 * Tenants that a token must stand for: `tenant` the one that the request names (all when it
 * names none), `target` the one whose rules in force hold the target, `all` every one, `any`
 * none in particular: the method shows each token its own part.
 */
type Scope = 'tenant' | 'target' | 'all' | 'any';

interface Requirement {
  readonly role: OperatorGrant['role'];
  readonly scope: Scope;
}

/** A new method does not compile before it has its row here. */
const REQUIREMENTS: Readonly<Record<keyof typeof AdminService.method, Requirement>> = {
  validateRules: { role: 'reader', scope: 'tenant' },
  applyRules: { role: 'operator', scope: 'tenant' },
  getRules: { role: 'reader', scope: 'tenant' },
  listRevisions: { role: 'reader', scope: 'tenant' },
  watchRevisions: { role: 'reader', scope: 'tenant' },
  getInForce: { role: 'reader', scope: 'tenant' },
  getStatus: { role: 'reader', scope: 'any' },
  drainTarget: { role: 'operator', scope: 'target' },
  drainNode: { role: 'operator', scope: 'all' },
};

/** Names are no longer than this; more of a request's text is not repeated. */
const MAX_NAME_LENGTH = 63;

/** The members of a request that name what it is about. */
interface Subject {
  readonly tenant?: string;
  readonly target?: string;
}

const NO_GRANT: OperatorGrant = { tenants: [], role: 'reader' };
const GRANT = createContextKey<OperatorGrant>(NO_GRANT);

/** Carries a token's grant to the interceptor and the methods. */
export function createOperatorContext(grant: OperatorGrant | undefined): ContextValues {
  return createContextValues().set(GRANT, grant ?? NO_GRANT);
}

/** The grant of the token that a request came with. */
export function grantOf(values: ContextValues): OperatorGrant {
  return values.get(GRANT);
}

/** Whether a grant stands for a tenant. */
export function includesTenant({ tenants }: OperatorGrant, tenant: string): boolean {
  return tenants === 'all' || tenants.includes(tenant);
}

/** Refuses what the request's token does not allow, with `OperatorForbidden`. */
export function checkPermissions(node: Pick<AdminNode, 'configStore' | 'log'>): Interceptor {
  return (next) => (request) => {
    const method = request.method.localName as keyof typeof AdminService.method;
    const check = (message: Subject): void => {
      const failure = authorize(node, grantOf(request.contextValues), method, message);
      if (failure === undefined) return;
      node.log.emit(Event.OperatorRejected, {
        method: request.method.name,
        detail: failure.detail,
      });
      throw toConnectError(failure);
    };
    if (request.stream) {
      return next({ ...request, message: checkEach(request.message, check) });
    }
    check(request.message as Subject);
    return next(request);
  };
}

async function* checkEach<T>(
  messages: AsyncIterable<T>,
  check: (message: Subject) => void,
): AsyncGenerator<T> {
  for await (const message of messages) {
    check(message as Subject);
    yield message;
  }
}

function authorize(
  { configStore }: Pick<AdminNode, 'configStore'>,
  grant: OperatorGrant,
  method: keyof typeof AdminService.method,
  { tenant = '', target = '' }: Subject,
): Failure | undefined {
  const { role, scope } = REQUIREMENTS[method];
  if (role === 'operator' && grant.role !== 'operator') {
    return forbid('the token is for reading only');
  }
  if (grant.tenants === 'all' || scope === 'any') return undefined;
  if (scope === 'tenant' && includesTenant(grant, tenant)) return undefined;
  if (scope === 'tenant') return forbid(`the token is not for tenant ${quote(tenant)}`);
  if (scope === 'all') return forbid('the token is not for all tenants');
  const owner = configStore?.findTarget(target)?.tenant;
  if (owner !== undefined && includesTenant(grant, owner)) return undefined;
  // The same answer for no such target, so that other tenants' targets cannot be found out.
  return forbid(`no target ${quote(target)} in the rules in force of the token's tenants`);
}

/** The start of a text that a request holds, for a message. */
function quote(text: string): string {
  return JSON.stringify(text.slice(0, MAX_NAME_LENGTH));
}

function forbid(detail: string): Failure {
  return createFailure(ResultCode.OperatorForbidden, detail);
}
