/** The generated client of the operators' interface over HTTP/1.1. */
import { createClient, type Client, type Interceptor } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import { AdminService } from '../gen/sillshore/admin/v1/admin_pb.js';

/** Client of the operators' interface. */
export type AdminClient = Client<typeof AdminService>;

/** Where a node's operators' interface is, and how to be let in. */
export interface AdminEndpoint {
  /** `http://host:port`; the scheme may be absent. */
  readonly url: string;
  readonly token: string;
  /** Time limit of one call in milliseconds; streams have none. */
  readonly timeoutMs: number;
}

/** Creates a client; the first call connects. */
export function createAdminClient({ url, token, timeoutMs }: AdminEndpoint): AdminClient {
  const authorize: Interceptor = (next) => (request) => {
    request.header.set('authorization', `Bearer ${token}`);
    return next(request);
  };
  const transport = createConnectTransport({
    baseUrl: /^https?:/.test(url) ? url : `http://${url}`,
    httpVersion: '1.1',
    interceptors: [authorize],
    defaultTimeoutMs: timeoutMs,
  });
  return createClient(AdminService, transport);
}
