/** Records of workers that are removed. */
import type {
  CrashEvidence,
  VoidedRun,
  WorkerIncarnation,
  WorkflowCommand,
} from '@primrosewick/state';
import type {RunRef} from './run_lists.js';
import type {ReplacedProof} from './end_proof/types.js';

/** Options of {@link replacedRecord}. */
export interface ReplacedWorker {
  readonly life: WorkerIncarnation;
  /** Its recorded runs, with their latest checkpoints. */
  readonly runs: readonly VoidedRun[];
  readonly proof: ReplacedProof;
  /** Those of its runs that it never listed. */
  readonly orphans: readonly RunRef[];
  /** Whether it has said that it leaves. */
  readonly isLeaving: boolean;
  readonly crash?: CrashEvidence;
}

/** Record of an incarnation that is proved to be over, with its runs. */
export const replacedRecord = ({
  life: {worker, bornAt},
  runs,
  proof,
  orphans,
  isLeaving,
  crash,
}: ReplacedWorker): WorkflowCommand => ({
  kind: 'remove_worker',
  life: {worker, bornAt},
  runs,
  proof: proof.kind,
  ...(orphans.length > 0 && {
    orphans: orphans.map(({task, run}) => ({task, run})),
  }),
  ...(isLeaving ? {isFinal: true} : crash && {crash}),
});

/** Record of an incarnation that has said that it leaves and has no runs left. */
export const departureRecord = ({
  worker,
  bornAt,
}: WorkerIncarnation): WorkflowCommand => ({
  kind: 'remove_worker',
  life: {worker, bornAt},
  runs: [],
  proof: 'no_runs',
  isFinal: true,
});
