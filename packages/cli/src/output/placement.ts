/** Text that tells where a job would go. */
import {
  assertNever,
  type AdmissionAnswer,
  type Binding,
  type CustomerAnswer,
  type ExpectedTimes,
  type PlacementAnswer,
  type ReadyStepAnswer,
  type Resources,
  type RuledOutGroup,
  type StepAnswer,
} from '@primrosewick/state';
import {formatTable} from './table.js';

/** The answer of a voter. */
export type PlacementReport = PlacementAnswer & {
  readonly isFromLeader: boolean;
  readonly index: number;
};

const DIMENSION_NAMES: Readonly<Record<keyof Resources, string>> = {
  cpuMillis: 'cpu',
  memMb: 'memory',
  gpus: 'gpus',
};

const describeAdmission = (admission: AdmissionAnswer): string => {
  if (admission.kind === 'admitted')
    return admission.isBeyondRate
      ? 'admitted, beyond the rate of its customer'
      : 'admitted';
  switch (admission.why) {
    case 'backlog':
    case 'over_rate':
      return `rejected (${admission.why}), try again in ${admission.retryAfterMs} ms`;
    case 'cap_exceeded':
    case 'too_large':
      return `rejected (${admission.why}): ${admission.detail}`;
    default:
      return assertNever(admission);
  }
};

/** What is used of a cap, in each dimension. */
const describeCap = ({used, cap}: Pick<CustomerAnswer, 'used' | 'cap'>) =>
  (Object.keys(DIMENSION_NAMES) as Array<keyof Resources>)
    .map(dimension => {
      const limit = cap[dimension] > 0 ? cap[dimension] : 'no limit';
      return `${DIMENSION_NAMES[dimension]} ${used[dimension]}/${limit}`;
    })
    .join(', ');

const describeCustomer = (customer: CustomerAnswer): string =>
  `customer ${customer.name}: ${describeCap(customer)}; share ${customer.share.toFixed(2)} of ${customer.fairShare.toFixed(2)}`;

const describeBinding = (binding: Binding): string => {
  switch (binding.kind) {
    case 'room':
    case 'too_small':
      return `${binding.kind} (${DIMENSION_NAMES[binding.dimension]})`;
    case 'cap':
      return binding.cap
        ? `cap (${describeCap({used: binding.cap.used, cap: binding.cap.allowed})})`
        : 'cap';
    case 'order':
    case 'share':
    case 'advice':
    case 'reserved':
    case 'quarantine':
    case 'per_worker':
    case 'no_worker':
      return binding.kind;
    default:
      return assertNever(binding);
  }
};

const describeMs = (ms: number | undefined): string =>
  ms === undefined ? '?' : `${ms} ms`;

const timesOf = ({startMs, endMs}: ExpectedTimes): string[] => [
  describeMs(startMs),
  describeMs(endMs),
];

const rowOf = (step: StepAnswer): string[] => {
  if (step.kind === 'later') {
    const after = step.after.length > 0 ? `after ${step.after.join(', ')}` : '';
    return [String(step.step), '', after, '', ...timesOf(step)];
  }
  const {starts, wait} = step;
  return [
    String(step.step),
    starts.map(({worker, taskCount}) => `${taskCount} on ${worker}`).join(', '),
    wait ? `${wait.taskCount}: ${wait.why}` : '',
    wait ? describeBinding(wait.binding) : '',
    ...timesOf(step),
  ];
};

const describeGroup = (group: RuledOutGroup): string => {
  const what =
    group.why === 'room' || group.why === 'too_small'
      ? `${group.why} (${DIMENSION_NAMES[group.dimension]})`
      : group.why;
  const rest = group.count > group.workers.length ? ', ...' : '';
  return `  ruled out by ${what} (${group.count}): ${group.workers.join(', ')}${rest}`;
};

const describeWorkers = (step: ReadyStepAnswer): string[] => {
  const {candidates, candidateCount, ruledOut} = step;
  const named = candidates.map(
    ({worker, score, speed}) =>
      `${worker} ${score.toFixed(3)}${speed === 1 ? '' : ` (speed ${speed.toFixed(2)})`}`,
  );
  const rest = candidateCount > candidates.length ? ', ...' : '';
  return [
    `step ${step.step}: candidates (${candidateCount}): ${named.join(', ') || 'none'}${rest}`,
    ...ruledOut.map(describeGroup),
  ];
};

/** Describes an answer: admission, customer, steps, and workers by step. */
export const describePlacement = (report: PlacementReport): string => {
  const {queue, customer, admission, steps, isFromLeader} = report;
  const lines = [
    `queue ${queue.name} (pool ${queue.pool}, priority ${queue.priority}): ${describeAdmission(admission)}`,
    ...(customer ? [describeCustomer(customer)] : []),
    ...(isFromLeader
      ? []
      : [
          'from a copy without what only the leader knows: usable workers, starts under way, reservations, advice',
        ]),
  ];
  if (steps.length === 0) return `${lines.join('\n')}\n`;
  const headings = ['STEP', 'STARTS', 'WAITS', 'BINDING', 'START', 'END'];
  const ready = steps.filter(step => step.kind === 'ready');
  return [
    ...lines,
    formatTable(headings, steps.map(rowOf)).trimEnd(),
    ...ready.flatMap(describeWorkers),
    `expected end in ${describeMs(report.endMs)}`,
    '',
  ].join('\n');
};
