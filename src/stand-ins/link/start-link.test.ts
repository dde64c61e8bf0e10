import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { test } from 'node:test';
import { splitAddress } from '../../core/host-and-port.js';
import { startLink, type Link } from './start-link.js';

async function withLink(use: (link: Link, socket: Socket) => Promise<void>): Promise<void> {
  const echo = createServer((socket) => socket.pipe(socket).on('error', () => socket.destroy()));
  echo.listen(0, '127.0.0.1');
  await once(echo, 'listening');
  const link = await startLink('127.0.0.1:0', `127.0.0.1:${(echo.address() as AddressInfo).port}`);
  const socket = connect(splitAddress(link.address));
  await once(socket, 'connect');
  try {
    await use(link, socket);
  } finally {
    socket.destroy();
    await link.stop();
    echo.close();
  }
}

test('bytes are relayed in both directions', async () => {
  await withLink(async (_, socket) => {
    socket.write('ping');
    assert.equal(String((await once(socket, 'data'))[0]), 'ping');
  });
});

test('a cut closes connections and refuses new ones', async () => {
  await withLink(async (link, socket) => {
    const closed = once(socket, 'close');
    link.control({ cut: true });
    await closed;
    const second = connect(splitAddress(link.address));
    second.on('error', () => undefined);
    await once(second, 'close');
  });
});

test('a silent direction loses bytes and keeps the connection open', async () => {
  await withLink(async (link, socket) => {
    socket.write('ping');
    await once(socket, 'data');
    link.control({ silentForward: true });
    socket.write('lost');
    while (link.lostBytes() < 'lost'.length) await new Promise((done) => setImmediate(done));
    link.control({ silentForward: false });
    socket.write('kept');
    assert.equal(String((await once(socket, 'data'))[0]), 'kept');
  });
});

test('bytes keep their order when a delay ends', async () => {
  await withLink(async (link, socket) => {
    link.control({ delayMs: 100 });
    socket.write('first ');
    await new Promise((resolve) => setTimeout(resolve, 30));
    link.control({ delayMs: 0 });
    socket.write('second');
    let received = '';
    while (received.length < 'first second'.length) {
      received += String((await once(socket, 'data'))[0]);
    }
    assert.equal(received, 'first second');
  });
});

test('open connections stay silent for good while new ones work', async () => {
  await withLink(async (link, socket) => {
    socket.write('ping');
    await once(socket, 'data');
    link.silenceOpenConnections();
    socket.on('data', () => assert.fail('the connection is silent'));
    socket.on('close', () => assert.fail('the connection stays open'));
    socket.write('lost');
    while (link.lostBytes() < 'lost'.length) await new Promise((done) => setImmediate(done));
    const second = connect(splitAddress(link.address));
    second.write('ping');
    assert.equal(String((await once(second, 'data'))[0]), 'ping');
    second.destroy();
    socket.removeAllListeners('close');
  });
});

test('a part of the open connections can be silenced', async () => {
  await withLink(async (link, socket) => {
    const second = connect(splitAddress(link.address));
    for (const each of [socket, second]) {
      each.write('ping');
      await once(each, 'data');
    }
    link.silenceOpenConnections(0.5);
    for (const each of [socket, second]) each.write('again');
    await Promise.race([once(socket, 'data'), once(second, 'data')]);
    assert.equal(link.lostBytes(), 'again'.length);
    second.destroy();
  });
});
