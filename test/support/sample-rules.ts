/** Small valid rules documents for tests. */

/** Members of the document that a test can set. */
export interface SampleRulesOptions {
  readonly tenant: string;
  readonly host?: string;
  readonly target?: string;
  /** Makes documents differ. */
  readonly slots?: number;
}

/** JSON text of a rules document with one service, one target and three kinds. */
export function createSampleRules(options: SampleRulesOptions): string {
  const { tenant, host = `${tenant}.test`, target = `${tenant}-1`, slots = 4 } = options;
  const common = { criticality: 'normal', deadlineMs: 100, attempts: 3, idempotent: true };
  const kinds = [
    { name: 'any', match: { pathPrefix: '/' }, ...common },
    { name: 'step', match: { pathPrefix: '/steps/' }, ...common },
    { name: 'step-write', match: { pathPrefix: '/steps/', method: 'POST' }, ...common },
  ];
  const targets = [{ id: target, zone: 'zone-a', address: '127.0.0.1:9001' }];
  const service = { name: 'guide', hosts: [host], slots, connections: 10, targets, kinds };
  return JSON.stringify({ apiVersion: 'sillshore/v1', tenant, services: [service] });
}
