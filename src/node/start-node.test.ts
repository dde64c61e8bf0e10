/** Two complete nodes over loopback with the platform stand-in, operated by CLI commands. */
import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, test } from 'node:test';
import { AdminServerToken } from '../admin/admin-plugin.js';
import { createRulesDocument, TEST_TOKEN } from '../../test/support/test-admin.js';
import { runCaptured, type CommandOutcome } from '../../test/support/command-line.js';
import { ExitCode } from '../cli/exit-code.js';
import { validateSettings, type Settings } from '../config/settings.js';
import { silentEventLog } from '../kernel/event.js';
import type { Kernel } from '../kernel/kernel.js';
import { listPlugins } from '../kernel/plugin.js';
import { startPlatformStandIn } from '../stand-ins/platform/platform-stand-in.js';
import type { PlatformStandIn } from '../stand-ins/platform/platform-stand-in.js';
import { findFreePorts } from '../trials/free-ports.js';
import { startNode } from './start-node.js';

const TEST_TIMEOUT_MS = 30_000;
const WAIT_MS = '8000';

let platform: PlatformStandIn;
let nodes: Kernel[];
let rules: string;
let directory: string;

function createSettings(id: string, zone: string, ports: readonly number[]): Settings {
  const [entry = 0, admin = 0, peer = 0, seed = 0] = ports;
  const url = `http://127.0.0.1:${platform.port}`;
  const settings = validateSettings({
    node: { id, zone, region: 'recife' },
    listen: {
      entry: `127.0.0.1:${entry}`,
      admin: `127.0.0.1:${admin}`,
      peer: `127.0.0.1:${peer}`,
    },
    platform: { keyValue: [url], machines: `${url}/machines`, timeoutMs: 500 },
    peers: { sharedKey: '0123456789abcdef', seeds: [`127.0.0.1:${seed}`] },
    admin: { token: TEST_TOKEN },
  });
  return settings.unwrapOrElse((failure) => assert.fail(JSON.stringify(failure)));
}

before(async () => {
  directory = mkdtempSync(join(tmpdir(), 'sillshore-'));
  rules = join(directory, 'rules.json');
  writeFileSync(rules, createRulesDocument());
  platform = await startPlatformStandIn({ host: '127.0.0.1', port: 0, seed: 1 });
  const [a = 0, b = 0, c = 0, d = 0, e = 0, f = 0] = await findFreePorts(6);
  const options = { log: silentEventLog };
  nodes = [
    await startNode(createSettings('a1', 'zone-a', [a, b, c, f]), options),
    await startNode(createSettings('b1', 'zone-b', [d, e, f, c]), options),
  ];
});
after(async () => {
  await Promise.all(nodes.map((node) => node.stop()));
  await platform.close();
  rmSync(directory, { recursive: true });
});

function operate(...argv: string[]): Promise<CommandOutcome> {
  const { port } = nodes[0]!.container.get(AdminServerToken);
  const env = { SILLSHORE_ADMIN: `127.0.0.1:${port}`, SILLSHORE_TOKEN: TEST_TOKEN };
  return runCaptured(argv, env);
}

/** Polls the status until the condition holds. */
async function pollStatusUntil(isReached: (status: Status) => boolean): Promise<Status> {
  for (;;) {
    const status = JSON.parse((await operate('status', '--json')).stdout) as Status;
    if (isReached(status)) return status;
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
}

interface Status {
  readonly node: { readonly ready: boolean };
  readonly members: readonly {
    readonly id: string;
    readonly state: string;
    readonly ready: boolean;
  }[];
  readonly targets: readonly {
    readonly id: string;
    readonly node: string;
    readonly state: string;
  }[];
}

test('a node has every plug-in', () => {
  const names = listPlugins().map(({ name }) => name);
  assert.deepEqual(names, [
    'observability',
    'peer',
    'membership',
    'platform',
    'config',
    'claims',
    'target',
    'entry',
    'admin',
  ]);
});

test(
  'rules are applied, seen in force in each zone, targets and nodes drained',
  { timeout: TEST_TIMEOUT_MS },
  async () => {
    await pollStatusUntil(({ members }) => members.length === 2);
    const applied = await operate('config', 'apply', rules, '--expect', '0', '--wait-ms', WAIT_MS);
    assert.equal(applied.exitCode, ExitCode.Ok, applied.stderr);
    await pollStatusUntil(({ members }) => members.every(({ ready }) => ready));
    const again = await operate('config', 'apply', rules, '--expect', '0');
    assert.equal(again.exitCode, ExitCode.Conflict);
    const inForce = await operate('config', 'in-force', '--tenant', 'roteiro-vivo');
    assert.match(inForce.stdout, /\nzone-a +1 +1 .*\nzone-b +1 +1 /);
    const { targets } = await pollStatusUntil(({ targets: placed }) => placed[1]?.node === 'b1');
    assert.deepEqual(
      targets.map(({ node }) => node),
      ['a1', 'b1'],
    );

    assert.equal((await operate('drain', 'target', 'guide-2')).exitCode, ExitCode.Ok);
    await pollStatusUntil((status) => status.targets[1]?.state === 'leaving');
    const resumed = await operate('drain', 'target', 'guide-2', '--resume');
    assert.equal(resumed.exitCode, ExitCode.Ok);
    await pollStatusUntil((status) => status.targets[1]?.state === 'serving');

    assert.equal((await operate('drain', 'node', 'b1')).exitCode, ExitCode.Ok);
    await nodes[1]!.stopRequested;
    assert.deepEqual([nodes[0]!.draining, nodes[1]!.draining], [false, true]);
    await nodes[1]!.drainAndStop();
    const { node } = await pollStatusUntil(({ members }) => members.length === 1);
    assert.equal(node.ready, true);
  },
);
