import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { readFileSync } from 'node:fs';
import { text } from 'node:stream/consumers';
import { test } from 'node:test';

test('SIGHUP does not end the program while it is being loaded', async () => {
  const module = new URL('./early-signals.js', import.meta.url).href;
  const script = `
    import '${module}';
    process.kill(process.pid, 'SIGHUP');
    setTimeout(() => console.log('alive'), 50);`;
  const child = spawn(process.execPath, ['--input-type=module', '-e', script]);
  const output = text(child.stdout);
  const [code] = (await once(child, 'close')) as [number | null];
  assert.equal((await output).trim(), 'alive');
  assert.equal(code, 0);
});

test('the sidecar program handles SIGHUP before it loads any other module', () => {
  const source = readFileSync('src/cli/sidecar-main.ts', 'utf8');
  const [first] = /^import .*$/m.exec(source) ?? [];
  assert.equal(first, "import './early-signals.js';");
});
