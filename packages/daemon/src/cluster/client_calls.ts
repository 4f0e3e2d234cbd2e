/** Creates what carries the calls of a node's clients to the VMs that answer them. */
import {GatewayTask} from '@primrosewick/coordination';
import type {LinkHello} from '@primrosewick/protocol';
import {
  systemClock,
  type LinkClient,
  type StallWatch,
} from '@primrosewick/transport';
import {ConfirmedReads} from './confirmed_reads.js';
import type {ClusterNodeOptions} from './node.js';
import {ReadLog} from './read_log.js';
import type {ReplicaReaders} from './replica_readers.js';
import {WorkflowRequestRouter} from './workflow_request_router.js';

/** Creates the gateway, which finds the leader; it logs when contact changes. */
export const makeGateway = (
  {settings, logger}: Pick<ClusterNodeOptions, 'settings' | 'logger'>,
  peers: LinkClient,
  hello: () => LinkHello,
): GatewayTask =>
  new GatewayTask({
    peers,
    clock: systemClock,
    seeds: settings.seeds,
    hello,
    zone: settings.zone,
    onContact: (hasContact, leader) =>
      logger.info(
        {change: hasContact ? 'leader_found' : 'leader_lost', leader},
        'contact with the leader changed',
      ),
  });

/** Creates the router of clients' requests; a VM without a disk has no readers. */
export const makeRequestRouter = (
  {logger, registry}: Pick<ClusterNodeOptions, 'logger' | 'registry'>,
  {
    gateway,
    peers,
    readers,
    stalls,
  }: {
    readonly gateway: GatewayTask;
    readonly peers: LinkClient;
    readonly readers: ReplicaReaders | null;
    readonly stalls: StallWatch;
  },
): WorkflowRequestRouter =>
  new WorkflowRequestRouter({
    gateway,
    peers,
    clock: systemClock,
    logger,
    reader: readers?.reader ?? null,
    confirmed: new ConfirmedReads({
      gateway,
      peers,
      clock: systemClock,
      own: readers?.confirmed ?? null,
    }),
    reads: new ReadLog(logger, registry),
    stalls,
  });
