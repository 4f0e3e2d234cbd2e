/** State that the share ledger keeps for each upstream and each holder. */
import type {ServiceName, UpstreamId} from '../ids/types.js';
import type {HolderId, UpstreamReport} from './types.js';

/** Slots of one upstream that are lent to one holder. */
export interface Loan {
  /** Slots the holder may use. */
  slots: number;
  /** Time after which the holder has stopped dispatching. */
  deadline: number;
}

/** An upstream, from its latest announcement. */
export interface Upstream {
  report: UpstreamReport;
  /** Time of the last announcement. */
  reportedAt: number;
  readonly loans: Map<HolderId, Loan>;
}

/** A holder of shares, from its latest request. */
export interface Holder {
  seq: number;
  deadline: number;
  isForeign: boolean;
  readonly wants: Map<ServiceName, number>;
}

/** Whole state of a ledger. */
export interface LedgerTables {
  readonly upstreams: Map<UpstreamId, Upstream>;
  readonly holders: Map<HolderId, Holder>;
}
