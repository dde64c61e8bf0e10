/** Client of the admin API in plain JSON, without the generated client. */
import type { Settings } from '../config/settings.js';
import { requestJson } from './http-json.js';

/** The fields that are used here. The JSON encoding omits fields that are false, zero or empty. */
interface GetStatusResponse {
  readonly node?: { readonly id?: string; readonly ready?: boolean };
  readonly members?: readonly { readonly id: string; readonly state?: string }[];
}

interface GetInForceResponse {
  /** The JSON encoding writes 64-bit integers as strings. */
  readonly revision?: { readonly revision?: string };
  readonly nodes?: readonly { readonly node: string; readonly inForce?: boolean }[];
}

/** Client of one node's admin API. */
export class AdminClient {
  private readonly base: string;
  private readonly headers: Readonly<Record<string, string>>;

  constructor(settings: Settings) {
    this.base = `http://${settings.listen.admin}/sillshore.admin.v1.AdminService`;
    this.headers = { authorization: `Bearer ${settings.admin.token}` };
  }

  /** IDs of the members that this node considers alive. */
  async listMembers(): Promise<readonly string[]> {
    const status = await this.call<GetStatusResponse>('GetStatus', {});
    return (status.members ?? []).filter(({ state }) => state === 'alive').map(({ id }) => id);
  }

  async isReady(): Promise<boolean> {
    const status = await this.call<GetStatusResponse>('GetStatus', {});
    return status.node?.ready === true;
  }

  /** Nodes at which the newest revision known to this node is in force. */
  async nodesInForce(tenant: string): Promise<readonly string[]> {
    const response = await this.call<GetInForceResponse>('GetInForce', { tenant });
    return (response.nodes ?? []).filter(({ inForce }) => inForce === true).map(({ node }) => node);
  }

  /** The tenant's revision in force at this node; 0 when there is none. */
  async revisionInForce(tenant: string): Promise<number> {
    const response = await this.call<GetInForceResponse>('GetInForce', { tenant });
    return Number(response.revision?.revision ?? 0);
  }

  async applyRules(
    tenant: string,
    document: string,
    expectedRevision: number,
    operationId: string,
  ): Promise<void> {
    const message = { tenant, document, expectedRevision, operationId, author: 'test' };
    await this.call('ApplyRules', message);
  }

  async drainTarget(target: string): Promise<void> {
    await this.call('DrainTarget', { target });
  }

  private call<T>(method: string, message: unknown): Promise<T> {
    return requestJson<T>(`${this.base}/${method}`, message, this.headers);
  }
}
