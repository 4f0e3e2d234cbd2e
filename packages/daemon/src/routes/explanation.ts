/** Collects what all VMs of a cell keep about a subject. */
import {
  toCellError,
  type ErrorBody,
  type TimedNote,
  type VmId,
} from '@primrosewick/state';

/** A note and the VM that keeps it. */
export type VmNote = TimedNote & {readonly vm: VmId};

/** A VM whose notes are missing, and why. */
export interface SilentVm {
  readonly vm: VmId;
  readonly error: ErrorBody;
}

/** Notes about a subject; without those of the VMs that did not answer. */
export interface Explanation {
  /** Oldest first. */
  readonly notes: readonly VmNote[];
  readonly unanswered: readonly SilentVm[];
}

/** Asks all VMs for their notes. */
export const collectNotes = async (
  vms: readonly VmId[],
  ask: (vm: VmId) => Promise<readonly TimedNote[]>,
): Promise<Explanation> => {
  const notes: VmNote[] = [];
  const unanswered: SilentVm[] = [];
  const collectFrom = async (vm: VmId): Promise<void> => {
    try {
      for (const note of await ask(vm)) notes.push({...note, vm});
    } catch (err) {
      unanswered.push({vm, error: toCellError(err, 'explain').toBody()});
    }
  };
  await Promise.all(vms.map(collectFrom));
  return {notes: notes.sort((a, b) => a.at - b.at), unanswered};
};
