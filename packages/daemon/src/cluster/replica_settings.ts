/** Creates the replicated state by the settings of a VM. */
import {WorkflowReplica} from '@primrosewick/coordination';
import type {ClusterSettings} from '@primrosewick/protocol';

/** Creates an empty replicated state. */
export const makeReplica = ({
  keepEndedMs,
  rateWindowMs,
  rateOverage,
  rateSlack,
}: ClusterSettings): WorkflowReplica =>
  new WorkflowReplica({
    keepEndedMs,
    rate: {windowMs: rateWindowMs, overage: rateOverage, slack: rateSlack},
  });
