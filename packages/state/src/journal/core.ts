/** Replays a journal and compares every decision with the recorded one. */
import {
  PlacementCore,
  revivePlacementCore,
  type PlacementOptions,
} from '../placement/core.js';
import type {PlacementEvent} from '../placement/types.js';
import {RequestCore, reviveRequestCore} from '../requests/core.js';
import type {
  DecisionNote,
  RequestEvent,
  RequestLimits,
} from '../requests/types.js';
import {
  ShareLedger,
  reviveShareLedger,
  type ShareLedgerOptions,
} from '../shares/core.js';
import type {ShareEvent} from '../shares/types.js';
import {assertNever} from '../utils/assert_never.js';
import {fromImage} from '../utils/image.js';
import {PlannerCore, revivePlannerCore} from '../workflow/journal/core.js';
import type {PlannerEvent} from '../workflow/journal/types.js';
import type {CoreName, JournalLine, ReplayResult} from './types.js';

/** Outcome of one step of any core. */
interface StepResult {
  readonly outcome: unknown;
  readonly notes: readonly DecisionNote[];
}

/** A core to which the events of a journal can be applied. */
interface ReplayableCore {
  step(event: unknown): StepResult;
}

const stepRequests = (core: RequestCore): ReplayableCore => ({
  step: event => {
    const {effects, notes} = core.step(event as RequestEvent);
    return {outcome: effects, notes};
  },
});

const stepPlacement = (core: PlacementCore): ReplayableCore => ({
  step: event => {
    const {effects, notes} = core.step(event as PlacementEvent);
    return {outcome: effects, notes};
  },
});

const stepShares = (core: ShareLedger): ReplayableCore => ({
  step: event => ({outcome: core.step(event as ShareEvent), notes: []}),
});

const stepPlanner = (core: PlannerCore): ReplayableCore => ({
  step: event => core.step(event as PlannerEvent),
});

const startCore = (name: CoreName, options: unknown): ReplayableCore => {
  switch (name) {
    case 'requests':
      return stepRequests(new RequestCore(options as Partial<RequestLimits>));
    case 'placement':
      return stepPlacement(new PlacementCore(options as PlacementOptions));
    case 'shares':
      return stepShares(new ShareLedger(options as ShareLedgerOptions));
    case 'workflows':
      return stepPlanner(new PlannerCore());
    default:
      return assertNever(name);
  }
};

const resumeCore = (name: CoreName, text: string): ReplayableCore => {
  const image = Buffer.from(text, 'base64');
  switch (name) {
    case 'requests':
      return stepRequests(fromImage(image, reviveRequestCore));
    case 'placement':
      return stepPlacement(fromImage(image, revivePlacementCore));
    case 'shares':
      return stepShares(fromImage(image, reviveShareLedger));
    case 'workflows':
      return stepPlanner(fromImage(image, revivePlannerCore));
    default:
      return assertNever(name);
  }
};

/**
 * Replays a journal. Lines before the first start or image of their core are
 * skipped, because a rotated journal may begin in the middle.
 * @param lines - the lines as they were written, each one JSON text.
 */
export const replayJournal = (lines: Iterable<string>): ReplayResult => {
  const cores = new Map<CoreName, ReplayableCore>();
  let steps = 0;
  let number = 0;
  for (const text of lines) {
    number++;
    const line = JSON.parse(text) as JournalLine;
    if (line.kind === 'start')
      cores.set(line.core, startCore(line.core, line.options));
    else if (line.kind === 'resume')
      cores.set(line.core, resumeCore(line.core, line.image));
    else {
      const core = cores.get(line.core);
      if (!core) continue;
      steps++;
      const difference = compareStep(core, line);
      if (difference)
        return {kind: 'different', steps, line: number, ...difference};
    }
  }
  return {kind: 'same', steps};
};

const compareStep = (
  core: ReplayableCore,
  {event, outcome, notes}: Extract<JournalLine, {kind: 'step'}>,
): {recorded: string; replayed: string} | undefined => {
  const stepped = core.step(event);
  const recorded = JSON.stringify({outcome, notes});
  const replayed = JSON.stringify({
    outcome: stepped.outcome,
    notes: stepped.notes,
  });
  return recorded === replayed ? undefined : {recorded, replayed};
};
