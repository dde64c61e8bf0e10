/** Checks that an operator's token has the role and the tenants that a method requires. */
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
 * Tenants that a token must cover. `tenant`: the one that the request names, or all when it names
 * none. `target`: the one whose rules in force contain the target. `all`: every tenant. `any`: no
 * particular one; the method returns only the data of the token's tenants.
 */
type Scope = 'tenant' | 'target' | 'all' | 'any';

interface Requirement {
  readonly role: OperatorGrant['role'];
  readonly scope: Scope;
}

/** The type makes a new method without an entry here a compile error. */
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

/** Longest valid name, in characters; longer text from a request is cut in messages. */
const MAX_NAME_LENGTH = 63;

/** Members of a request that name the tenant or target it concerns. */
interface Subject {
  readonly tenant?: string;
  readonly target?: string;
}

const NO_GRANT: OperatorGrant = { tenants: [], role: 'reader' };
const GRANT = createContextKey<OperatorGrant>(NO_GRANT);

/** Passes a token's grant to the interceptor and the methods. */
export function createOperatorContext(grant: OperatorGrant | undefined): ContextValues {
  return createContextValues().set(GRANT, grant ?? NO_GRANT);
}

/** Returns the grant of the request's token. */
export function grantOf(values: ContextValues): OperatorGrant {
  return values.get(GRANT);
}

/** Whether a grant covers a tenant. */
export function includesTenant({ tenants }: OperatorGrant, tenant: string): boolean {
  return tenants === 'all' || tenants.includes(tenant);
}

/** Rejects requests that their token does not allow, with `OperatorForbidden`. */
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
  // An unknown target gets the same message, so that other tenants' targets stay undisclosed.
  return forbid(`no target ${quote(target)} in the rules in force of the token's tenants`);
}

/** Quotes the start of a text from a request, for a message. */
function quote(text: string): string {
  return JSON.stringify(text.slice(0, MAX_NAME_LENGTH));
}

function forbid(detail: string): Failure {
  return createFailure(ResultCode.OperatorForbidden, detail);
}
