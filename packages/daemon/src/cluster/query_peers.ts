/** Says hello to the other VMs of the cell. */
import type {LinkHello, LinkHelloReply} from '@primrosewick/protocol';
import type {VmId} from '@primrosewick/state';
import type {LinkCaller} from '@primrosewick/transport';

/** @returns the replies of those VMs, other than the caller, that answer. */
export const queryPeers = async (
  peers: LinkCaller,
  vms: readonly VmId[],
  hello: LinkHello,
): Promise<LinkHelloReply[]> => {
  const others = vms.filter(vm => vm !== hello.vm);
  const replies = await Promise.all(
    others.map(vm => peers.call(vm, 'hello', hello).catch(() => undefined)),
  );
  return replies.filter(reply => reply !== undefined);
};
