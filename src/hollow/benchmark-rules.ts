/** Rules documents of the fleet benchmark. */

/** Rules of about the size of an example deployment; `change` makes each revision differ. */
export function createBenchmarkRules(change: number): string {
  const services = Array.from({ length: 4 }, (_, index) => ({
    name: `service-${index}`,
    hosts: [`service-${index}.benchmark.internal`],
    slots: 10,
    connections: 100,
    targets: [1, 2, 3].map((target) => ({
      id: `service-${index}-${target}`,
      zone: `zone-${target}`,
      address: `127.0.0.1:${10_000 + index * 10 + target}`,
    })),
    kinds: [
      {
        name: 'read',
        match: { method: 'GET', pathPrefix: '/' },
        criticality: 'normal',
        deadlineMs: 1_000 + change,
        attempts: 4,
        idempotent: true,
      },
    ],
  }));
  return JSON.stringify({ apiVersion: 'sillshore/v1', tenant: 'benchmark', services });
}
