/** The service of a simulated leader, to which workers report. */
import {
  WorkflowService,
  type LogAccess,
  type SchedulerTask,
  type WorkflowServiceOptions,
} from '@primrosewick/coordination';

/** Options of the service of a simulated leader. */
export interface LeaderServiceOptions extends Pick<
  WorkflowServiceOptions,
  'replica' | 'clock' | 'logger'
> {
  readonly scheduler: SchedulerTask;
  /** Whether the log accepts proposals of this leader. */
  readonly isLeading: () => boolean;
  readonly propose: LogAccess['propose'];
}

/** Makes the service of one leadership. */
export const makeLeaderService = ({
  scheduler,
  isLeading,
  propose,
  ...options
}: LeaderServiceOptions): WorkflowService =>
  new WorkflowService({
    ...options,
    log: {
      get isLeading() {
        return isLeading();
      },
      leaderVm: null,
      propose,
      readIndex: async () => options.replica.index,
    },
    load: {decide: () => ({kind: 'take'})},
    onAnnouncement: worker => scheduler.noteAnnouncement(worker),
    checkLife: life => scheduler.lives.check(life),
    answers: claim => scheduler.lives.answers(claim),
    depart: life => scheduler.lives.depart(life),
  });
