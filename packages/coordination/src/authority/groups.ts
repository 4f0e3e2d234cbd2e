import type {VmSettings} from '@primrosewick/protocol';
import type {VmId, ZoneId} from '@primrosewick/state';
import type {AuthorityGroup} from './types.js';

/**
 * Finds the grantors of a zone. A zone with an even number of VMs gets a witness
 * VM from the next zone, so that a majority survives the loss of one VM or of
 * the links to all other zones.
 * @param vms - all VMs of the cell.
 */
export const authorityGroup = (
  vms: readonly VmSettings[],
  zone: ZoneId,
): AuthorityGroup => {
  const candidates = vms.filter(vm => vm.zone === zone).map(({vm}) => vm);
  const witness =
    candidates.length % 2 === 0 ? witnessOf(vms, zone) : undefined;
  return {
    zone,
    candidates,
    grantors: witness ? [...candidates, witness] : candidates,
  };
};

const witnessOf = (
  vms: readonly VmSettings[],
  zone: ZoneId,
): VmId | undefined => {
  const zones = [...new Set(vms.map(vm => vm.zone))];
  const next = zones[(zones.indexOf(zone) + 1) % zones.length];
  return vms.find(vm => vm.zone === next && vm.zone !== zone)?.vm;
};
