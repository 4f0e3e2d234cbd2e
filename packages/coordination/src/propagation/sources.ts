import type {VmSettings} from '@primrosewick/protocol';
import type {VmId} from '@primrosewick/state';

/**
 * Orders the VMs that a VM without a disk may follow: voters of its zone, then
 * the VMs of its zone that are listed before it, then voters of other zones,
 * then the rest of its zone. In a zone without a voter, only one VM thus follows
 * a VM of another zone.
 * @param vms - all VMs of the cell.
 * @param own - the VM that follows.
 */
export const rankFollowSources = (
  vms: readonly VmSettings[],
  own: VmSettings,
): VmId[] => {
  const others = vms.filter(({vm}) => vm !== own.vm);
  const position = vms.findIndex(({vm}) => vm === own.vm);
  const isBefore = ({vm}: VmSettings) =>
    vms.findIndex(other => other.vm === vm) < position;
  const near = others.filter(({zone}) => zone === own.zone);
  const nearVoters = near.filter(({disk}) => disk);
  const nearOthers = near.filter(({disk}) => !disk);
  const farVoters = others.filter(({zone, disk}) => zone !== own.zone && disk);
  return [
    ...nearVoters,
    ...nearOthers.filter(isBefore),
    ...rotate(farVoters, position),
    ...nearOthers.filter(vm => !isBefore(vm)),
  ].map(({vm}) => vm);
};

/** Rotates a list, so that VMs differ in their first choice. */
const rotate = <T>(items: readonly T[], by: number): T[] => {
  const at = items.length === 0 ? 0 : by % items.length;
  return [...items.slice(at), ...items.slice(0, at)];
};
