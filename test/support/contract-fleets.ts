/** Deployments for the contract tests of the entry side and the target side. */
import { DataPathFleet, type DataPathNode } from './data-path-node.js';
import { startScriptedBackend, type ScriptedBackend } from './scripted-backend.js';

/** Deadline of the request kinds in {@link startBackendContract}, in milliseconds. */
export const BACKEND_DEADLINE_MS = 250;
/** Largest answer in {@link startBackendContract}. */
export const MAX_ANSWER_BYTES = 1_000;
/** Time limit for reading a request in {@link startEntryContract}, in milliseconds. */
export const READ_TIMEOUT_MS = 150;
/** Largest request body in {@link startEntryContract}. */
export const MAX_REQUEST_BYTES = 1_000;

/** One target, the node that fronts it (`near`) and another node (`far`). */
export interface BackendContract {
  readonly backend: ScriptedBackend;
  readonly near: DataPathNode;
  readonly far: DataPathNode;
  stop(): Promise<void>;
}

/** Starts one target with 2 slots; paths under /retried have 3 attempts, all others 1. */
export async function startBackendContract(): Promise<BackendContract> {
  const fleet = new DataPathFleet();
  const backend = await startScriptedBackend();
  const kind = {
    criticality: 'normal',
    idempotent: true,
    deadlineMs: BACKEND_DEADLINE_MS,
    maxAnswerBytes: MAX_ANSWER_BYTES,
  };
  fleet.apply({
    apiVersion: 'sillshore/v1',
    tenant: 'test',
    services: [
      {
        name: 'guide',
        hosts: ['guide'],
        slots: 2,
        connections: 2,
        targets: [{ id: 'guide-1', zone: 'zone-a', address: `127.0.0.1:${backend.port}` }],
        kinds: [
          { ...kind, name: 'once', match: { pathPrefix: '/' }, attempts: 1 },
          { ...kind, name: 'retried', match: { pathPrefix: '/retried' }, attempts: 3 },
        ],
      },
    ],
  });
  const near = await fleet.start('node-a', ['guide-1']);
  const far = await fleet.start('node-b');
  return { backend, near, far, stop: () => stopAll(fleet, backend) };
}

/** One node with a service for callers and an internal service, both on one back end. */
export interface EntryContract {
  readonly fleet: DataPathFleet;
  readonly backend: ScriptedBackend;
  readonly node: DataPathNode;
  stop(): Promise<void>;
}

/** Starts the node; /steps is idempotent, /promises is not, and service `ledger` is internal. */
export async function startEntryContract(): Promise<EntryContract> {
  const fleet = new DataPathFleet();
  const backend = await startScriptedBackend();
  const kind = { criticality: 'normal', attempts: 2, deadlineMs: 500 };
  const limited = { ...kind, maxRequestBytes: MAX_REQUEST_BYTES, idempotent: true };
  const target = { zone: 'zone-a', address: `127.0.0.1:${backend.port}` };
  const service = { slots: 4, connections: 4 };
  fleet.apply({
    apiVersion: 'sillshore/v1',
    tenant: 'test',
    services: [
      {
        ...service,
        name: 'guide',
        hosts: ['guide'],
        targets: [{ ...target, id: 'guide-1' }],
        kinds: [
          { ...limited, name: 'read', match: { pathPrefix: '/steps' } },
          { ...kind, name: 'promise', match: { pathPrefix: '/promises' }, idempotent: false },
          { ...limited, name: 'part', match: { pathPrefix: '/parts' }, entry: 'internal' },
        ],
      },
      {
        ...service,
        name: 'ledger',
        hosts: ['ledger'],
        entry: 'internal',
        targets: [{ ...target, id: 'ledger-1' }],
        kinds: [{ ...kind, name: 'write', match: { pathPrefix: '/' }, idempotent: true }],
      },
    ],
  });
  const limits = { requestReadTimeoutMs: READ_TIMEOUT_MS };
  const node = await fleet.start('node-a', ['guide-1', 'ledger-1'], { limits });
  return { fleet, backend, node, stop: () => stopAll(fleet, backend) };
}

async function stopAll(fleet: DataPathFleet, backend: ScriptedBackend): Promise<void> {
  await fleet.stop();
  await backend.close();
}
