/**
 * Branded identifiers. A brand keeps one kind of id from being passed where
 * another is expected; at run time each is a plain string or number.
 */

/** A value of type `T` marked with the name of its kind. */
export type Branded<T, B extends string> = T & {readonly brand: B};

/** Name of a VM that runs the daemon. */
export type VmId = Branded<string, 'VmId'>;
/** Name of an availability zone. */
export type ZoneId = Branded<string, 'ZoneId'>;
/** Name of the whole system; daemons of different cells refuse each other. */
export type CellId = Branded<string, 'CellId'>;
/**
 * Identity of a voter or learner: its VM and the random id of its data folder.
 */
export type NodeId = Branded<string, 'NodeId'>;
/** Name of a profile. */
export type ProfileName = Branded<string, 'ProfileName'>;
/** Name of a service. */
export type ServiceName = Branded<string, 'ServiceName'>;
/** Name of a team that owns quota. */
export type TeamName = Branded<string, 'TeamName'>;
/** Name of a customer, who owns keys and pays for workflows. */
export type CustomerName = Branded<string, 'CustomerName'>;
/** SHA-256 digest of a customer's key, in base64url. */
export type KeyDigest = Branded<string, 'KeyDigest'>;
/** Id of an upstream instance, chosen by the upstream at its start. */
export type UpstreamId = Branded<string, 'UpstreamId'>;
/** Id of a worker, chosen by the worker at its start. */
export type WorkerId = Branded<string, 'WorkerId'>;
/** Id of an accepted job. */
export type JobId = Branded<string, 'JobId'>;
/** Id of one task of a job. */
export type TaskId = Branded<string, 'TaskId'>;
/** Id of one client request within the cell. */
export type RequestId = Branded<string, 'RequestId'>;
/** Number that grows with each change of a zone's leader. */
export type Epoch = Branded<number, 'Epoch'>;

/**
 * Brands a plain string as an id.
 * @param text - the id as it came from outside, already checked by a schema.
 */
export const asId = <T extends Branded<string, string>>(text: string): T =>
  text as T;

/**
 * Brands a number as an epoch.
 * @param value - a non-negative integer.
 */
export const asEpoch = (value: number): Epoch => value as Epoch;

/** Epoch before any leader of a zone was elected. */
export const NO_EPOCH = asEpoch(0);

/** Separates the VM from the id of the data folder within a `NodeId`. */
const NODE_ID_SEPARATOR = '~';

/**
 * Builds the identity of a data folder.
 * @param vm - the VM that owns the folder.
 * @param folderId - random text created when the folder was first opened.
 */
export const makeNodeId = (vm: VmId, folderId: string): NodeId =>
  asId<NodeId>(`${vm}${NODE_ID_SEPARATOR}${folderId}`);

/**
 * Finds the VM of a node identity.
 * @returns the VM part of the identity.
 */
export const vmOfNode = (node: NodeId): VmId =>
  asId<VmId>(node.split(NODE_ID_SEPARATOR)[0] ?? node);
