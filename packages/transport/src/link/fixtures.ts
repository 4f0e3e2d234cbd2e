/** Addresses for the specs of links. */
import {createServer, type AddressInfo} from 'node:net';
import {asId, type VmId} from '@primrosewick/state';

/** An address on the loopback that nobody listens on. */
export const freeAddress = (): Promise<VmId> =>
  new Promise(resolve => {
    const probe = createServer().listen(0, '127.0.0.1', () => {
      const {port} = probe.address() as AddressInfo;
      probe.close(() => resolve(asId<VmId>(`127.0.0.1:${port}`)));
    });
  });
