import { createClient, type Client, type Interceptor } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import { AdminService } from '../gen/sillshore/admin/v1/admin_pb.js';

/** Generated client of the admin API. */
export type AdminClient = Client<typeof AdminService>;

/** Address of a node's admin API and the token for it. */
export interface AdminEndpoint {
  /** `http://host:port` or `https://host:port`; without a scheme http is used. */
  readonly url: string;
  readonly token: string;
  /** Time limit of one call in milliseconds; streams have none. */
  readonly timeoutMs: number;
}

/** Creates a client over HTTP/1.1, which connects on its first call. */
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
