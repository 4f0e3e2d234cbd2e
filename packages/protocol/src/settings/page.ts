/** Generates the settings reference page and the annotated defaults from the schema. */
import {z} from 'zod';
import {settingsSchema} from './types.js';

interface JsonSchema {
  readonly type?: string;
  readonly description?: string;
  readonly default?: unknown;
  readonly properties?: Record<string, JsonSchema>;
  readonly required?: readonly string[];
  readonly items?: JsonSchema;
  readonly enum?: readonly unknown[];
}

interface SettingsRow {
  readonly key: string;
  readonly type: string;
  readonly fallback: string;
  readonly meaning: string;
}

const settingsJsonSchema = (): JsonSchema =>
  z.toJSONSchema(settingsSchema, {
    io: 'input',
    unrepresentable: 'any',
  }) as JsonSchema;

const rowsOf = (schema: JsonSchema, prefix: string): SettingsRow[] =>
  Object.entries(schema.properties ?? {}).flatMap(([name, property]) => {
    const key = prefix ? `${prefix}.${name}` : name;
    const isRequired = schema.required?.includes(name) ?? false;
    return [rowOf(key, property, isRequired), ...nestedRows(key, property)];
  });

const nestedRows = (key: string, property: JsonSchema): SettingsRow[] => {
  if (property.properties) return rowsOf(property, key);
  if (property.items?.properties) return rowsOf(property.items, `${key}[]`);
  return [];
};

const rowOf = (
  key: string,
  property: JsonSchema,
  isRequired: boolean,
): SettingsRow => ({
  key,
  type: property.enum
    ? property.enum.join(' \\| ')
    : (property.type ?? 'string'),
  fallback: defaultTextOf(property, isRequired),
  meaning: property.description ?? '',
});

const defaultTextOf = (property: JsonSchema, isRequired: boolean): string => {
  if (property.properties && !isRequired) return 'see below';
  if (property.default !== undefined)
    return `\`${JSON.stringify(property.default)}\``;
  return isRequired ? 'required' : 'none';
};

/** Settings reference page, in Markdown. */
export const settingsPage = (): string => {
  const rows = rowsOf(settingsJsonSchema(), '').map(
    row =>
      `| \`${row.key}\` | ${row.type} | ${row.fallback} | ${row.meaning} |`,
  );
  return [
    '# Settings of `primrosewickd`',
    '',
    'This page is generated from the schema by `npm run docs`. The file is JSON',
    'with comments. `primrosewickd --check --settings FILE` checks a file;',
    '`primrosewickd --print-defaults` prints the defaults with their meaning.',
    '',
    '| key | type | default | meaning |',
    '| --- | --- | --- | --- |',
    ...rows,
    '',
  ].join('\n');
};

/** Default settings as JSON with comments. */
export const defaultsText = (): string => {
  const lines = ['{'];
  for (const [section, schema] of Object.entries(
    settingsJsonSchema().properties ?? {},
  )) {
    if (schema.properties && schema.default !== undefined)
      lines.push(...sectionLines(section, schema));
    else if (schema.default !== undefined)
      lines.push(...defaultLines(section, schema, '  '));
    else lines.push(`  // "${section}": ${schema.description ?? ''}`);
  }
  return [...lines, '}', ''].join('\n');
};

const sectionLines = (section: string, schema: JsonSchema): string[] => [
  `  // ${schema.description ?? ''}`,
  `  "${section}": {`,
  ...Object.entries(schema.properties ?? {}).flatMap(([key, property]) =>
    defaultLines(key, property, '    '),
  ),
  '  },',
];

const defaultLines = (
  key: string,
  schema: JsonSchema,
  indent: string,
): string[] => [
  `${indent}// ${schema.description ?? ''}`,
  `${indent}"${key}": ${JSON.stringify(schema.default)},`,
];
