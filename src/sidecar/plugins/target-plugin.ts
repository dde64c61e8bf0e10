/** Plug-in for the local target: its registration and the gateway to it. */
import type { ResolutionContext } from 'inversify';
import '../../core/policies/adaptive.js';
import { createRandom } from '../../core/random.js';
import { isLargeFleet } from '../../core/fleet-size.js';
import { findOverloadPolicy } from '../../core/overload-policy-registry.js';
import { registerPlugin } from '../../kernel/plugin.js';
import { Token } from '../../kernel/token.js';
import { splitAddress } from '../../core/host-and-port.js';
import { isSharedAdmissionOn } from '../admission/shared-admission-mode.js';
import { keyOfNode, type NodeRecord } from '../directory/node-record.js';
import { RecordPublisher } from '../directory/record-publisher.js';
import { createRegistrationServer } from '../directory/registration-server.js';
import { TargetLifecycle } from '../directory/target-lifecycle.js';
import { TargetRegistration, type RegisteredTarget } from '../directory/target-registration.js';
import { createMeteredPolicy } from '../admission/metered-policy.js';
import { ForwardedFields } from '../forwarded-fields.js';
import { seedOf } from '../seed.js';
import { switchStatedLoad } from '../target/stated-load-switch.js';
import { TargetGateway } from '../target/target-gateway.js';
import { createTargetIntake } from './answer-intakes.js';
import { createServicePortGuard } from './service-port-guard.js';
import { SidecarOrder, SidecarToken } from './tokens.js';

const POLICY = 'adaptive';

registerPlugin(
  {
    name: 'target',
    order: SidecarOrder.Target,
    bind: (container) => {
      container.bind(SidecarToken.Registration).toDynamicValue(({ get }) => {
        const { target } = get(SidecarToken.Settings);
        return new TargetRegistration(target.service, target.address);
      });
      container
        .bind(SidecarToken.ForwardedFields)
        .toDynamicValue(({ get }) => new ForwardedFields(get(SidecarToken.Adapter).fields));
      container.bind(SidecarToken.Publisher).toDynamicValue(({ get }) => {
        const { node } = get(SidecarToken.Settings);
        const [store, clock, log] = [
          get(SidecarToken.Store),
          get(Token.Clock),
          get(Token.EventLog),
        ];
        const eras = get(SidecarToken.StoreEras);
        const random = createRandom(seedOf(`${node.id} record`));
        return new RecordPublisher({ node: node.id, store, eras, clock, log, random });
      });
      container.bind(SidecarToken.Gateway).toDynamicValue(createGateway);
      container.bind(SidecarToken.TargetLifecycle).toDynamicValue(createTargetLifecycle);
      container.bind(SidecarToken.RegistrationServer).toDynamicValue((context) => {
        const { get } = context;
        const lifecycle = get(SidecarToken.TargetLifecycle);
        const adapter = get(SidecarToken.Adapter);
        return createRegistrationServer(
          adapter,
          createServicePortGuard(context, 'registration'),
          (message) => lifecycle.onReport(message),
        );
      });
    },
    start: async (container) => {
      const { listen } = container.get(SidecarToken.Settings);
      const { host, port } = splitAddress(listen.registration);
      const server = container.get(SidecarToken.RegistrationServer);
      await container.get(Token.PortBinder).bind('registration', () => server.listen(host, port));
      container.get(SidecarToken.Publisher).start();
      void container.get(SidecarToken.TargetLifecycle).restore();
    },
    stop: async (container) => {
      await container.get(SidecarToken.RegistrationServer).close();
      container.get(SidecarToken.Publisher).close();
    },
  },
  'sidecar',
);

function createGateway(context: ResolutionContext): TargetGateway {
  const { get } = context;
  const { target, node, loadControl } = get(SidecarToken.Settings);
  const { parseStatements } = get(SidecarToken.Adapter);
  const policy = findOverloadPolicy(POLICY);
  if (policy === undefined) throw new Error(`overload policy ${POLICY} is not registered`);
  return new TargetGateway({
    service: target.service,
    address: target.address,
    fields: get(SidecarToken.Adapter).fields,
    forwardedFields: get(SidecarToken.ForwardedFields),
    policy: createMeteredPolicy(policy, get(SidecarToken.GateMeter), () => {
      get(SidecarToken.CapacityReporter).start();
    }),
    clock: get(Token.Clock),
    answers: createTargetIntake(context),
    log: get(Token.EventLog),
    seed: seedOf(`${node.id} gate`),
    quarantine: get(SidecarToken.Quarantine),
    recheckAuthorization: (authorization, validForMs) =>
      get(SidecarToken.Authorizer).recheck(authorization, validForMs),
    onIdentityMismatch: (targetId) => {
      get(SidecarToken.TargetLifecycle).onIdentityMismatch(targetId);
    },
    objectiveQueue: loadControl.objectiveQueue,
    parseStatements: switchStatedLoad(loadControl.statedLoad, parseStatements, () =>
      isLargeFleet(get(SidecarToken.Directory).size),
    ),
    onLeaving: (incarnation) => {
      get(SidecarToken.TargetLifecycle).onTargetLeft(incarnation);
    },
    sharesAdmission: () => {
      const { sharedAdmission } = get(SidecarToken.CurrentSettings).current.loadControl;
      return isSharedAdmissionOn(sharedAdmission, get(SidecarToken.Directory).size);
    },
  });
}

function createTargetLifecycle({ get }: ResolutionContext): TargetLifecycle {
  const gateway = get(SidecarToken.Gateway);
  const settings = get(SidecarToken.Settings);
  const { service } = settings.target;
  const registration = get(SidecarToken.Registration);
  const { host, ports, advertised = `${host}:${ports[0]}` } = settings.listen;
  const record = (): NodeRecord => {
    const { current } = registration;
    const startedAt = current?.startedAt;
    return {
      node: settings.node.id,
      address: advertised,
      zone: settings.node.zone,
      region: settings.node.region,
      service,
      targetId: current?.id ?? '',
      ...(startedAt === undefined ? {} : { targetStartedAt: startedAt }),
      target: current?.state ?? 'unknown',
      ...(current === undefined ? {} : { targetSlots: current.slots }),
    };
  };
  return new TargetLifecycle({
    registration,
    publisher: get(SidecarToken.Publisher),
    clock: get(Token.Clock),
    log: get(Token.EventLog),
    record,
    readPrevious: async () => {
      const items = await get(SidecarToken.DirectoryWatch).firstListing;
      return items.find(({ key }) => key === keyOfNode(settings.node.id));
    },
    probe: async (timeoutMs) => {
      const path = get(SidecarToken.Rules).table?.rules.services.get(service)?.healthPath;
      return path === undefined ? undefined : await gateway.probe(path, timeoutMs);
    },
    waitForPeerReports: () => get(SidecarToken.Directory).waitForPeerReports(),
    onChanged: (target: RegisteredTarget | undefined) => {
      gateway.setTarget(target);
      get(SidecarToken.LinkServer).announceStatus();
      get(SidecarToken.Routers).refresh(service);
    },
  });
}
