/** Peer plug-in: binds `Token.PeerNetwork`, the links to the other nodes. */
import { unauthenticatedPeerLimit } from '../config/client-limits.js';
import { combineHashes, hash32 } from '../core/hash.js';
import { createRandom } from '../core/random.js';
import { registerPlugin, StartOrder } from '../kernel/plugin.js';
import { Token } from '../kernel/token.js';
import { TcpPeerNetwork } from './tcp-peer-network.js';

registerPlugin({
  name: 'peer',
  order: StartOrder.Peer,
  bind(container) {
    container.bind(Token.PeerNetwork).toDynamicValue((context) => {
      const settings = context.get(Token.Settings);
      const clock = context.get(Token.Clock);
      const { maxFrameBytes, maxInFlightPerLink, maxMailboxLength, maxBufferedBytes } =
        settings.limits;
      return new TcpPeerNetwork({
        node: settings.node.id,
        address: settings.listen.peer,
        sharedKey: settings.peers.sharedKey,
        previousSharedKeys: settings.peers.previousSharedKeys,
        tls: settings.peers.tls,
        limits: {
          maxFrameBytes,
          maxInFlight: maxInFlightPerLink,
          maxMailboxLength,
          maxWriteBacklogBytes: Math.max(maxBufferedBytes, maxFrameBytes),
        },
        maxUnauthenticated: unauthenticatedPeerLimit(settings),
        clock,
        log: context.get(Token.EventLog),
        traffic: context.get(Token.TrafficMeter),
        random: createRandom(combineHashes(hash32(settings.node.id), clock.wallNow())),
      });
    });
  },
  async start(container) {
    const network = container.get(Token.PeerNetwork) as TcpPeerNetwork;
    await container.get(Token.PortBinder).bind('peers', () => network.listen());
  },
  async drain(container) {
    await (container.get(Token.PeerNetwork) as TcpPeerNetwork).retire();
  },
  async stop(container) {
    await (container.get(Token.PeerNetwork) as TcpPeerNetwork).close();
  },
});
