import type {Entry} from '@primrosewick/coordination';
import {
  DEFAULT_CELL_LIMITS,
  canonicalJson,
  type CellCommand,
  type CellResult,
  type NodeId,
  type ProfileName,
  type VmId,
} from '@primrosewick/state';
import type {SimNode} from './sim_node.js';

/** A write that was accepted. */
interface AcceptedRevision {
  readonly revision: number;
  readonly author: string;
}

/**
 * Checks the cell log from outside, by the answers to writes, the committed
 * entries, the leader of each term and the revisions that each VM shows. Throws
 * an Error at the first contradiction.
 */
export class ConsensusOracle {
  private readonly leaders = new Map<number, NodeId>();
  private readonly committed = new Map<number, string>();
  private readonly accepted = new Map<
    ProfileName,
    Map<number, AcceptedRevision>
  >();
  private readonly answers = new Map<string, string>();
  private readonly lastRevision = new Map<string, number>();

  /** Records the answer to a write; a resend must get the same answer. */
  recordAnswer(name: ProfileName, requestId: string, result: CellResult): void {
    const text = canonicalJson(result);
    const before = this.answers.get(requestId);
    if (before !== undefined && before !== text) {
      throw new Error(
        `write ${requestId} was answered ${before} and then ${text}`,
      );
    }
    this.answers.set(requestId, text);
    if (result.ok && result.value.kind === 'revision')
      this.addAccepted(name, result.value.revision, requestId);
  }

  /**
   * Records a committed entry; all nodes must commit the same entry at an
   * index.
   */
  recordCommitted(node: NodeId, entry: Entry<CellCommand>): void {
    const text = canonicalJson(entry);
    const before = this.committed.get(entry.index);
    if (before !== undefined && before !== text) {
      throw new Error(
        `${node} committed ${text} at an index where another node committed ${before}`,
      );
    }
    this.committed.set(entry.index, text);
  }

  /** Records whether a node leads and which revisions it shows. */
  observe(node: SimNode): void {
    const {status} = node;
    if (!status) return;
    if (status.role === 'leader') this.recordLeader(status.term, node.id);
    if (node.readableReplica) this.recordRevisions(node.vm, node);
  }

  /**
   * Checks at the end of a run that a node has every accepted revision that is
   * recent enough to be kept.
   */
  checkNoLostRevisions(node: SimNode): void {
    for (const [name, revisions] of this.accepted) {
      const history = node.readableReplica?.state.getHistory(name) ?? [];
      const authors = new Map(
        history.map(known => [known.revision, known.author]),
      );
      const firstKept =
        history.length < DEFAULT_CELL_LIMITS.maxRevisions
          ? 0
          : history[0]!.revision;
      for (const [revision, {author}] of revisions) {
        if (revision < firstKept || authors.get(revision) === author) continue;
        throw new Error(
          `${node.vm} lost revision ${revision} of ${name} by ${author}: it has ${authors.get(revision)}`,
        );
      }
    }
  }

  /** Counts that show how much a run has covered. */
  get counts(): {leaders: number; committed: number; accepted: number} {
    const accepted = [...this.accepted.values()].reduce(
      (sum, revisions) => sum + revisions.size,
      0,
    );
    return {
      leaders: this.leaders.size,
      committed: this.committed.size,
      accepted,
    };
  }

  private addAccepted(
    name: ProfileName,
    revision: number,
    author: string,
  ): void {
    const revisions =
      this.accepted.get(name) ?? new Map<number, AcceptedRevision>();
    const winner = revisions.get(revision);
    if (winner && winner.author !== author) {
      throw new Error(
        `revision ${revision} of ${name} was accepted from ${winner.author} and from ${author}`,
      );
    }
    this.accepted.set(name, revisions.set(revision, {revision, author}));
  }

  private recordLeader(term: number, node: NodeId): void {
    const before = this.leaders.get(term);
    if (before !== undefined && before !== node)
      throw new Error(`term ${term} has two leaders: ${before} and ${node}`);
    this.leaders.set(term, node);
  }

  private recordRevisions(vm: VmId, node: SimNode): void {
    for (const {
      profile,
      revision,
    } of node.readableReplica?.state.listProfiles() ?? []) {
      const key = `${vm} ${profile.name}`;
      const before = this.lastRevision.get(key) ?? 0;
      if (revision < before)
        throw new Error(
          `${vm} showed revision ${before} of ${profile.name} and then ${revision}`,
        );
      this.lastRevision.set(key, revision);
    }
  }
}
