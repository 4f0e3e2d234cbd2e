/**
 * Replicated state of the cell: whatever operators and clients were promised
 * and must survive the loss of a minority of the VMs with disks.
 */
import type {ErrorBody} from '../errors/cell_error.js';
import type {JobSpec, TaskOutcome} from '../documents/job.js';
import type {Profile} from '../documents/profile.js';
import type {Service, ServiceState} from '../documents/service.js';
import type {
  Epoch,
  JobId,
  ServiceName,
  TaskId,
  TeamName,
  ZoneId,
} from '../ids/types.js';

/** Identifies a write so that a resend gets the first answer again. */
export interface WriteId {
  /** Operator or client that sent the write. */
  readonly author: string;
  /** Id chosen by the author, unique for that author. */
  readonly requestId: string;
  /** Wall time at which the author first sent the write, in ms since 1970. */
  readonly firstSentAt: number;
}

/** Writes of operators and clients. */
export type WriteCommand =
  | {
      readonly kind: 'put_profile';
      readonly profile: Profile;
      /** Revision that the author has seen; 0 to create the profile. */
      readonly baseRevision: number;
    }
  | {
      readonly kind: 'put_service';
      readonly service: Service;
      /** Revision that the author has seen; 0 to create the service. */
      readonly baseRevision: number;
    }
  | {
      readonly kind: 'set_service_state';
      readonly service: ServiceName;
      readonly state: ServiceState;
    }
  | {
      readonly kind: 'set_quota';
      readonly team: TeamName;
      readonly cpuMillis: number;
    }
  | {
      readonly kind: 'submit_job';
      readonly spec: JobSpec;
      readonly homeZone: ZoneId;
    }
  | {readonly kind: 'cancel_job'; readonly job: JobId};

/** End of one task, as its zone reports it. */
export interface TaskEnd {
  readonly task: TaskId;
  readonly attempt: number;
  readonly outcome: TaskOutcome;
}

/** Commands that daemons propose on their own. */
export type InternalCommand =
  | {
      /** Recorded before a task that must not run twice is started. */
      readonly kind: 'record_starts';
      readonly tasks: readonly TaskId[];
      /** Epoch of the zone's leader that will start them. */
      readonly epoch: Epoch;
    }
  | {readonly kind: 'finish_tasks'; readonly ends: readonly TaskEnd[]}
  | {
      /** Recorded before a request with an idempotency key is dispatched. */
      readonly kind: 'claim_key';
      readonly key: string;
      /** Digest of method, path and body. */
      readonly digest: string;
      /** Id of the request that makes the claim. */
      readonly claimant: string;
      /**
       * Wall time by which the claimant has settled the key, in ms since 1970.
       */
      readonly settleBy: number;
    }
  | {
      readonly kind: 'settle_key';
      readonly key: string;
      readonly claimant: string;
      readonly answer: KeyAnswer;
    };

/** Kept answer to a request with an idempotency key. */
export type KeyAnswer =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly contentType: string;
      readonly body: Uint8Array;
    }
  | {readonly kind: 'not_run'}
  | {readonly kind: 'unknown'};

/** One command of the cell log. */
export interface CellCommand {
  /** Wall time at the proposer, in ms since 1970. */
  readonly at: number;
  /** Present for writes of operators and clients. */
  readonly write?: WriteId;
  readonly body: WriteCommand | InternalCommand;
}

/** One accepted revision of a profile. */
export interface ProfileRevision {
  readonly revision: number;
  readonly profile: Profile;
  readonly author: string;
  /** Wall time of acceptance at the proposer, in ms since 1970. */
  readonly at: number;
  /** Log index of acceptance. */
  readonly index: number;
}

/** A service and its state. */
export interface ServiceRecord {
  readonly revision: number;
  readonly service: Service;
  readonly state: ServiceState;
}

/** Record of the first start of a task that runs at most once. */
export interface TaskStart {
  readonly task: TaskId;
  /** Epoch of the leader that may start it; no other may. */
  readonly epoch: Epoch;
}

/** State of a job. */
export type JobState = 'open' | 'cancelling' | 'done';

/** An accepted job. */
export interface JobRecord {
  readonly id: JobId;
  readonly spec: JobSpec;
  readonly homeZone: ZoneId;
  readonly state: JobState;
  /** Profile as it stood when the job was accepted. */
  readonly profile: Profile;
  /** Wall time of acceptance, in ms since 1970. */
  readonly acceptedAt: number;
  /** Log index of acceptance. */
  readonly acceptedIndex: number;
  /** Tasks whose start was recorded, for work that runs at most once. */
  readonly started: readonly TaskStart[];
  /** Tasks that have ended. */
  readonly ended: readonly TaskEnd[];
}

/** State of an idempotency key. */
export interface KeyRecord {
  readonly digest: string;
  readonly claimant: string;
  /** Wall time of the claim at the proposer, in ms since 1970. */
  readonly claimedAt: number;
  /**
   * Wall time after which a key without an answer counts as lost, in ms since
   * 1970.
   */
  readonly settleBy: number;
  readonly answer?: KeyAnswer;
}

/** What an accepted command returns. */
export type CellValue =
  | {readonly kind: 'revision'; readonly revision: number}
  | {readonly kind: 'job'; readonly job: JobId}
  /** Tasks that the proposing leader may start. */
  | {readonly kind: 'starts'; readonly tasks: readonly TaskId[]}
  | {
      readonly kind: 'key';
      readonly record: KeyRecord;
      readonly claimed: boolean;
    }
  | {readonly kind: 'done'};

/** Answer to a command, as it is kept for a resend. */
export type CellResult =
  | {readonly ok: true; readonly value: CellValue; readonly index: number}
  | {readonly ok: false; readonly error: ErrorBody; readonly index: number};

/** Limits of the state. */
export interface CellLimits {
  /** Maximum number of answers kept for resent writes. */
  readonly maxWriteRecords: number;
  /** Maximum number of revisions kept of one profile. */
  readonly maxRevisions: number;
  /** Maximum number of jobs that have not ended. */
  readonly maxOpenJobs: number;
  /** Maximum number of ended jobs kept for inspection. */
  readonly maxEndedJobs: number;
  /** Time for which an idempotency key is kept, in ms. */
  readonly keyRetentionMs: number;
  /** Maximum number of idempotency keys kept. */
  readonly maxKeys: number;
}

/** Default limits. */
export const DEFAULT_CELL_LIMITS: CellLimits = {
  maxWriteRecords: 10_000,
  maxRevisions: 50,
  maxOpenJobs: 20_000,
  maxEndedJobs: 1000,
  keyRetentionMs: 24 * 60 * 60 * 1000,
  maxKeys: 30_000,
};

/** A team and the CPU that its running tasks may reserve. */
export interface QuotaRecord {
  readonly team: TeamName;
  readonly cpuMillis: number;
}

/** An answer kept for a resend. */
export interface WriteRecord {
  readonly write: WriteId;
  readonly digest: string;
  readonly result: CellResult;
}

/** Serialized state, for snapshots and for VMs that catch up. */
export interface CellImage {
  readonly index: number;
  /** Time of the log, in ms since 1970. */
  readonly time: number;
  readonly profiles: ReadonlyArray<readonly ProfileRevision[]>;
  readonly services: readonly ServiceRecord[];
  readonly quotas: readonly QuotaRecord[];
  readonly jobs: readonly JobRecord[];
  readonly keys: ReadonlyArray<readonly [string, KeyRecord]>;
  readonly writes: readonly WriteRecord[];
  /** Latest `firstSentAt` of the answers that were dropped. */
  readonly writeFloor: number;
}
