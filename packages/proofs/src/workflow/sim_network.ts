/** Which simulated workers can be reached, and at which address. */
import type {WorkerId} from '@primrosewick/state';
import type {EventQueue} from '../world/event_queue.js';
import type {SimConnections} from './sim_connections.js';
import type {SimWorker} from './sim_worker.js';

/** Options of the network. */
export interface SimNetworkOptions {
  readonly queue: EventQueue;
  /** Each of them holds one address, through all its incarnations. */
  readonly workers: readonly SimWorker[];
  /**
   * Whether the machine of a worker that has ended refuses connections, and closes
   * those to its process; otherwise nothing comes from there.
   */
  readonly refusesWhenDown: boolean;
}

/** The network between the workers and all others. */
export class SimNetwork {
  private readonly cut = new Set<WorkerId>();
  /** Virtual time until which a worker is mute, in ms. */
  private readonly muteUntil = new Map<WorkerId, number>();
  /** Connections to workers, of each leader. */
  private readonly clients: SimConnections[] = [];

  constructor(private readonly options: SimNetworkOptions) {}

  /** Adds the connections of a leader. */
  addClient(connections: SimConnections): void {
    this.clients.push(connections);
  }

  /** The worker that holds an address, whether it is up or not. */
  listenerAt(address: string): SimWorker | undefined {
    return this.options.workers.find(worker => worker.address === address);
  }

  /** Cuts a worker off: what is sent from now on is lost. */
  cutOff({id}: SimWorker): void {
    this.cut.add(id);
  }

  /** Makes a worker mute: nothing goes in or out, not even what is on its way. */
  mute({id}: SimWorker, ms: number): void {
    this.muteUntil.set(id, this.options.queue.now + ms);
  }

  /** Makes the connections that there are go silent for good, to one worker or to all. */
  silenceConnections(worker?: SimWorker): void {
    for (const client of this.clients) client.mute(worker?.address);
  }

  /** Notes that the process of a worker has ended. */
  noteEnd(worker: SimWorker): void {
    for (const client of this.clients)
      if (this.refuses(worker)) client.closeAll(worker.address);
      else client.closeIdle(worker.address);
  }

  /** Whether a connection to a worker is refused now. */
  refuses(worker: SimWorker): boolean {
    const isByTask = worker.crashedByTask === worker.bornAt;
    const isInSight = this.options.refusesWhenDown || isByTask;
    return isInSight && !worker.isUp && !this.isSilent(worker);
  }

  /** Whether nothing goes in or out of a worker now. */
  isMute({id}: SimWorker): boolean {
    return (this.muteUntil.get(id) ?? 0) > this.options.queue.now;
  }

  /** Whether what is sent to or by a worker now is lost. */
  isSilent(worker: SimWorker): boolean {
    return this.cut.has(worker.id) || this.isMute(worker);
  }

  /** Ends all cuts and silence. */
  heal(): void {
    this.cut.clear();
    this.muteUntil.clear();
  }
}
