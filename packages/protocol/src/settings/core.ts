/** Parses a settings file and reports the line of each error. */
import type {ZoneId} from '@primrosewick/state';
import {
  findNodeAtLocation,
  parseTree,
  printParseErrorCode,
  type Node,
  type ParseError,
} from 'jsonc-parser';
import type {z} from 'zod';
import {settingsSchema, type Settings, type VmSettings} from './types.js';

/** One error in a settings file. */
export interface SettingsIssue {
  readonly line: number;
  readonly path: string;
  readonly reason: string;
}

/** Thrown for an invalid settings file. */
export class SettingsError extends Error {
  constructor(
    readonly file: string,
    readonly issues: readonly SettingsIssue[],
  ) {
    super(issues.map(issue => formatIssue(file, issue)).join('\n'));
    this.name = 'SettingsError';
  }
}

const formatIssue = (
  file: string,
  {line, path, reason}: SettingsIssue,
): string =>
  path ? `${file}:${line}: ${path}: ${reason}` : `${file}:${line}: ${reason}`;

/**
 * Parses and validates settings.
 * @param text - JSON with comments.
 * @param file - name of the file, for errors.
 * @throws SettingsError with all errors of the first check that fails: syntax,
 *     schema, or the checks across fields.
 */
export const parseSettings = (text: string, file: string): Settings => {
  const errors: ParseError[] = [];
  const tree = parseTree(text, errors, {allowTrailingComma: true});
  const syntax = errors.map(err => syntaxIssue(text, err));
  if (!tree || syntax.length > 0) {
    throw new SettingsError(file, syntax.length > 0 ? syntax : [emptyIssue()]);
  }
  const parsed = settingsSchema.safeParse(toValue(tree));
  if (!parsed.success) {
    throw new SettingsError(
      file,
      parsed.error.issues.flatMap(issue => schemaIssues(text, tree, issue)),
    );
  }
  const issues = crossFieldIssues(parsed.data).map(({path, reason}) =>
    issueAt(text, tree, path, reason),
  );
  if (issues.length > 0) throw new SettingsError(file, issues);
  return parsed.data;
};

/** @returns this VM's own entry in the list of VMs. */
export const ownVm = (settings: Settings): VmSettings => {
  const own = settings.vms.find(({vm}) => vm === settings.vm);
  if (!own) throw new Error(`settings list no VM "${settings.vm}"`);
  return own;
};

/** VMs of one zone, in the order of the settings. */
export const vmsOfZone = (settings: Settings, zone: ZoneId): VmSettings[] =>
  settings.vms.filter(vm => vm.zone === zone);

/** VMs that vote on the cell log. */
export const voterVms = (settings: Settings): VmSettings[] =>
  settings.vms.filter(vm => vm.disk);

/** Zones of the cell, in the order of the settings. */
export const zonesOf = (settings: Settings): ZoneId[] => [
  ...new Set(settings.vms.map(vm => vm.zone)),
];

type Path = Array<string | number>;

interface CrossFieldIssue {
  readonly path: Path;
  readonly reason: string;
}

const VOTER_COUNTS = [1, 3, 5];

const crossFieldIssues = (settings: Settings): CrossFieldIssue[] => {
  const issues = [
    ...findDuplicates(
      settings.vms.map(vm => vm.vm),
      'vm',
      'duplicate id',
    ),
    ...findDuplicates(
      settings.vms.map(vm => vm.peer),
      'peer',
      'duplicate address',
    ),
    ...listenIssues(settings),
  ];
  const own = settings.vms.find(({vm}) => vm === settings.vm);
  if (!own)
    issues.push({
      path: ['vms'],
      reason: `missing peer: no entry for this VM "${settings.vm}"`,
    });
  const voters = voterVms(settings).length;
  if (!VOTER_COUNTS.includes(voters)) {
    issues.push({
      path: ['vms'],
      reason: `missing peer: ${voters} VMs have a disk, but 1, 3 or 5 must`,
    });
  }
  if (own?.disk && !settings.dataFolder)
    issues.push({
      path: [],
      reason: 'dataFolder is required where the VM has a disk',
    });
  if (own && !own.disk && settings.dataFolder)
    issues.push({path: ['dataFolder'], reason: 'this VM has no disk in "vms"'});
  if (own && own.peer !== settings.listen.peer) {
    issues.push({
      path: ['listen', 'peer'],
      reason: `differs from this VM's entry in "vms" (${own.peer})`,
    });
  }
  return issues;
};

const findDuplicates = (
  values: readonly string[],
  key: string,
  reason: string,
): CrossFieldIssue[] =>
  values.flatMap((value, i) =>
    values.indexOf(value) < i
      ? [{path: ['vms', i, key], reason: `${reason} "${value}"`}]
      : [],
  );

const listenIssues = ({listen}: Settings): CrossFieldIssue[] => {
  const entries = Object.entries(listen);
  return entries.flatMap(([key, address], i) =>
    entries.findIndex(([, other]) => other === address) < i
      ? [{path: ['listen', key], reason: `duplicate address "${address}"`}]
      : [],
  );
};

const lineAt = (text: string, offset: number): number =>
  text.slice(0, offset).split('\n').length;

const issueAt = (
  text: string,
  tree: Node,
  path: Path,
  reason: string,
): SettingsIssue => ({
  line: lineAt(text, nearestNode(tree, path).offset),
  path: path.join('.'),
  reason,
});

const nearestNode = (tree: Node, path: Path): Node => {
  for (let length = path.length; length > 0; length--) {
    const node = findNodeAtLocation(tree, path.slice(0, length));
    if (node) return node;
  }
  return tree;
};

const schemaIssues = (
  text: string,
  tree: Node,
  issue: z.core.$ZodIssue,
): SettingsIssue[] => {
  const path = issue.path as Path;
  if (issue.code !== 'unrecognized_keys')
    return [issueAt(text, tree, path, issue.message)];
  return issue.keys.map(key =>
    issueAt(text, tree, [...path, key], 'unknown key'),
  );
};

const syntaxIssue = (text: string, err: ParseError): SettingsIssue => ({
  line: lineAt(text, err.offset),
  path: '',
  reason: printParseErrorCode(err.error),
});

const emptyIssue = (): SettingsIssue => ({
  line: 1,
  path: '',
  reason: 'the file is empty',
});

const toValue = (node: Node): unknown => {
  if (node.type === 'array') return (node.children ?? []).map(toValue);
  if (node.type !== 'object') return node.value;
  const entries = (node.children ?? []).map(({children = []}) => [
    children[0]?.value,
    children[1] && toValue(children[1]),
  ]);
  return Object.fromEntries(entries);
};
