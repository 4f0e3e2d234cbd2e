/**
 * Collects the buffers of what peers sent. V8 counts them late: it lets some 60 MB
 * of dead buffers stand, which is a quarter of an entry's memory.
 */
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

type Collect = (options: {type: 'minor'}) => void;

/** Bytes read or copied for peers between two collections of young objects. */
const COLLECT_BYTES = 1024 * 1024;

let collect: Collect | undefined;
let readBytes = 0;

/** Notes bytes that were read or copied; collects young objects now and then. */
export const noteRead = (bytes: number): void => {
  readBytes += bytes;
  if (readBytes < COLLECT_BYTES) return;
  readBytes = 0;
  collect ??= findCollect();
  collect({type: 'minor'});
};

const findCollect = (): Collect => {
  setFlagsFromString('--expose-gc');
  return runInNewContext('gc') as Collect;
};
